# tests/unit/<name>/*.cc builds the test program unit_<name>;
# tests/integration/<name>/*.cc builds integration_<name>, which starts real
# processes. Test cases listed in KNOWN-RED.txt are skipped.
set(known_red_file ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
set(known_red "")
if(EXISTS ${known_red_file})
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${known_red_file})
  file(STRINGS ${known_red_file} known_red REGEX "^test: ")
endif()

# The sources that look for programs or pages of the checkout. Only these depend
# on where it lies; a compiler cache serves all others to another checkout.
set_property(SOURCE ${PROJECT_SOURCE_DIR}/tests/integration/common/process.cc
  APPEND PROPERTY COMPILE_DEFINITIONS DOGWOODRAIL_BIN_DIR="${PROJECT_BINARY_DIR}")
set_property(SOURCE
  ${PROJECT_SOURCE_DIR}/tests/integration/platform/common/fleet.cc
  ${PROJECT_SOURCE_DIR}/tests/unit/events/event_table_test.cc
  ${PROJECT_SOURCE_DIR}/tests/unit/settings/load_test.cc
  APPEND PROPERTY COMPILE_DEFINITIONS DOGWOODRAIL_SOURCE_DIR="${PROJECT_SOURCE_DIR}")

# tests/integration/common/*.cc is the process harness of the integration tests.
file(GLOB integration_common CONFIGURE_DEPENDS
     ${PROJECT_SOURCE_DIR}/tests/integration/common/*.cc)
add_library(integration_common STATIC ${integration_common})
target_link_libraries(integration_common PUBLIC dogwoodrail_command dogwoodrail_node
                      standin_common)
target_include_directories(integration_common PUBLIC ${PROJECT_SOURCE_DIR})

# tests/integration/platform/common/*.cc runs nodes with the platform's adapter.
file(GLOB platform_fleet CONFIGURE_DEPENDS
     ${PROJECT_SOURCE_DIR}/tests/integration/platform/common/*.cc)
add_library(platform_fleet STATIC ${platform_fleet})
target_link_libraries(platform_fleet PUBLIC integration_common dogwoodrail_platform)

# Sets `out` to the arguments that exclude the known failing cases of a program.
function(dogwoodrail_known_red_args target out)
  set(args "")
  foreach(line ${known_red})
    if(line MATCHES "^test: ${target}:(.+)$")
      list(APPEND args "--run_test=!${CMAKE_MATCH_1}")
    endif()
  endforeach()
  set(${out} "${args}" PARENT_SCOPE)
endfunction()

# Each case of an integration program is a separate test with its own range of
# ports, so that cases can run in parallel.
set(integration_port_step 200)
set_property(GLOBAL PROPERTY integration_next_port 10000)
set(integration_last_sample 4)
function(dogwoodrail_integration_case target case args)
  get_property(port GLOBAL PROPERTY integration_next_port)
  math(EXPR next "${port} + ${integration_port_step}")
  set_property(GLOBAL PROPERTY integration_next_port ${next})
  string(REPLACE "/" "." name ${target}.${case})
  add_test(NAME ${name} COMMAND ${target} --log_level=test_suite ${args})
  set_tests_properties(${name} PROPERTIES TIMEOUT 900 LABELS integration
    ENVIRONMENT "DOGWOODRAIL_FIRST_PORT=${port};DOGWOODRAIL_PORT_COUNT=${integration_port_step}")
endfunction()

function(dogwoodrail_integration_cases target)
  foreach(source ${ARGN})
    file(STRINGS ${source} lines
         REGEX "BOOST_(AUTO_TEST_SUITE|FIXTURE_TEST_SUITE|AUTO_TEST_CASE|DATA_TEST_CASE)")
    set(suite "")
    foreach(line ${lines})
      if(line MATCHES "_TEST_SUITE\\(([a-z0-9_]+)")
        set(suite ${CMAKE_MATCH_1})
        continue()
      elseif(line MATCHES "_TEST_CASE\\(([a-z0-9_]+)")
        set(name ${CMAKE_MATCH_1})
      else()
        continue()  # the end of a suite
      endif()
      if("test: ${target}:${suite}/${name}" IN_LIST known_red)
        continue()
      endif()
      set(case ${suite}/${name})
      if(NOT line MATCHES "DATA_TEST_CASE")
        dogwoodrail_integration_case(${target} ${case} "--run_test=${case}")
        continue()
      endif()
      # The first samples of a data case run in parallel, one test each; further
      # samples share one test.
      set(rest "--run_test=${case}")
      foreach(sample RANGE ${integration_last_sample})
        list(APPEND rest "--run_test=!${case}/_${sample}")
        if(NOT "test: ${target}:${case}/_${sample}" IN_LIST known_red)
          dogwoodrail_integration_case(${target} ${case}/_${sample}
                                       "--run_test=${case}/_${sample}")
        endif()
      endforeach()
      foreach(line ${known_red})
        if(line MATCHES "^test: ${target}:(${case}/_[0-9]+)$")
          list(APPEND rest "--run_test=!${CMAKE_MATCH_1}")
        endif()
      endforeach()
      dogwoodrail_integration_case(${target} ${case}/rest "${rest}")
    endforeach()
  endforeach()
endfunction()

# All unit tests, for builds that run only these.
add_custom_target(unit_tests)

function(dogwoodrail_test kind dir)
  get_filename_component(name ${dir} NAME)
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cc)
  if(NOT sources OR name STREQUAL common)
    return()
  endif()
  set(target ${kind}_${name})
  add_executable(${target} ${sources})
  target_link_libraries(${target} PRIVATE dogwoodrail_command dogwoodrail_platform
                        standin_common boost_unit_test_framework)
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR})
  target_compile_definitions(${target} PRIVATE BOOST_TEST_DYN_LINK)
  if(kind STREQUAL unit)
    add_dependencies(unit_tests ${target})
    dogwoodrail_known_red_args(${target} args)
    add_test(NAME ${target} COMMAND ${target} --log_level=test_suite ${args})
    set_tests_properties(${target} PROPERTIES TIMEOUT 900 LABELS ${kind})
  else()
    dogwoodrail_integration_cases(${target} ${sources})
  endif()
  if(kind STREQUAL integration)
    target_link_libraries(${target} PRIVATE integration_common)
    add_dependencies(${target} dogwoodrail standin_objectapi standin_backend
                     standin_faultproxy)
  endif()
endfunction()

file(GLOB unit_dirs CONFIGURE_DEPENDS LIST_DIRECTORIES true ${PROJECT_SOURCE_DIR}/tests/unit/*)
foreach(dir ${unit_dirs})
  dogwoodrail_test(unit ${dir})
endforeach()
file(GLOB integration_dirs CONFIGURE_DEPENDS LIST_DIRECTORIES true
     ${PROJECT_SOURCE_DIR}/tests/integration/*)
foreach(dir ${integration_dirs})
  dogwoodrail_test(integration ${dir})
endforeach()

target_link_libraries(integration_platform PRIVATE platform_fleet)

# endless_response measures the resident memory, which must not include the
# freed memory that AddressSanitizer keeps.
if(DOGWOODRAIL_SANITIZE MATCHES address)
  set_tests_properties(unit_http PROPERTIES ENVIRONMENT
    "ASAN_OPTIONS=detect_leaks=1:quarantine_size_mb=1")
endif()
