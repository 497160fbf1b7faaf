#include "nutmegarch/protocol/peer_network.h"

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include "nutmegarch/protocol/codec.h"

namespace nutmegarch::protocol {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(100);

kj::Duration to_kj(duration value) { return value.count() * kj::NANOSECONDS; }

/// One connection to a peer, from its first attempt to connect on.
struct connection : kj::Refcounted {
  std::string address;
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  kj::Maybe<wire::Peer::Client> peer;
  kj::ForkedPromise<void> ready = kj::Promise<void>(kj::READY_NOW).fork();
  kj::Own<kj::PromiseFulfiller<void>> break_up;
  kj::ForkedPromise<void> broken = kj::Promise<void>(kj::READY_NOW).fork();
  int open_calls = 0;
  bool ping_open = false;
  time_point heard{};
  time_point ping_sent{};
};

}  // namespace

/// Lives on the network's thread; only post() is called from others.
class peer_network::impl final : public kj::TaskSet::ErrorHandler {
 public:
  explicit impl(const peer_network_settings& settings)
      : settings_(settings), wake_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

  ~impl() { ::close(wake_); }

  bool start(const std::string& address, peer_service& service) {
    service_ = &service;
    std::promise<bool> listening;
    std::future<bool> is_listening = listening.get_future();
    thread_ = std::thread([this, address, &listening]() { run(address, listening); });
    return is_listening.get();
  }

  void stop() {
    if (!thread_.joinable()) {
      return;
    }
    post([this]() { end_->fulfill(); });
    thread_.join();
  }

  /// Runs a function on the network's thread.
  void post(std::function<void()> job) {
    {
      const std::lock_guard<std::mutex> lock(mailbox_mutex_);
      mailbox_.push_back(std::move(job));
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(wake_, &one, sizeof(one));
  }

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

  void run(const std::string& address, std::promise<bool>& listening) {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    io_ = &io;
    kj::TaskSet tasks(*this);
    tasks_ = &tasks;
    kj::PromiseFulfillerPair<void> end = kj::newPromiseAndFulfiller<void>();
    end_ = kj::mv(end.fulfiller);
    kj::Own<kj::AsyncInputStream> wake =
        io.lowLevelProvider->wrapInputFd(wake_, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    tasks.add(read_mailbox(*wake));
    tasks.add(tick());

    // Listen, and tell the starting thread how that went.
    kj::Own<kj::ConnectionReceiver> receiver;
    capnp::TwoPartyServer rpc_server(make_server());
    const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&]() {
      receiver = io.provider->getNetwork().parseAddress(address.c_str()).wait(io.waitScope)->listen();
      tasks.add(accept(*receiver, rpc_server));
    });
    const bool is_listening = failure == nullptr;
    listening.set_value(is_listening);
    if (is_listening) {
      end.promise.wait(io.waitScope);
    }

    // Nothing may run after this.
    is_ending_ = true;
    outgoing_.clear();
    connections_.clear();
    dropped_.clear();
    incoming_.clear();
  }

  capnp::Capability::Client make_server();

  kj::Promise<void> accept(kj::ConnectionReceiver& receiver, capnp::TwoPartyServer& rpc_server) {
    return receiver.accept().then([this, &receiver, &rpc_server](kj::Own<kj::AsyncIoStream> stream) {
      send_at_once(*stream);
      rpc_server.accept(kj::mv(stream));
      return accept(receiver, rpc_server);
    });
  }

  /// Small messages must not wait for the acknowledgement of those before them.
  static void send_at_once(kj::AsyncIoStream& stream) {
    int no_delay = 1;
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  }

  kj::Promise<void> read_mailbox(kj::AsyncInputStream& wake) {
    return wake.read(&wake_count_, sizeof(wake_count_)).then([this, &wake]() {
      std::vector<std::function<void()>> jobs;
      {
        const std::lock_guard<std::mutex> lock(mailbox_mutex_);
        jobs.swap(mailbox_);
      }
      for (const std::function<void()>& job : jobs) {
        job();
      }
      return read_mailbox(wake);
    });
  }

  kj::Promise<void> tick() {
    return io_->provider->getTimer().afterDelay(to_kj(tick_interval)).then([this]() {
      clear_finished();
      watch_connections();
      return tick();
    });
  }

  /// Pings connections on which an answer is due, and closes silent and idle ones.
  void watch_connections() {
    const time_point now = clock_.now();
    std::vector<std::string> to_drop;
    for (std::pair<const std::string, kj::Own<connection>>& entry : connections_) {
      connection& known = *entry.second;
      if (known.peer == nullptr) {
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
    kj::PromiseFulfillerPair<void> broken = kj::newPromiseAndFulfiller<void>();
    known.break_up = kj::mv(broken.fulfiller);
    known.broken = broken.promise.fork();
    known.ready = io_->provider->getTimer()
                      .timeoutAfter(to_kj(settings_.connect_timeout), open(address))
                      .then([this, &known](kj::Own<kj::AsyncIoStream> stream) { use(known, kj::mv(stream)); })
                      .fork();
    connections_.emplace(address, kj::mv(made));
    // A failed attempt must not stay, or no later call could try again.
    tasks_->add(known.ready.addBranch().then([]() {}, [this, address](kj::Exception&&) { drop(address); }));
    return known;
  }

  kj::Promise<kj::Own<kj::AsyncIoStream>> open(const std::string& address) {
    return io_->provider->getNetwork()
        .parseAddress(address.c_str())
        .then([](kj::Own<kj::NetworkAddress> parsed) {
          kj::Promise<kj::Own<kj::AsyncIoStream>> stream = parsed->connect();
          return stream.attach(kj::mv(parsed));
        });
  }

  void use(connection& known, kj::Own<kj::AsyncIoStream> stream) {
    send_at_once(*stream);
    known.stream = kj::mv(stream);
    known.client = kj::heap<capnp::TwoPartyClient>(*known.stream);
    known.peer = known.client->bootstrap().castAs<wire::Peer>();
    known.heard = clock_.now();
    kj::Own<connection> held = kj::addRef(known);
    tasks_->add(
        known.client->onDisconnect()
            .exclusiveJoin(known.broken.addBranch())
            .then([this, held = kj::mv(held)]() mutable { drop_this(*held); }, [](kj::Exception&&) {}));
  }

  void drop_this(connection& known) {
    auto found = connections_.find(known.address);
    if (found != connections_.end() && found->second.get() == &known) {
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
  int wake_;
  std::uint64_t wake_count_ = 0;
  peer_service* service_ = nullptr;
  std::thread thread_;
  std::atomic<std::uint64_t> last_number_{0};

  /// Guards the mailbox; no other lock is taken while it is held.
  std::mutex mailbox_mutex_;
  std::vector<std::function<void()>> mailbox_;

  kj::AsyncIoContext* io_ = nullptr;
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

peer_network::peer_network(const peer_network_settings& settings) : impl_(std::make_unique<impl>(settings)) {}

peer_network::~peer_network() { stop(); }

bool peer_network::start(const std::string& address, peer_service& service) {
  return impl_->start(address, service);
}

void peer_network::stop() { impl_->stop(); }

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
