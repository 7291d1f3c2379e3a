// Catch2's main function, compiled once and linked into every test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
