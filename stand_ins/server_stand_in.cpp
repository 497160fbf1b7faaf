#include "stand_ins/server_stand_in.h"

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/crc.hpp>
#include <tclap/CmdLine.h>

#include "nutmegarch/http/address.h"

namespace nutmegarch::stand_ins {

namespace {

using boost::asio::ip::tcp;
using steady = std::chrono::steady_clock;

/// Requests that wait, over the slots.
constexpr int queue_share = 2;
/// Largest answer, in repeats of the request's id.
constexpr unsigned most_repeats = 400;
/// An extra answer comes this long after the answer that it follows.
constexpr std::chrono::milliseconds extra_delay{20};

struct server_options {
  std::string listen;
  std::string service;
  std::string instance;
  int slots = 8;
  std::chrono::microseconds mean{20'000};
  /// Where a request whose path begins with /chain/ goes on to call.
  std::string node;
};

struct server_request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string field(const std::string& name) const {
    auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
};

unsigned checksum(const std::string& text) {
  boost::crc_32_type sum;
  sum.process_bytes(text.data(), text.size());
  return sum.checksum();
}

std::string hexadecimal(unsigned number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

std::string lower(std::string text) {
  for (char& letter : text) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return text;
}

/// What the callers of the stand-in expect for an id: they compute the same.
std::string body_of(const std::string& id) {
  std::string body;
  for (unsigned count = 1 + checksum(id) % most_repeats; count > 0; --count) {
    body += id + '\n';
  }
  return body;
}

/// Whether a request runs, and how many do and wait.
class slot_gate {
 public:
  explicit slot_gate(int slots) : slots_(slots) {}

  bool enter(steady::time_point until) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (running_ >= slots_ && waiting_ >= slots_ * queue_share) {
      return false;
    }
    ++waiting_;
    const bool has_slot = free_.wait_until(lock, until, [this]() { return running_ < slots_; });
    --waiting_;
    running_ += has_slot ? 1 : 0;
    return has_slot;
  }

  void leave() {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    free_.notify_one();
  }

  std::string load() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::to_string(running_) + ',' + std::to_string(waiting_) + ',' + std::to_string(slots_);
  }

 private:
  const int slots_;
  mutable std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  int waiting_ = 0;
};

/// One thread a connection.
class server {
 public:
  explicit server(server_options options) : options_(std::move(options)), gate_(options_.slots) {}

  void serve(tcp::socket socket) {
    boost::system::error_code error;
    std::string buffer;
    while (const std::optional<server_request> request = read(socket, buffer)) {
      if (!answer(socket, *request)) {
        break;
      }
    }
    socket.close(error);
  }

 private:
  static std::optional<server_request> read(tcp::socket& socket, std::string& buffer) {
    boost::system::error_code error;
    const std::size_t size =
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
    if (error) {
      return std::nullopt;
    }
    std::istringstream head(buffer.substr(0, size));
    buffer.erase(0, size);
    server_request request;
    std::string line;
    head >> request.method >> request.target;
    std::getline(head, line);
    while (std::getline(head, line) && line.size() > 1) {
      const std::size_t colon = line.find(':');
      const std::size_t begin = line.find_first_not_of(' ', colon + 1);
      request.fields[lower(line.substr(0, colon))] = line.substr(begin, line.size() - begin - 1);
    }
    if (request.field("transfer-encoding").empty()) {
      const std::string length = request.field("content-length");
      const std::size_t due = length.empty() ? 0 : std::stoul(length);
      return read_bytes(socket, buffer, due, request.body) ? std::optional(request) : std::nullopt;
    }
    while (true) {
      const std::size_t end =
          boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n", error);
      if (error) {
        return std::nullopt;
      }
      const std::size_t due = std::stoul(buffer.substr(0, end), nullptr, 16);
      buffer.erase(0, end);
      std::string chunk;
      if (!read_bytes(socket, buffer, due + 2, chunk)) {
        return std::nullopt;
      }
      request.body += chunk.substr(0, due);
      if (due == 0) {
        return request;
      }
    }
  }

  static bool read_bytes(tcp::socket& socket, std::string& buffer, std::size_t due, std::string& to) {
    boost::system::error_code error;
    if (buffer.size() < due) {
      boost::asio::read(socket, boost::asio::dynamic_buffer(buffer),
                        boost::asio::transfer_exactly(due - buffer.size()), error);
    }
    if (error) {
      return false;
    }
    to = buffer.substr(0, due);
    buffer.erase(0, due);
    return true;
  }

  /// False when the connection has to close.
  bool answer(tcp::socket& socket, const server_request& request) {
    if (request.target.compare(0, 10, "/stand-in/") == 0) {
      set_trouble(request.target);
      return write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    if (request.target == "/health") {
      return write(socket,
                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nNutmegarch-Instance-Id: " + options_.instance +
                       "\r\nNutmegarch-Server-Load: " + gate_.load() + "\r\n\r\n");
    }
    const std::string id = request.field("nutmegarch-attempt-id");
    const std::string deadline = request.field("nutmegarch-deadline-ms");
    const std::string expected = request.field("nutmegarch-target-instance");
    if (id.empty()) {
      return reject(socket, 400, id);
    }
    if (!expected.empty() && expected != options_.instance) {
      return reject(socket, 421, id);
    }
    say('A', id, request.target);
    const std::chrono::milliseconds left(deadline.empty() ? 1000 : std::stol(deadline));
    const steady::time_point until = steady::now() + left;
    if (chance(share("reject")) || !gate_.enter(until)) {
      return reject(socket, 503, id);
    }
    say('R', id,
        request.method + ' ' + request.target + ' ' + hexadecimal(checksum(request.body)) + ' ' +
            request.field("nutmegarch-caller-service"));
    int status = work(request, id, until);
    gate_.leave();
    status = chance(share("fail")) ? 500 : status;
    say('D', id, std::to_string(status));
    return respond(socket, id, status);
  }

  /// The status of the answer.
  int work(const server_request& request, const std::string& id, steady::time_point until) {
    std::exponential_distribution<double> draw(1);
    std::chrono::microseconds length(
        static_cast<std::int64_t>(static_cast<double>(options_.mean.count()) * draw(engine())));
    length *= std::max(1, static_cast<int>(share("slow")));
    std::this_thread::sleep_until(std::min(steady::now() + length, until));
    if (steady::now() >= until) {
      return 504;
    }
    return request.target.compare(0, 7, "/chain/") == 0 && !call_behind(id, until) ? 500 : 200;
  }

  bool call_behind(const std::string& parent, steady::time_point until) {
    const std::string id = "c" + std::to_string(++calls_) + '-' + options_.instance;
    const std::string target = "/peek/" + id;
    const std::int64_t left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
    say('C', id, parent + ' ' + target);
    boost::asio::io_context context;
    boost::system::error_code error;
    tcp::socket socket(context);
    socket.connect(*http::parse_address(options_.node), error);
    if (error) {
      return false;
    }
    const timeval patience = {left / 1000, left % 1000 * 1000 + 1};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    write(socket, "GET " + target + " HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n" +
                      "Nutmegarch-Attempt-Id: " + id + "\r\nNutmegarch-Deadline-Ms: " + std::to_string(left) +
                      "\r\n\r\n");
    std::array<char, 16> begin{};
    // A plain read: those of Asio wait on after a time-out of the socket.
    const ssize_t size = ::recv(socket.native_handle(), begin.data(), begin.size(), MSG_WAITALL);
    return size > 12 && std::string(begin.data() + 9, 3) == "200";
  }

  bool respond(tcp::socket& socket, const std::string& id, int status) {
    if (chance(share("lose"))) {
      return false;
    }
    if (chance(share("garbage"))) {
      write(socket, "these bytes are no answer\r\n\r\n");
      return false;
    }
    const std::string body = body_of(id);
    const bool is_chunked = checksum(id) % 8 == 1;
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + " Answer\r\nNutmegarch-Attempt-Id: " + id +
        "\r\nNutmegarch-Response-Signature: " + hexadecimal(checksum(id + std::to_string(status) + body)) +
        "\r\nNutmegarch-Server-Load: " + gate_.load() + "\r\n" + limit_line() + leaving_field();
    if (is_chunked) {
      std::ostringstream size;
      size << std::hex << body.size();
      text += "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body + "\r\n0\r\n\r\n";
    } else {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    if (chance(share("truncate"))) {
      write(socket, text.substr(0, text.size() - body.size() / 2 - 1));
      return false;
    }
    if (!write(socket, text)) {
      return false;
    }
    if (chance(share("extra"))) {
      std::this_thread::sleep_for(extra_delay);
      return write(socket, text);
    }
    return true;
  }

  bool reject(tcp::socket& socket, int status, const std::string& id) {
    return write(socket, "HTTP/1.1 " + std::to_string(status) +
                             " Rejected\r\nNutmegarch-Not-Executed: 1\r\nContent-Length: 0\r\n" +
                             "Nutmegarch-Attempt-Id: " + id + "\r\nNutmegarch-Server-Load: " + gate_.load() +
                             "\r\n" + limit_line() + leaving_field() + "\r\n");
  }

  /// The header line that names the requests a second of the trouble "limit"; empty without it.
  std::string limit_line() const {
    const double limit = share("limit");
    return limit > 0 ? "Server-Limit: " + std::to_string(limit) + "\r\n" : "";
  }

  /// Header line of the answers of a server that leaves.
  std::string leaving_field() const { return share("leaving") > 0 ? "Server-Leaving: 1\r\n" : ""; }

  static bool write(tcp::socket& socket, const std::string& text) {
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(text), error);
    return !error;
  }

  /// One write a line, so that nothing is lost when the process is killed.
  static void say(char what, const std::string& id, const std::string& more) {
    const std::chrono::milliseconds now =
        std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch());
    const std::string line = what + (' ' + id) + ' ' + std::to_string(now.count()) + ' ' + more + '\n';
    static_cast<void>(::write(STDOUT_FILENO, line.data(), line.size()) < 0);
  }

  void set_trouble(const std::string& target) {
    const std::lock_guard<std::mutex> lock(mutex_);
    shares_.clear();
    std::istringstream words(target.substr(std::min(target.size(), target.find('?') + 1)));
    std::string word;
    while (std::getline(words, word, '&')) {
      const std::size_t sign = word.find('=');
      shares_[word.substr(0, sign)] = std::stod(word.substr(sign + 1));
    }
  }

  double share(const std::string& name) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto found = shares_.find(name);
    return found == shares_.end() ? 0 : found->second;
  }

  static std::mt19937& engine() {
    thread_local std::mt19937 own{std::random_device{}()};
    return own;
  }

  static bool chance(double share) { return share > 0 && std::bernoulli_distribution(share)(engine()); }

  const server_options options_;
  slot_gate gate_;
  mutable std::mutex mutex_;
  std::map<std::string, double> shares_;
  std::atomic<int> calls_{0};
};

}  // namespace

int run_server(const std::vector<std::string>& words) {
  TCLAP::CmdLine line("Stand-in for an application server of the platform.");
  TCLAP::ValueArg<std::string> listen("", "listen", "Address.", true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> service("", "service", "Its service.", true, "", "NAME", line);
  TCLAP::ValueArg<std::string> instance("", "instance", "Its id.", true, "", "ID", line);
  TCLAP::ValueArg<std::string> node("", "node", "Callers' address of its node.", true, "", "IP:PORT", line);
  TCLAP::ValueArg<int> slots("", "slots", "Requests that run at once.", false, 8, "N", line);
  TCLAP::ValueArg<double> mean("", "mean-ms", "Mean service time.", false, 20, "MS", line);
  std::vector<std::string> arguments = {"nutmegarch_stand_ins server"};
  arguments.insert(arguments.end(), words.begin(), words.end());
  line.parse(arguments);
  server served({listen.getValue(), service.getValue(), instance.getValue(), slots.getValue(),
                 std::chrono::microseconds(static_cast<std::int64_t>(mean.getValue() * 1000)),
                 node.getValue()});

  boost::asio::io_context context;
  boost::system::error_code error;
  tcp::acceptor acceptor(context);
  const tcp::endpoint address = *http::parse_address(listen.getValue());
  acceptor.open(address.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(address, error);
  if (error) {
    std::cerr << "can't listen on " << listen.getValue() << '\n';
    return 1;
  }
  acceptor.listen();
  while (true) {
    tcp::socket socket(context);
    acceptor.accept(socket, error);
    if (!error) {
      std::thread([&served, moved = std::move(socket)]() mutable {
        served.serve(std::move(moved));
      }).detach();
    }
  }
}

}  // namespace nutmegarch::stand_ins
