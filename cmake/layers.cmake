# One static library per layer. A layer links only to those above it in this
# list; scripts/check_layers holds the #include lines to the same order.
function(dogwoodrail_layer name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cc)
  add_library(dogwoodrail_${name} STATIC ${sources})
  target_include_directories(dogwoodrail_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>
    $<INSTALL_INTERFACE:include/dogwoodrail>)
  target_link_libraries(dogwoodrail_${name} PUBLIC ${ARGN})
endfunction()

dogwoodrail_layer(core)
dogwoodrail_layer(wire dogwoodrail_core Threads::Threads)
dogwoodrail_layer(json dogwoodrail_core cxxtools-json cxxtools)
dogwoodrail_layer(objectapi dogwoodrail_json cxxtools-http cxxtools Threads::Threads)
dogwoodrail_layer(http dogwoodrail_json cxxtools-http cxxtools Threads::Threads)
dogwoodrail_layer(node dogwoodrail_core dogwoodrail_wire dogwoodrail_objectapi
                  dogwoodrail_http spdlog::spdlog OpenSSL::Crypto)
dogwoodrail_layer(command dogwoodrail_node dogwoodrail_objectapi gflags)

# The adapter to the platform: names, formats and calls.
find_package(nlohmann_json REQUIRED)
file(GLOB platform_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/platform/*.cc)
add_library(dogwoodrail_platform STATIC ${platform_sources})
target_include_directories(dogwoodrail_platform PUBLIC ${PROJECT_SOURCE_DIR})
target_link_libraries(dogwoodrail_platform PUBLIC dogwoodrail_node
                      nlohmann_json::nlohmann_json)
