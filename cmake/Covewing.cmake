# Build settings and the folder conventions of the project.

include_guard(GLOBAL)

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo CACHE STRING "Build type" FORCE)
endif()
# Assertions stay on: NDEBUG is not defined.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
set(CMAKE_CXX_FLAGS_RELEASE "-O2")

find_program(COVEWING_CCACHE ccache)
if(COVEWING_CCACHE AND NOT CMAKE_CXX_COMPILER_LAUNCHER)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${COVEWING_CCACHE})
endif()

set(THREADS_PREFER_PTHREAD_FLAG ON)
find_package(Threads REQUIRED)
set(boost_components log thread filesystem system)
if(COVEWING_TESTS)
  list(APPEND boost_components unit_test_framework)
  find_package(rapidcheck REQUIRED)
endif()
find_package(Boost 1.74 REQUIRED COMPONENTS ${boost_components})
find_package(PkgConfig REQUIRED)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
find_package(msgpack REQUIRED CONFIG)
find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(prometheus-cpp REQUIRED)

add_compile_options(-Wall -Wextra -Wshadow -Werror)
add_compile_definitions(BOOST_ALL_DYN_LINK BOOST_TEST_DYN_LINK)

# Asio of Boost 1.74 uses std::exchange without <utility> and does not detect coroutines in clang.
add_library(covewing_asio INTERFACE)
target_compile_options(covewing_asio INTERFACE "SHELL:-include utility")
if(CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
  target_compile_definitions(covewing_asio INTERFACE __cpp_impl_coroutine=201902L
                                                     BOOST_ASIO_HAS_CO_AWAIT)
  target_compile_options(covewing_asio INTERFACE "SHELL:-include coroutine")
endif()

if(COVEWING_FUZZ)
  if(NOT CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
    message(FATAL_ERROR "COVEWING_FUZZ needs clang: set CMAKE_CXX_COMPILER=clang++")
  endif()
  # Every library is instrumented like the fuzz targets that link it.
  add_compile_options(-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined)
  add_link_options(-fsanitize=address,undefined)
endif()

# covewing_library(<folder> [DEPENDS <folder>...] [LIBRARIES <target>...])
# Library covewing_<folder> from src/<folder>/*.cc; header-only where there are none.
function(covewing_library folder)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "DEPENDS;LIBRARIES")
  list(TRANSFORM arg_DEPENDS PREPEND covewing_)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${folder}/*.cc)
  set(target covewing_${folder})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${target} ${scope} ${arg_DEPENDS} ${arg_LIBRARIES} Threads::Threads)
endfunction()

# covewing_executable(<name> [DEPENDS <folder>...])
# Program <name> from src/tools/<stem>.cc and src/tools/<stem>_*.cc, where <stem> is the name with
# underscores. Skipped while the main file does not exist.
function(covewing_executable name)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "DEPENDS")
  list(TRANSFORM arg_DEPENDS PREPEND covewing_)
  string(REPLACE "-" "_" stem ${name})
  file(GLOB main CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/tools/${stem}.cc)
  if(NOT main)
    return()
  endif()
  file(GLOB parts CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/tools/${stem}_*.cc)
  add_executable(${name} ${main} ${parts})
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS})
endfunction()

# covewing_tests(<folder> [DEPENDS <folder>...] [LIBRARIES <target>...])
# One Boost.Test program <folder>_test from tests/<folder>/*.cc, where a *_test.cc exists there.
# It runs in the source root and leaves its report in <build>/test-results/<folder>_test.xml.
function(covewing_tests folder)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "DEPENDS;LIBRARIES")
  list(TRANSFORM arg_DEPENDS PREPEND covewing_)
  file(GLOB tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${folder}/*_test.cc)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${folder}/*.cc)
  if(NOT tests)
    return()
  endif()
  if(NOT TARGET covewing_test_main)
    add_library(covewing_test_main OBJECT ${PROJECT_SOURCE_DIR}/tests/test_main.cc)
    target_link_libraries(covewing_test_main PUBLIC Boost::unit_test_framework)
    file(MAKE_DIRECTORY ${PROJECT_BINARY_DIR}/test-results)
  endif()
  set(target ${folder}_test)
  add_executable(${target} ${sources})
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${target} PRIVATE covewing_test_main covewing_${folder} ${arg_DEPENDS}
                                          ${arg_LIBRARIES} rapidcheck rapidcheck_boost_test)
  add_test(NAME ${target}
           COMMAND ${target} --report_level=detailed --report_format=XML
                   --report_sink=${PROJECT_BINARY_DIR}/test-results/${target}.xml
                   # The last case that was entered is the one that a time-out ended.
                   --log_level=test_suite
           WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  # Property-based tests draw the same cases in every run.
  set_tests_properties(${target} PROPERTIES TIMEOUT 300 ENVIRONMENT RC_PARAMS=seed=1)
endfunction()

# The libraries for a file named <folder>_<subject>_<kind>.cc: that folder's, else the node's.
function(covewing_libraries_for stem result)
  string(REGEX MATCH "^[^_]+" folder ${stem})
  if(TARGET covewing_${folder})
    set(${result} covewing_${folder} PARENT_SCOPE)
  else()
    set(${result} covewing_node covewing_emulator PARENT_SCOPE)
  endif()
endfunction()

# One libFuzzer program per tests/fuzz/*_fuzz.cc; the target `fuzz` builds them all.
function(covewing_fuzz_targets)
  add_custom_target(fuzz)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/fuzz/*_fuzz.cc)
  foreach(source IN LISTS sources)
    get_filename_component(stem ${source} NAME_WE)
    covewing_libraries_for(${stem} libraries)
    add_executable(${stem} ${source})
    target_link_libraries(${stem} PRIVATE ${libraries})
    target_link_options(${stem} PRIVATE -fsanitize=fuzzer)
    set_target_properties(${stem} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/fuzz)
    add_dependencies(fuzz ${stem})
  endforeach()
endfunction()

# One Google Benchmark program per benchmarks/*_benchmark.cc.
function(covewing_benchmarks)
  find_package(benchmark REQUIRED)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/benchmarks/*_benchmark.cc)
  foreach(source IN LISTS sources)
    get_filename_component(stem ${source} NAME_WE)
    covewing_libraries_for(${stem} libraries)
    add_executable(${stem} ${source})
    target_link_libraries(${stem} PRIVATE ${libraries} benchmark::benchmark
                                          benchmark::benchmark_main)
  endforeach()
endfunction()
