# GCC 12 copies aggregate temporaries of a co_await expression bitwise, so
# strings are freed twice (see docs/adr/0001-compiler.md).
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  message(FATAL_ERROR "Build with clang 16 or later: -DCMAKE_CXX_COMPILER=clang++-16")
endif()

# Compiler options and third-party libraries shared by every target.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(Protobuf REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
if(CAROBMAST_TESTS)
  find_package(rapidcheck REQUIRED)
  pkg_check_modules(CPPUNIT REQUIRED IMPORTED_TARGET cppunit)
endif()

add_library(carobmast_options INTERFACE)
target_compile_options(carobmast_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror
  # Designated initialisers may omit members, which then keep their defaults.
  -Wno-missing-field-initializers)
target_compile_definitions(carobmast_options INTERFACE
  BOOST_ASIO_NO_DEPRECATED
  BOOST_ASIO_SEPARATE_COMPILATION)
target_include_directories(carobmast_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_options(carobmast_options INTERFACE -fuse-ld=lld-16)
target_link_libraries(carobmast_options INTERFACE Threads::Threads Boost::headers)

if(CAROBMAST_SANITIZE)
  target_compile_options(carobmast_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all
    -fno-omit-frame-pointer -O1 -g1)
  target_link_options(carobmast_options INTERFACE -fsanitize=address,undefined)
endif()
