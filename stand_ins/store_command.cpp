#include "stand_ins/store_command.h"

#include <functional>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include "stand_ins/store_stand_in.h"

namespace nutmegarch::stand_ins {

namespace {

constexpr std::chrono::milliseconds watch_tick{50};
const std::string control_prefix = "/stand-in/";

/// The store, and the calls with which a test changes it.
class controlled_store final : public http::request_handler {
 public:
  void on_request(std::uint64_t exchange, request_message request, answer_callback answer) override {
    if (request.target.compare(0, control_prefix.size(), control_prefix) != 0) {
      store_.on_request(exchange, std::move(request), std::move(answer));
      return;
    }
    const std::string rest = request.target.substr(control_prefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const std::string argument = rest.substr(std::min(slash + 1, rest.size()));
    control(rest.substr(0, slash), argument, request.body);
    answer({200, {}, std::to_string(store_.revision())});
  }

  void end_watches() { store_.end_watches(); }

 private:
  void control(const std::string& what, const std::string& argument, const std::string& body) {
    if (what == "put") {
      store_.put(argument, body);
    } else if (what == "remove") {
      store_.remove(argument);
    } else if (what == "forget") {
      store_.forget_history();
    } else if (what == "copy") {
      store_.take_copy();
    } else if (what == "return") {
      store_.return_from_copy();
    } else if (what == "mode") {
      using mode = store_stand_in::mode;
      store_.set_mode(argument == "refuses"  ? mode::refuses
                      : argument == "limits" ? mode::limits
                      : argument == "silent" ? mode::silent
                                             : mode::good);
    }
  }

  store_stand_in store_;
};

}  // namespace

int run_store(const std::vector<std::string>& words) {
  TCLAP::CmdLine line("Stand-in for the metadata store of the platform.");
  TCLAP::ValueArg<std::string> listen("", "listen", "Address.", true, "", "IP:PORT", line);
  std::vector<std::string> arguments = {"nutmegarch_stand_ins store"};
  arguments.insert(arguments.end(), words.begin(), words.end());
  line.parse(arguments);

  boost::asio::io_context workers(1);
  controlled_store store;
  http::server server(workers, {}, store);
  if (!server.start(listen.getValue())) {
    std::cerr << "can't listen on " << listen.getValue() << '\n';
    return 1;
  }
  boost::asio::steady_timer timer(workers);
  const std::function<void()> tick = [&]() {
    store.end_watches();
    timer.expires_after(watch_tick);
    timer.async_wait([&](const boost::system::error_code&) { tick(); });
  };
  tick();
  workers.run();
  return 0;
}

}  // namespace nutmegarch::stand_ins
