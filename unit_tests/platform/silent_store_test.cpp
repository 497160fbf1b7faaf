#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "unit_tests/platform/small_platform.h"

namespace nutmegarch::platform_adapter {

namespace {

/// All open connections to the store can fall silent, while new ones work. The nodes keep the pace of
/// deployed ones.
struct platform_with_silent_store : small_platform {
  platform_with_silent_store() : small_platform(std::chrono::seconds(1), std::chrono::milliseconds(500)) {}

  /// Returns when the connections fell silent.
  std::chrono::steady_clock::time_point silence_all_watches() {
    BOOST_REQUIRE(wait_for([&]() { return store.open_watches() == 2; }));
    store.set_watches_silent(true);
    store.set_watches_silent(false);
    return std::chrono::steady_clock::now();
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(silent_store)

// Guards against nodes that act on an old configuration because all watches fell silent right before a
// change.
BOOST_FIXTURE_TEST_CASE(change_right_after_all_watches_went_silent_is_in_force_in_time,
                        platform_with_silent_store) {
  for (const std::chrono::milliseconds delay :
       {std::chrono::milliseconds(100), std::chrono::milliseconds(300), std::chrono::milliseconds(600),
        std::chrono::milliseconds(100), std::chrono::milliseconds(300), std::chrono::milliseconds(600)}) {
    const std::chrono::steady_clock::time_point silent = silence_all_watches();
    std::this_thread::sleep_for(delay);
    const std::chrono::steady_clock::time_point in_force = publish_and_await_changed_route();
    const std::chrono::steady_clock::time_point due =
        std::max(silent + stable_window, silent + delay + change_bound);
    BOOST_TEST((in_force <= due), "after " << delay.count() << " ms: late by "
                                           << std::chrono::duration<double>(in_force - due).count() << " s");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::platform_adapter
