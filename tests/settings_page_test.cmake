# Fails if a generated settings page differs from the output of the checker.
execute_process(COMMAND ${CHECK} reference ${PAGE} OUTPUT_VARIABLE current COMMAND_ERROR_IS_FATAL ANY)
file(READ ${FILE} committed)
if(NOT current STREQUAL committed)
  message(FATAL_ERROR "${FILE} is out of date: kumquatbeam-check reference ${PAGE} > ${FILE}")
endif()
