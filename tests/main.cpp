// Main function of all test programs. A broken invariant aborts the program.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "base/invariant.h"
#include "base/log.h"

int main(int argc, char **argv)
{
    banyanledge::startLog("error", "test");
    banyanledge::setInvariantsFatal(true);
    return Catch::Session().run(argc, argv);
}
