# Installs the library into a folder in the build folder, then configures, builds and runs examples/embedding against it.
set(prefix ${WORK_DIR}/prefix)
file(REMOVE_RECURSE ${WORK_DIR})
foreach(step
    "${CMAKE_COMMAND};--install;${BUILD_DIR};--component;library;--prefix;${prefix}"
    "${CMAKE_COMMAND};-S;${SOURCE_DIR}/examples/embedding;-B;${WORK_DIR}/build;-G;Ninja;-DCMAKE_PREFIX_PATH=${prefix};-DCMAKE_CXX_COMPILER_LAUNCHER=${LAUNCHER}"
    "${CMAKE_COMMAND};--build;${WORK_DIR}/build"
    "${WORK_DIR}/build/embedding")
  execute_process(COMMAND ${step} COMMAND_ERROR_IS_FATAL ANY)
endforeach()
