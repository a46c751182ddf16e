# The program soak plays faults on real processes and checks the promises to
# callers. Its library is linked into unit_soak. Not installed.
file(GLOB soak_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/soak/*.cc)
list(REMOVE_ITEM soak_sources ${PROJECT_SOURCE_DIR}/soak/main.cc)
add_library(soak_common STATIC ${soak_sources})
target_link_libraries(soak_common PUBLIC integration_common platform_fleet)
target_link_libraries(unit_soak PRIVATE soak_common)

add_executable(soak soak/main.cc)
target_link_libraries(soak PRIVATE soak_common)
add_dependencies(soak dogwoodrail standin_objectapi standin_backend)

# A short run of each adapter, with its own range of ports.
function(dogwoodrail_soak_test name first_port)
  if("test: ${name}" IN_LIST known_red)
    return()
  endif()
  add_test(NAME ${name} COMMAND soak --seed=1 --seconds=45 --nodes=4 ${ARGN})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 LABELS integration
    ENVIRONMENT "DOGWOODRAIL_FIRST_PORT=${first_port};DOGWOODRAIL_PORT_COUNT=450")
endfunction()
dogwoodrail_soak_test(soak.short 9000)
dogwoodrail_soak_test(soak.short_platform 9450 --adapter=platform)
