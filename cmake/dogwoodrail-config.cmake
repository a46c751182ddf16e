include("${CMAKE_CURRENT_LIST_DIR}/dogwoodrail-targets.cmake")
