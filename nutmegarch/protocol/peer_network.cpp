#include "nutmegarch/protocol/peer_network.h"

#include <atomic>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include "nutmegarch/http/address.h"
#include "nutmegarch/protocol/asio_event_port.h"
#include "nutmegarch/protocol/asio_stream.h"
#include "nutmegarch/protocol/codec.h"

namespace nutmegarch::protocol {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(100);

using tcp = boost::asio::ip::tcp;

/// One connection to a peer, from its first attempt to connect on.
struct connection : kj::Refcounted {
  std::string address;
  kj::Own<asio_stream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  kj::Maybe<wire::Peer::Client> peer;
  kj::Own<kj::PromiseFulfiller<void>> make_ready;
  kj::ForkedPromise<void> ready = kj::Promise<void>(kj::READY_NOW).fork();
  kj::Own<kj::PromiseFulfiller<void>> break_up;
  kj::ForkedPromise<void> broken = kj::Promise<void>(kj::READY_NOW).fork();
  int open_calls = 0;
  bool ping_open = false;
  time_point began{};
  time_point heard{};
  time_point ping_sent{};
};

}  // namespace

/// Lives on the network's thread; only post() is called from others.
class peer_network::impl final : public kj::TaskSet::ErrorHandler {
 public:
  impl(boost::asio::io_context& io, const peer_network_settings& settings)
      : settings_(settings), io_(io), work_(io.get_executor()), acceptor_(io), timer_(io) {}

  bool start(const std::string& address, peer_service& service) {
    service_ = &service;
    if (!listen(address)) {
      return false;
    }
    thread_ = std::thread([this]() { run(); });
    return true;
  }

  void request_stop() {
    post([this]() {
      if (end_) {
        end_->fulfill();
      }
    });
  }

  void join() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /// Runs a function on the network's thread.
  void post(std::function<void()> job) { boost::asio::post(io_, std::move(job)); }

  std::uint64_t next_number() { return ++last_number_; }

  void call(std::uint64_t number, const std::string& address, peer_call content, answer_callback done) {
    send(number, address, std::move(done), [content = std::move(content)](wire::Peer::Client& peer) {
      auto request = peer.callRequest();
      write(content, request.initContext(), request.initRequest());
      return request.send().then([](auto&& response) { return read(response.getAnswer()); });
    });
  }

  void request_ticket(std::uint64_t number, const std::string& address, peer_call content,
                      answer_callback done) {
    send(number, address, std::move(done), [content = std::move(content)](wire::Peer::Client& peer) {
      auto request = peer.issueTicketRequest();
      write_context(content.context, content.stamp, request.initContext());
      return request.send().then([](auto&& response) { return read(response.getAnswer()); });
    });
  }

  void exchange(std::uint64_t number, const std::string& address, peer_exchange offer,
                exchange_callback done) {
    send(number, address, std::move(done), [offer = std::move(offer)](wire::Peer::Client& peer) {
      auto request = peer.exchangeRequest();
      write(offer, request.initOffer());
      return request.send().then([](auto&& response) { return read(response.getReply()); });
    });
  }

  void cancel(std::uint64_t number) { outgoing_.erase(number); }

  void drop_connections() {
    while (!connections_.empty()) {
      drop(connections_.begin()->second->address);
    }
  }

  void answer(std::uint64_t exchange, peer_answer content) {
    auto found = incoming_.find(exchange);
    if (found == incoming_.end()) {
      return;
    }
    kj::Own<kj::PromiseFulfiller<peer_answer>> fulfiller = kj::mv(found->second);
    incoming_.erase(found);
    fulfiller->fulfill(kj::mv(content));
  }

 private:
  class server;

  bool listen(const std::string& address) {
    const std::optional<tcp::endpoint> endpoint = http::parse_address(address);
    if (!endpoint) {
      return false;
    }
    boost::system::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor_.bind(*endpoint, error);
    if (!error) {
      acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    return !error;
  }

  void run() {
    asio_event_port port(io_);
    kj::EventLoop loop(port);
    kj::WaitScope scope(loop);
    kj::TaskSet tasks(*this);
    tasks_ = &tasks;
    capnp::TwoPartyServer rpc_server(make_server());
    kj::PromiseFulfillerPair<void> end = kj::newPromiseAndFulfiller<void>();
    end_ = kj::mv(end.fulfiller);
    accept(rpc_server);
    tick();
    end.promise.wait(scope);

    // Nothing may run after this.
    is_ending_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    outgoing_.clear();
    connections_.clear();
    dropped_.clear();
    incoming_.clear();
  }

  capnp::Capability::Client make_server();

  void accept(capnp::TwoPartyServer& rpc_server) {
    acceptor_.async_accept([this, &rpc_server](const boost::system::error_code& error, tcp::socket socket) {
      if (is_ending_ || !acceptor_.is_open()) {
        return;
      }
      if (!error) {
        rpc_server.accept(kj::heap<asio_stream>(std::move(socket)));
      }
      accept(rpc_server);
    });
  }

  void tick() {
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error || is_ending_) {
        return;
      }
      clear_finished();
      watch_connections();
      tick();
    });
  }

  /// Pings connections on which an answer is due, and closes silent and idle ones.
  void watch_connections() {
    const time_point now = clock_.now();
    std::vector<std::string> to_drop;
    for (std::pair<const std::string, kj::Own<connection>>& entry : connections_) {
      connection& known = *entry.second;
      if (known.peer == nullptr) {
        if (now - known.began > settings_.connect_timeout) {
          to_drop.push_back(entry.first);
        }
        continue;
      }
      const bool is_silent =
          known.ping_open && known.heard < known.ping_sent && now - known.ping_sent > settings_.ping_timeout;
      const bool is_idle = known.open_calls == 0 && now - known.heard > settings_.idle_timeout;
      if (is_silent || is_idle) {
        to_drop.push_back(entry.first);
      } else if (known.open_calls > 0 && !known.ping_open && now - known.heard > settings_.ping_after) {
        ping(known, now);
      }
    }
    for (const std::string& address : to_drop) {
      drop(address);
    }
    dropped_.clear();
  }

  void ping(connection& known, time_point now) {
    known.ping_open = true;
    known.ping_sent = now;
    kj::Own<connection> held = kj::addRef(known);
    KJ_IF_MAYBE (peer, known.peer) {
      tasks_->add(peer->pingRequest()
                      .send()
                      .ignoreResult()
                      .exclusiveJoin(known.broken.addBranch())
                      .then([this, held = kj::mv(held)]() mutable {
                        held->ping_open = false;
                        held->heard = clock_.now();
                      }));
    }
  }

  connection& connect(const std::string& address) {
    auto found = connections_.find(address);
    if (found != connections_.end()) {
      return *found->second;
    }
    kj::Own<connection> made = kj::refcounted<connection>();
    connection& known = *made;
    known.address = address;
    known.began = clock_.now();
    kj::PromiseFulfillerPair<void> broken = kj::newPromiseAndFulfiller<void>();
    known.break_up = kj::mv(broken.fulfiller);
    known.broken = broken.promise.fork();
    kj::PromiseFulfillerPair<void> ready = kj::newPromiseAndFulfiller<void>();
    known.make_ready = kj::mv(ready.fulfiller);
    known.ready = ready.promise.fork();
    open(known);
    connections_.emplace(address, kj::mv(made));
    return known;
  }

  void open(connection& known) {
    const std::optional<tcp::endpoint> endpoint = http::parse_address(known.address);
    const std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(io_);
    socket->async_connect(
        endpoint.value_or(tcp::endpoint()),
        [this, socket, held = kj::addRef(known)](const boost::system::error_code& error) mutable {
          if (is_ending_ || !is_current(*held)) {
            return;
          }
          if (error) {
            drop(held->address);
            return;
          }
          use(*held, std::move(*socket));
        });
  }

  void use(connection& known, tcp::socket socket) {
    known.stream = kj::heap<asio_stream>(std::move(socket));
    known.client = kj::heap<capnp::TwoPartyClient>(*known.stream);
    known.peer = known.client->bootstrap().castAs<wire::Peer>();
    known.heard = clock_.now();
    known.make_ready->fulfill();
    kj::Own<connection> held = kj::addRef(known);
    tasks_->add(
        known.client->onDisconnect()
            .exclusiveJoin(known.broken.addBranch())
            .then([this, held = kj::mv(held)]() mutable { drop_this(*held); }, [](kj::Exception&&) {}));
  }

  bool is_current(const connection& known) const {
    auto found = connections_.find(known.address);
    return found != connections_.end() && found->second.get() == &known;
  }

  void drop_this(connection& known) {
    if (is_current(known)) {
      drop(known.address);
    }
  }

  /// Takes a connection out of use. It is destroyed at the next tick, outside of its own callbacks.
  void drop(const std::string& address) {
    auto found = connections_.find(address);
    if (found == connections_.end()) {
      return;
    }
    kj::Own<connection> gone = kj::mv(found->second);
    connections_.erase(found);
    gone->break_up->reject(KJ_EXCEPTION(DISCONNECTED, "connection dropped"));
    dropped_.push_back(kj::mv(gone));
  }

  /// Sends one request over the connection to `address`, and tells `done` what came of it.
  template <typename Callback, typename Send>
  void send(std::uint64_t number, const std::string& address, Callback done, Send send_request) {
    connection& known = connect(address);
    kj::Own<connection> held = kj::addRef(known);
    const std::shared_ptr<bool> is_written = std::make_shared<bool>(false);
    const std::shared_ptr<Callback> callback = std::make_shared<Callback>(std::move(done));
    ++known.open_calls;
    kj::Promise<void> promise =
        known.ready.addBranch()
            .then([&known, is_written, send_request = kj::mv(send_request)]() mutable {
              *is_written = true;
              return send_request(KJ_ASSERT_NONNULL(known.peer));
            })
            .then([this, &known, callback](auto&& content) {
              known.heard = clock_.now();
              (*callback)(std::forward<decltype(content)>(content));
            })
            .exclusiveJoin(known.broken.addBranch())
            .then([this, number]() { finished_.push_back(number); },
                  [this, number, callback, is_written](kj::Exception&&) {
                    finished_.push_back(number);
                    (*callback)(*is_written ? peer_error::lost : peer_error::unreachable);
                  })
            .attach(kj::defer([held = kj::mv(held)]() mutable { --held->open_calls; }))
            .eagerlyEvaluate(nullptr);
    outgoing_.emplace(number, kj::mv(promise));
  }

  /// Promises can't be destroyed by their own callbacks, so finished ones are collected.
  void clear_finished() {
    for (const std::uint64_t number : finished_) {
      outgoing_.erase(number);
    }
    finished_.clear();
  }

  void taskFailed(kj::Exception&&) override {}

  peer_network_settings settings_;
  system_time_source clock_;
  peer_service* service_ = nullptr;
  std::thread thread_;
  std::atomic<std::uint64_t> last_number_{0};
  boost::asio::io_context& io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;

  kj::TaskSet* tasks_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> end_;
  bool is_ending_ = false;
  std::map<std::string, kj::Own<connection>> connections_;
  std::vector<kj::Own<connection>> dropped_;
  std::unordered_map<std::uint64_t, kj::Promise<void>> outgoing_;
  std::vector<std::uint64_t> finished_;
  std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<peer_answer>>> incoming_;
  std::uint64_t next_exchange_ = 1;
};

/// The interface that peers call.
class peer_network::impl::server final : public wire::Peer::Server {
 public:
  explicit server(impl& owner) : owner_(owner) {}

  kj::Promise<void> call(CallContext context) override {
    context.allowCancellation();
    peer_call content = read(context.getParams().getContext(), context.getParams().getRequest());
    context.releaseParams();
    return wait_for_answer(
        [this, &content](std::uint64_t exchange) { owner_.service_->on_call(exchange, std::move(content)); },
        [context](const peer_answer& answer) mutable { write(answer, context.getResults().initAnswer()); });
  }

  kj::Promise<void> issueTicket(IssueTicketContext context) override {
    peer_call content = read_context(context.getParams().getContext());
    return wait_for_answer(
        [this, &content](std::uint64_t exchange) {
          owner_.service_->on_ticket_request(exchange, std::move(content));
        },
        [context](const peer_answer& answer) mutable { write(answer, context.getResults().initAnswer()); });
  }

  kj::Promise<void> exchange(ExchangeContext context) override {
    const peer_exchange reply = owner_.service_->on_exchange(read(context.getParams().getOffer()));
    write(reply, context.getResults().initReply());
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext) override { return kj::READY_NOW; }

 private:
  template <typename Begin, typename Finish>
  kj::Promise<void> wait_for_answer(Begin begin, Finish finish) {
    const std::uint64_t exchange = owner_.next_exchange_++;
    kj::PromiseFulfillerPair<peer_answer> pair = kj::newPromiseAndFulfiller<peer_answer>();
    owner_.incoming_.emplace(exchange, kj::mv(pair.fulfiller));
    begin(exchange);
    return pair.promise.then(kj::mv(finish)).attach(kj::defer([this, exchange]() {
      const bool was_cancelled = owner_.incoming_.erase(exchange) != 0;
      if (was_cancelled && !owner_.is_ending_) {
        owner_.service_->on_cancel(exchange);
      }
    }));
  }

  impl& owner_;
};

capnp::Capability::Client peer_network::impl::make_server() { return kj::heap<server>(*this); }

peer_network::peer_network(boost::asio::io_context& io, const peer_network_settings& settings)
    : impl_(std::make_unique<impl>(io, settings)) {}

peer_network::~peer_network() {
  request_stop();
  join();
}

bool peer_network::start(const std::string& address, peer_service& service) {
  return impl_->start(address, service);
}

void peer_network::request_stop() { impl_->request_stop(); }

void peer_network::join() { impl_->join(); }

std::uint64_t peer_network::call(const std::string& address, peer_call call, answer_callback done) {
  const std::uint64_t number = impl_->next_number();
  impl_->post([this, number, address, call = std::move(call), done = std::move(done)]() {
    impl_->call(number, address, call, done);
  });
  return number;
}

std::uint64_t peer_network::request_ticket(const std::string& address, peer_call call, answer_callback done) {
  const std::uint64_t number = impl_->next_number();
  impl_->post([this, number, address, call = std::move(call), done = std::move(done)]() {
    impl_->request_ticket(number, address, call, done);
  });
  return number;
}

std::uint64_t peer_network::exchange(const std::string& address, peer_exchange offer,
                                     exchange_callback done) {
  const std::uint64_t number = impl_->next_number();
  impl_->post([this, number, address, offer = std::move(offer), done = std::move(done)]() {
    impl_->exchange(number, address, offer, done);
  });
  return number;
}

void peer_network::cancel(std::uint64_t number) {
  impl_->post([this, number]() { impl_->cancel(number); });
}

void peer_network::drop_connections() {
  impl_->post([this]() { impl_->drop_connections(); });
}

void peer_network::answer(std::uint64_t exchange, peer_answer content) {
  impl_->post([this, exchange, content = std::move(content)]() { impl_->answer(exchange, content); });
}

}  // namespace nutmegarch::protocol
