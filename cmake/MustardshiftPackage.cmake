# Compiler settings of all hand-written targets.
function(mustardshift_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror)
endfunction()

# Declares a CppUnit test program. All its arguments but the first are sources and, behind
# LIBRARIES, what it links.
function(mustardshift_add_test name)
  if(NOT MUSTARDSHIFT_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(TEST "" "" "LIBRARIES" ${ARGN})
  add_executable(${name} ${TEST_UNPARSED_ARGUMENTS})
  mustardshift_warnings(${name})
  target_link_libraries(${name} PRIVATE mustardshift_test_support ${TEST_LIBRARIES})
  add_test(NAME ${name} COMMAND ${name} --known-red=${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
  # RapidCheck draws a new seed for each run otherwise, and a failure in CI would not repeat.
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
