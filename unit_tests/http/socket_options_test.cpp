#include "nutmegarch/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>

#include "platform/store_client.h"

namespace nutmegarch::http {

namespace {

int tcp_option(boost::asio::ip::tcp::socket& socket, int name) {
  int value = 0;
  socklen_t size = sizeof(value);
  BOOST_REQUIRE(getsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, &size) == 0);
  return value;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(socket_options)

// Guards against watches of the store that stay silent until their own time-out: their connections were
// broken by the system after five seconds only.
BOOST_AUTO_TEST_CASE(silent_connection_to_the_store_is_broken_before_a_change_is_overdue) {
  // Time for a new connection, and the read and the use of the change.
  constexpr std::chrono::milliseconds reserve{400};
  constexpr std::chrono::milliseconds change_bound{2'500};
  const liveness_settings liveness = platform_adapter::make_store_connection_settings().liveness;
  BOOST_TEST((liveness.longest_idle_silence() + reserve <= change_bound));
  BOOST_TEST((liveness.user_timeout + reserve <= change_bound));

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
  set_connection_options(socket, liveness);
  BOOST_TEST(tcp_option(socket, TCP_KEEPIDLE) == liveness.probe_after.count());
  BOOST_TEST(tcp_option(socket, TCP_KEEPINTVL) == liveness.probe_interval.count());
  BOOST_TEST(tcp_option(socket, TCP_KEEPCNT) == liveness.max_probes);
  BOOST_TEST(tcp_option(socket, TCP_USER_TIMEOUT) == liveness.user_timeout.count());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
