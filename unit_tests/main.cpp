#define BOOST_TEST_MODULE nutmegarch
#include <boost/test/unit_test.hpp>

#include "nutmegarch/observe/log.h"

namespace {

/// Keeps what the nodes under test log out of the output.
struct quiet_log {
  quiet_log() { nutmegarch::observe::configure_log({nutmegarch::observe::log_level::error, false}); }
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(quiet_log);
