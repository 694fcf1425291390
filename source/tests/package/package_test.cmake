# Installs the package into a folder of its own, builds the example against it
# and compares what it says. Called by CTest with BUILD, SOURCE and WORK.
file(REMOVE_RECURSE ${WORK})
execute_process(COMMAND ${CMAKE_COMMAND} --install ${BUILD} --prefix ${WORK}/installed OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${CMAKE_COMMAND} -S ${SOURCE}/examples/graft -B ${WORK}/build -G Ninja -DCMAKE_PREFIX_PATH=${WORK}/installed -DCMAKE_CXX_COMPILER=${COMPILER}
                OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${CMAKE_COMMAND} --build ${WORK}/build OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${WORK}/build/graft OUTPUT_VARIABLE said COMMAND_ERROR_IS_FATAL ANY)
set(expected "revision 1: pears\nrevision 2: plums\nrefused at revision 2\nno majority\n")
if(NOT said STREQUAL expected)
  message(FATAL_ERROR "the example said:\n${said}instead of:\n${expected}")
endif()
