# Tests that run the programs as separate processes.
add_test(NAME bad_input COMMAND ${CMAKE_SOURCE_DIR}/tests/bad_input_test.sh)
add_test(NAME promises COMMAND ${CMAKE_SOURCE_DIR}/tests/promises_test.sh)
add_test(NAME drill_short COMMAND ${CMAKE_SOURCE_DIR}/scripts/drill --short --seed 1)
set_tests_properties(bad_input promises drill_short PROPERTIES ENVIRONMENT "BUILD=${CMAKE_BINARY_DIR}" RUN_SERIAL ON)

# A short soak test of the gateway; scripts/soak runs long ones.
add_test(NAME soak_short COMMAND acaciaspring_soak --seed 1 --seconds 8
  --binary $<TARGET_FILE:acaciaspring_gatewayd> --directory ${CMAKE_BINARY_DIR}/soak-short)
set_tests_properties(soak_short PROPERTIES RUN_SERIAL ON)
