// The one translation unit that holds Catch2's main, built once and linked by every test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
