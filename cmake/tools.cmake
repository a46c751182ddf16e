# Programs for tests and measurements; none is installed.
# standins/<name>/*.cc builds the program standin_<name>; standins/common/*.cc is
# linked into each of them and into the load tool and integration tests.
file(GLOB standin_common CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/standins/common/*.cc)
add_library(standin_common STATIC ${standin_common})
target_include_directories(standin_common PUBLIC ${PROJECT_SOURCE_DIR})
target_link_libraries(standin_common PUBLIC dogwoodrail_http dogwoodrail_wire
                      spdlog::spdlog gflags)

file(GLOB standin_dirs CONFIGURE_DEPENDS LIST_DIRECTORIES true
     ${PROJECT_SOURCE_DIR}/standins/*)
foreach(dir ${standin_dirs})
  get_filename_component(name ${dir} NAME)
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cc)
  if(sources AND NOT name STREQUAL common)
    add_executable(standin_${name} ${sources})
    target_link_libraries(standin_${name} PRIVATE standin_common)
  endif()
endforeach()

file(GLOB loadtool_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/loadtool/*.cc)
if(loadtool_sources)
  add_executable(loadtool ${loadtool_sources})
  target_link_libraries(loadtool PRIVATE standin_common)
endif()

# bench/<name>.cc builds the program bench_<name>.
file(GLOB bench_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/bench/*.cc)
foreach(source ${bench_sources})
  get_filename_component(name ${source} NAME_WE)
  add_executable(bench_${name} ${source})
  target_link_libraries(bench_${name} PRIVATE dogwoodrail_node gflags)
  target_include_directories(bench_${name} PRIVATE ${PROJECT_SOURCE_DIR})
endforeach()
