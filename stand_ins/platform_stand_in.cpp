#include "stand_ins/platform_stand_in.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <optional>
#include <sstream>

#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include "nutmegarch/http/problem.h"
#include "nutmegarch/http/server.h"

namespace nutmegarch::stand_ins {

namespace {

constexpr duration poll_interval = std::chrono::milliseconds(20);
constexpr duration slow_delay = std::chrono::seconds(1);

enum class platform_mode : std::uint8_t { good, stale, slow, down };

/// Serves the files of a folder. A file's revision counts its changes over all files. Runs on one thread.
class platform final : public http::request_handler {
 public:
  platform(boost::asio::io_context& workers, std::string folder)
      : folder_(std::move(folder)), workers_(workers), timer_(workers) {
    poll();
  }

  void on_request(std::uint64_t exchange, request_message request, answer_callback answer) override {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/stand-in/reads") {
      answer({200, {}, std::to_string(reads_) + '\n'});
      return;
    }
    if (path == "/stand-in/mode") {
      set_mode(request.target);
      answer({200, {}, "good\n"});
      return;
    }
    ++reads_;
    if (mode_ == platform_mode::down) {
      // It stays silent, as a service that is down behind a live address.
      return;
    }
    const std::string key = path.compare(0, 11, "/v1/values/") == 0 ? path.substr(11) : "";
    waiter made{exchange, key, find_header(request.fields, "If-None-Match"), std::move(answer), clock_.now()};
    const std::string prefer = find_header(request.fields, "Prefer");
    if (prefer.compare(0, 5, "wait=") == 0) {
      made.until += std::chrono::seconds(std::atoi(prefer.c_str() + 5));
    }
    if (mode_ == platform_mode::slow) {
      const std::shared_ptr<boost::asio::steady_timer> timer =
          std::make_shared<boost::asio::steady_timer>(workers_, slow_delay);
      timer->async_wait([this, timer, made](const boost::system::error_code&) { serve_or_keep(made); });
      return;
    }
    serve_or_keep(std::move(made));
  }

  void on_disconnect(std::uint64_t exchange) override {
    waiters_.remove_if([exchange](const waiter& waiting) { return waiting.exchange == exchange; });
  }

 private:
  struct value {
    std::string body;
    std::uint64_t revision = 0;
  };

  struct waiter {
    std::uint64_t exchange = 0;
    std::string key;
    std::string known;
    answer_callback answer;
    time_point until{};
  };

  void set_mode(const std::string& target) {
    const std::map<std::string, platform_mode> modes = {{"good", platform_mode::good},
                                                        {"stale", platform_mode::stale},
                                                        {"slow", platform_mode::slow},
                                                        {"down", platform_mode::down}};
    auto found = modes.find(target.substr(target.find('=') + 1));
    if (found != modes.end()) {
      mode_ = found->second;
    }
  }

  void serve_or_keep(waiter made) {
    if (!serve(made)) {
      waiters_.push_back(std::move(made));
    }
  }

  /// Answers a waiter when there is news for it, or its time is over.
  bool serve(const waiter& waiting) {
    auto found = values_.find(waiting.key);
    if (found == values_.end()) {
      waiting.answer(http::make_problem(404, "Not Found", waiting.key));
      return true;
    }
    const std::string tag = '"' + std::to_string(found->second.revision) + '"';
    if (tag != waiting.known) {
      waiting.answer({200, {{"ETag", tag}}, found->second.body});
      return true;
    }
    if (clock_.now() >= waiting.until) {
      waiting.answer({304, {{"ETag", tag}}, ""});
      return true;
    }
    return false;
  }

  void poll() {
    if (mode_ != platform_mode::stale) {
      read_folder();
    }
    if (mode_ != platform_mode::down) {
      waiters_.remove_if([this](const waiter& waiting) { return serve(waiting); });
    }
    timer_.expires_after(poll_interval);
    timer_.async_wait([this](const boost::system::error_code&) { poll(); });
  }

  void read_folder() {
    std::error_code error;
    for (const std::filesystem::directory_entry& entry :
         std::filesystem::recursive_directory_iterator(folder_, error)) {
      if (!entry.is_regular_file(error)) {
        continue;
      }
      const std::string key = std::filesystem::relative(entry.path(), folder_, error).string();
      std::ifstream file(entry.path(), std::ios::binary);
      std::ostringstream content;
      content << file.rdbuf();
      auto known = values_.find(key);
      if (known == values_.end() || known->second.body != content.str()) {
        values_[key] = {content.str(), ++revision_};
      }
    }
  }

  std::string folder_;
  boost::asio::io_context& workers_;
  boost::asio::steady_timer timer_;
  system_time_source clock_;
  platform_mode mode_ = platform_mode::good;
  std::map<std::string, value> values_;
  std::list<waiter> waiters_;
  std::uint64_t revision_ = 0;
  std::uint64_t reads_ = 0;
};

}  // namespace

int run_platform(const std::vector<std::string>& words) {
  TCLAP::CmdLine line("Stand-in for the platform's configuration service.");
  TCLAP::ValueArg<std::string> listen("", "listen", "Address.", true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> folder("", "folder", "Folder whose files are the values.", true, "", "FOLDER",
                                      line);
  std::vector<std::string> arguments = {"nutmegarch_stand_ins platform"};
  arguments.insert(arguments.end(), words.begin(), words.end());
  line.parse(arguments);
  boost::asio::io_context workers(1);
  platform served(workers, folder.getValue());
  http::server_settings settings;
  settings.max_connections = 20'000;
  http::server server(workers, settings, served);
  if (!server.start(listen.getValue())) {
    std::cerr << "can't listen on " << listen.getValue() << '\n';
    return 1;
  }
  workers.run();
  return 0;
}

}  // namespace nutmegarch::stand_ins
