# The embeddable library: the decisions, without any input or output.
include(CMakePackageConfigHelpers)
install(TARGETS dogwoodrail_core EXPORT dogwoodrail-targets ARCHIVE DESTINATION lib)
install(DIRECTORY src/core DESTINATION include/dogwoodrail
        FILES_MATCHING PATTERN "*.h")
install(EXPORT dogwoodrail-targets NAMESPACE dogwoodrail::
        DESTINATION lib/cmake/dogwoodrail)
write_basic_package_version_file(${PROJECT_BINARY_DIR}/dogwoodrail-config-version.cmake
                                 COMPATIBILITY SameMinorVersion)
install(FILES cmake/dogwoodrail-config.cmake
              ${PROJECT_BINARY_DIR}/dogwoodrail-config-version.cmake
        DESTINATION lib/cmake/dogwoodrail)
