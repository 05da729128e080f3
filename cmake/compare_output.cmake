# Runs PROGRAM with ARGUMENTS and compares its standard output with the file
# EXPECTED. With LOOM_ACCEPT in the environment the file is overwritten with the
# output before the comparison.

separate_arguments(ARGUMENTS)
execute_process(COMMAND ${PROGRAM} ${ARGUMENTS}
  OUTPUT_VARIABLE actual RESULT_VARIABLE result)
if(DEFINED ENV{LOOM_ACCEPT})
  file(WRITE ${EXPECTED} "${actual}")
endif()
file(READ ${EXPECTED} expected)
if(NOT result EQUAL 0)
  message(FATAL_ERROR "${PROGRAM} failed with exit code ${result}:\n${actual}")
endif()
if(NOT actual STREQUAL expected)
  message(FATAL_ERROR "output differs, expected:\n${expected}\ngot:\n${actual}")
endif()
