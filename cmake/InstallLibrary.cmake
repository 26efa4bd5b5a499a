# Installs the decisions library for embedding programs: headers, archive and a CMake package with kumquatbeam::decisions.
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

set(kumquatbeam_package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/kumquatbeam)

install(TARGETS kumquatbeam_decisions EXPORT kumquatbeamTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT library)

foreach(folder types settings decisions filters controllers checking)
  install(DIRECTORY ${PROJECT_SOURCE_DIR}/src/kumquatbeam/${folder}
    DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/kumquatbeam COMPONENT library
    FILES_MATCHING PATTERN "*.hpp")
endforeach()

install(EXPORT kumquatbeamTargets NAMESPACE kumquatbeam::
  DESTINATION ${kumquatbeam_package_dir} COMPONENT library)

configure_package_config_file(${CMAKE_CURRENT_LIST_DIR}/kumquatbeamConfig.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/kumquatbeamConfig.cmake INSTALL_DESTINATION ${kumquatbeam_package_dir})
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/kumquatbeamConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/kumquatbeamConfig.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/kumquatbeamConfigVersion.cmake
  DESTINATION ${kumquatbeam_package_dir} COMPONENT library)
