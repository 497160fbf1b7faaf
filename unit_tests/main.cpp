#define BOOST_TEST_MODULE nutmegarch
#include <boost/test/unit_test.hpp>

#include "nutmegarch/observe/log.h"

namespace {

/// Limits the log of the nodes under test to errors, to keep the test output short.
struct errors_only_log {
  errors_only_log() { nutmegarch::observe::configure_log({nutmegarch::observe::log_level::error, false}); }
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(errors_only_log);
