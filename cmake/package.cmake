# Build options shared by all targets, and the functions add_package and add_package_tests.

option(SASSAFRASFERRY_SANITIZE "address,undefined or thread; empty for none" "")
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

add_library(project_options INTERFACE)
target_compile_features(project_options INTERFACE cxx_std_20)
# boost/asio/awaitable.hpp 1.74 uses std::exchange without including <utility>.
target_compile_options(project_options INTERFACE -include utility -fcoroutines -Wall -Wextra
    -Werror
    # False positives of g++ 12 on coroutine frames and on "text" + string.
    -Wno-maybe-uninitialized -Wno-mismatched-new-delete -Wno-restrict)
target_compile_definitions(project_options INTERFACE BOOST_ASIO_NO_DEPRECATED
    BOOST_BEAST_USE_STD_STRING_VIEW SASSAFRASFERRY_VERSION="${PROJECT_VERSION}")
if(SASSAFRASFERRY_SANITIZE)
    # With sanitizers, coroutines take several times longer to compile at -O2.
    set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1")
    add_compile_options(-fsanitize=${SASSAFRASFERRY_SANITIZE} -fno-omit-frame-pointer)
    add_link_options(-fsanitize=${SASSAFRASFERRY_SANITIZE})
    if(SASSAFRASFERRY_SANITIZE STREQUAL thread)
        # Asio uses fences, which the thread sanitizer does not support and g++ warns about.
        add_compile_options(-Wno-tsan)
    endif()
endif()

# add_package(NAME SOURCES ... USES ...): one static library sassafrasferry_NAME.
function(add_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;USES" ${ARGN})
    add_library(sassafrasferry_${name} STATIC ${ARG_SOURCES})
    target_include_directories(sassafrasferry_${name} PUBLIC include PRIVATE src)
    target_link_libraries(sassafrasferry_${name} PUBLIC project_options ${ARG_USES})
endfunction()

# add_package_tests(NAME SOURCES ... USES ... SEPARATE_TAGS ...): one Catch2 program with one ctest
# entry, and one more for the test cases of each of the tags, which run on virtual time alone.
function(add_package_tests name)
    if(SASSAFRASFERRY_DEPLOY)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;USES;SEPARATE_TAGS" ${ARGN})
    add_executable(${name}_test ${ARG_SOURCES})
    target_include_directories(${name}_test PRIVATE src)
    target_link_libraries(${name}_test PRIVATE project_options catch_main ${ARG_USES})
    set(tests ${name})
    # Without a test to include, the framework would run hidden ones, too.
    set(others "")
    if(ARG_SEPARATE_TAGS)
        set(others "~[.]")
    endif()
    foreach(tag ${ARG_SEPARATE_TAGS})
        add_test(NAME ${name}_${tag} COMMAND ${name}_test "[${tag}]")
        list(APPEND tests ${name}_${tag})
        string(APPEND others "~[${tag}]")
    endforeach()
    add_test(NAME ${name} COMMAND ${name}_test ${others})
    set_tests_properties(${tests} PROPERTIES TIMEOUT 600)
    # Tests with sockets and clocks run one at a time.
    set_tests_properties(${name} PROPERTIES RESOURCE_LOCK clock)
endfunction()
