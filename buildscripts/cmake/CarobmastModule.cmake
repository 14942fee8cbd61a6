# carobmast_module(NAME <name> [SOURCES ...] [DEPS ...] [TESTS ...]
#                  [TEST_DEPS ...] [LABEL ...])
#
# Defines the static library carobmast_<name>, or an interface library without
# SOURCES. Each entry of TESTS is a file tests/<entry>.cc whose CppUnit fixture
# is registered under the name <entry>; it becomes the CTest test <name>.<entry>
# with the given label.
function(carobmast_module)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPS;TESTS;TEST_DEPS;LABEL" ${ARGN})
  set(target carobmast_${ARG_NAME})
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    target_link_libraries(${target} PUBLIC carobmast_options ${ARG_DEPS})
  else()
    add_library(${target} INTERFACE)
    target_link_libraries(${target} INTERFACE carobmast_options ${ARG_DEPS})
  endif()
  if(ARG_TESTS)
    carobmast_tests(NAME ${ARG_NAME} DEPS ${target} ${ARG_TEST_DEPS}
                    TESTS ${ARG_TESTS} LABEL ${ARG_LABEL})
  endif()
endfunction()

# carobmast_process_tests(FILE <file>)
#
# Registers each method test_NAME of a Python unittest file as the CTest test
# e2e.NAME. The environment variable CAROBMAST_PROGRAMS tells the tests where
# the programs are.
function(carobmast_process_tests)
  cmake_parse_arguments(ARG "" "FILE" "" ${ARGN})
  find_package(Python3 REQUIRED COMPONENTS Interpreter)
  get_filename_component(file ${ARG_FILE} ABSOLUTE)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  file(STRINGS ${file} methods REGEX "^    def test_")
  foreach(method IN LISTS methods)
    string(REGEX REPLACE "^    def test_([a-z0-9_]+).*" "\\1" name ${method})
    add_test(NAME e2e.${name}
      COMMAND ${Python3_EXECUTABLE} ${file} -k "*.test_${name}")
    set_tests_properties(e2e.${name} PROPERTIES
      LABELS e2e TIMEOUT 300
      ENVIRONMENT CAROBMAST_PROGRAMS=${CMAKE_BINARY_DIR}/bin)
  endforeach()
endfunction()

# carobmast_tests(NAME <name> TESTS ... DEPS ... LABEL ...)
#
# Builds one program from the test files and registers each file with CTest.
# Does nothing unless CAROBMAST_TESTS is on.
function(carobmast_tests)
  cmake_parse_arguments(ARG "" "NAME" "TESTS;DEPS;LABEL" ${ARGN})
  if(NOT CAROBMAST_TESTS)
    return()
  endif()
  set(program ${ARG_NAME}_tests)
  set(files ${ARG_TESTS})
  list(TRANSFORM files PREPEND tests/)
  list(TRANSFORM files APPEND .cc)
  add_executable(${program} ${files})
  target_link_libraries(${program} PRIVATE carobmast_testing ${ARG_DEPS})
  foreach(test IN LISTS ARG_TESTS)
    add_test(NAME ${ARG_NAME}.${test} COMMAND ${program} ${test})
    set_tests_properties(${ARG_NAME}.${test} PROPERTIES
      LABELS "${ARG_LABEL}" TIMEOUT 300)
  endforeach()
endfunction()
