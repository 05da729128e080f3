# Functions that the CMakeLists.txt of every module use. A slice is a module of
# the project: it is built as one static library, and each of its test files as
# one program.

find_package(PkgConfig REQUIRED)
pkg_check_modules(LOOM_LIBS REQUIRED talloc tevent libtirpc libmicrohttpd
  libcurl log4c jansson libxxhash glib-2.0 argtable2 zlib)
pkg_check_modules(LOOM_CUNIT REQUIRED cunit)
find_package(Threads REQUIRED)
# http_parser comes without a pkg-config file.
find_library(LOOM_HTTP_PARSER http_parser REQUIRED)

add_library(loom_options INTERFACE)
target_compile_definitions(loom_options INTERFACE _GNU_SOURCE)
target_compile_options(loom_options INTERFACE -Wall -Wextra -Werror -Wshadow
  -Wstrict-prototypes -Wmissing-prototypes -Wpointer-arith -Wundef
  -Wformat=2 -Wno-unused-parameter -fno-omit-frame-pointer
  ${LOOM_LIBS_CFLAGS})
target_include_directories(loom_options INTERFACE ${CMAKE_SOURCE_DIR}/include)
target_link_libraries(loom_options INTERFACE ${LOOM_LIBS_LDFLAGS}
  ${LOOM_HTTP_PARSER} Threads::Threads m)
if(LOOM_SANITIZE)
  target_compile_options(loom_options INTERFACE -fsanitize=${LOOM_SANITIZE}
    -fno-sanitize-recover=all)
  target_link_options(loom_options INTERFACE -fsanitize=${LOOM_SANITIZE})
endif()

# loom_add_slice(NAME SOURCES a.c ... USES other ...)
# Adds the library loom_NAME; USES names the modules that it calls.
function(loom_add_slice name)
  cmake_parse_arguments(arg "" "" "SOURCES;USES" ${ARGN})
  add_library(loom_${name} STATIC ${arg_SOURCES})
  target_include_directories(loom_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(loom_${name} PUBLIC loom_options)
  foreach(used ${arg_USES})
    target_link_libraries(loom_${name} PUBLIC loom_${used})
  endforeach()
endfunction()

# loom_add_test(NAME USES module ...)
# Builds tests/NAME.c with CUnit and adds it to ctest, which runs it in the
# module's tests folder.
function(loom_add_test name)
  cmake_parse_arguments(arg "" "" "USES" ${ARGN})
  add_executable(${name} tests/${name}.c)
  target_compile_options(${name} PRIVATE ${LOOM_CUNIT_CFLAGS})
  target_link_libraries(${name} PRIVATE loom_support ${LOOM_CUNIT_LDFLAGS})
  foreach(used ${arg_USES})
    target_link_libraries(${name} PRIVATE loom_${used})
  endforeach()
  add_test(NAME ${name} COMMAND ${name}
    WORKING_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/tests)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# loom_add_program(NAME SOURCES a.c ... USES module ...)
# Adds the program NAME, which is built into the build folder's bin.
function(loom_add_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;USES" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE loom_options)
  foreach(used ${arg_USES})
    target_link_libraries(${name} PRIVATE loom_${used})
  endforeach()
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
