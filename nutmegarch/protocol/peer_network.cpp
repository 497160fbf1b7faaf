#include "nutmegarch/protocol/peer_network.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
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
#include "nutmegarch/protocol/unfinished_messages.h"

namespace nutmegarch::protocol {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(100);
/// Approximate size in bytes of a request without its body or documents.
constexpr std::size_t message_overhead_bytes = 400;
/// Largest number of requests that one message may ask a part of an allowance for.
constexpr std::uint32_t max_wanted = 1'000'000;
/// Smaller answers are bounded by the number of calls.
constexpr std::size_t min_checked_answer_bytes = 64U << 10U;

using tcp = boost::asio::ip::tcp;

/// Outgoing connection to a peer. It exists from the start of the attempt to connect.
struct peer_connection : kj::Refcounted {
  std::string address;
  kj::Own<asio_stream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  kj::Maybe<wire::Peer::Client> peer;
  /// Fulfilled when the connection is established.
  kj::Own<kj::PromiseFulfiller<void>> ready_fulfiller;
  kj::ForkedPromise<void> ready = kj::Promise<void>(kj::READY_NOW).fork();
  /// Rejected when the connection is dropped, which fails all requests on it.
  kj::Own<kj::PromiseFulfiller<void>> broken_fulfiller;
  kj::ForkedPromise<void> broken = kj::Promise<void>(kj::READY_NOW).fork();
  int pending_requests = 0;
  bool is_ping_pending = false;
  time_point connect_started_at{};
  /// When something was last received, or taken by the peer.
  time_point last_received_at{};
  time_point ping_sent_at{};
};

/// Connection that a peer has opened.
struct accepted_connection {
  accepted_connection(tcp::socket socket, unfinished_messages& unfinished,
                      capnp::Capability::Client bootstrap)
      : stream(std::move(socket), unfinished),
        network(stream, capnp::rpc::twoparty::Side::SERVER),
        rpc(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}

  /// Bytes that wait to be written; 0 once the connection was closed, since they go with it.
  std::size_t queued_bytes() { return is_closed ? 0 : network.getCurrentQueueSize(); }

  bool is_closed = false;
  asio_stream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

/// Members are used on the network's thread only, except start(), post(), request_stop(), join(),
/// next_request_id() and queues().
class peer_network::impl final : public kj::TaskSet::ErrorHandler {
 public:
  impl(boost::asio::io_context& io, const peer_network_settings& settings)
      : settings_(settings),
        queue_limit_(settings.queues),
        unfinished_(settings.unfinished),
        io_(io),
        work_(io.get_executor()),
        acceptor_(io),
        timer_(io) {}

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
      if (stop_fulfiller_) {
        stop_fulfiller_->fulfill();
      }
    });
  }

  void join() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /// Runs `handler` on the network's thread.
  void post(std::function<void()> handler) { boost::asio::post(io_, std::move(handler)); }

  std::uint64_t next_request_id() { return ++last_request_id_; }

  peer_queues queues() const {
    return {queued_request_bytes_, queued_answer_bytes_, unfinished_bytes_,
            closed_for_size_,      closed_as_silent_,    closed_for_answers_};
  }

  void call(std::uint64_t request_id, const std::string& address, peer_call content, answer_callback done) {
    const std::size_t size = content.request->body.size() + message_overhead_bytes;
    send(request_id, address, size, std::move(done),
         [content = std::move(content)](wire::Peer::Client& peer, asio_stream& stream) {
           auto request = peer.callRequest();
           if (write(content, request.initContext(), request.initRequest())) {
             const std::string& body = content.request->body;
             stream.keep_until_written(reinterpret_cast<const kj::byte*>(body.data()), content.request);
           }
           return request.send().then([](auto&& response) { return read(response.getAnswer()); });
         });
  }

  void request_ticket(std::uint64_t request_id, const std::string& address, peer_call content,
                      answer_callback done) {
    send(request_id, address, message_overhead_bytes, std::move(done),
         [content = std::move(content)](wire::Peer::Client& peer, asio_stream&) {
           auto request = peer.issueTicketRequest();
           write_context(content.context, content.stamp, request.initContext());
           return request.send().then([](auto&& response) { return read(response.getAnswer()); });
         });
  }

  void exchange(std::uint64_t request_id, const std::string& address, peer_exchange offer,
                exchange_callback done) {
    std::size_t size = message_overhead_bytes;
    for (const membership::document& sent : offer.documents) {
      size += sent.body.size();
    }
    send(request_id, address, size, std::move(done),
         [offer = std::move(offer)](wire::Peer::Client& peer, asio_stream&) {
           auto request = peer.exchangeRequest();
           write(offer, request.initOffer());
           return request.send().then([](auto&& response) { return read(response.getReply()); });
         });
  }

  void spend_allowance(std::uint64_t request_id, const std::string& address, const std::string& organisation,
                       int wanted, allowance_callback done) {
    send(request_id, address, message_overhead_bytes, std::move(done),
         [organisation, wanted](wire::Peer::Client& peer, asio_stream&) {
           auto request = peer.spendAllowanceRequest();
           request.setOrganisation(organisation);
           request.setWanted(static_cast<std::uint32_t>(std::max(0, wanted)));
           return request.send().then([wanted](auto&& response) {
             // No more than was asked for, whatever the peer says.
             const std::uint32_t granted =
                 std::min(response.getGranted(), static_cast<std::uint32_t>(std::max(0, wanted)));
             return allowance_reply{response.getIsKeeper(), static_cast<int>(granted),
                                    std::max(duration{}, duration(response.getRetryAfter())),
                                    std::string(response.getKeeper().cStr(), response.getKeeper().size())};
           });
         });
  }

  void limit_answers(const std::string& address, const std::vector<request_id>& calls, duration within) {
    // Without the connection that the calls went over they are lost, and there is nothing to tell.
    auto found = connections_.find(address);
    if (found == connections_.end()) {
      return;
    }
    kj::Own<peer_connection> connection = kj::addRef(*found->second);
    kj::Promise<void> sent = connection->ready.addBranch().then([&connection = *connection, calls, within]() {
      auto request = KJ_ASSERT_NONNULL(connection.peer).limitAnswersRequest();
      capnp::List<wire::CallId>::Builder ids = request.initCalls(static_cast<unsigned>(calls.size()));
      for (std::size_t i = 0; i < calls.size(); ++i) {
        ids[static_cast<unsigned>(i)].setHigh(calls.at(i).high);
        ids[static_cast<unsigned>(i)].setLow(calls.at(i).low);
      }
      request.setWithin(within.count());
      return request.send().ignoreResult();
    });
    // A peer of an earlier version does not know the message, and keeps the calls.
    tasks_->add(sent.exclusiveJoin(connection->broken.addBranch()).attach(kj::mv(connection)));
  }

  void cancel(std::uint64_t request_id) { outgoing_requests_.erase(request_id); }

  void drop_connections() {
    while (!connections_.empty()) {
      drop(connections_.begin()->second->address);
    }
  }

  void answer(std::uint64_t exchange_id, peer_answer content) {
    auto found = incoming_exchanges_.find(exchange_id);
    if (found == incoming_exchanges_.end()) {
      return;
    }
    kj::Own<kj::PromiseFulfiller<peer_answer>> fulfiller = kj::mv(found->second);
    incoming_exchanges_.erase(found);
    make_room_for_answer(content.message.body.size());
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
    capnp::Capability::Client bootstrap = make_server();
    kj::PromiseFulfillerPair<void> end = kj::newPromiseAndFulfiller<void>();
    stop_fulfiller_ = kj::mv(end.fulfiller);
    accept(bootstrap);
    tick();
    end.promise.wait(scope);

    // From here on, handlers and callbacks do nothing.
    is_stopping_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    outgoing_requests_.clear();
    connections_.clear();
    dropped_connections_.clear();
    incoming_exchanges_.clear();
  }

  capnp::Capability::Client make_server();

  void accept(capnp::Capability::Client& bootstrap) {
    acceptor_.async_accept([this, &bootstrap](const boost::system::error_code& error, tcp::socket socket) {
      if (is_stopping_ || !acceptor_.is_open()) {
        return;
      }
      if (!error) {
        serve(std::move(socket), bootstrap);
      }
      accept(bootstrap);
    });
  }

  void tick() {
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error || is_stopping_) {
        return;
      }
      erase_finished_requests();
      check_connections();
      queued_request_bytes_ = count_queued_bytes();
      queued_answer_bytes_ = count_queued_answer_bytes();
      unfinished_bytes_ = unfinished_.total();
      closed_for_size_ = unfinished_.closed_count();
      tick();
    });
  }

  /// Serves the requests of a peer until it disconnects.
  void serve(tcp::socket socket, capnp::Capability::Client& bootstrap) {
    kj::Own<accepted_connection> accepted =
        kj::heap<accepted_connection>(std::move(socket), unfinished_, bootstrap);
    accepted_connection* const key = accepted.get();
    accepted_connections_.insert(key);
    tasks_->add(accepted->network.onDisconnect().attach(
        kj::defer([this, key]() { accepted_connections_.erase(key); }), kj::mv(accepted)));
  }

  /// Bytes of answers that wait to be written to all peers.
  std::size_t count_queued_answer_bytes() {
    std::size_t total = 0;
    for (accepted_connection* const accepted : accepted_connections_) {
      total += accepted->queued_bytes();
    }
    return total;
  }

  /// Closes connections of peers that take their answers too slowly, the one with most bytes first, until an
  /// answer of this size fits in the limit. A single answer always passes.
  void make_room_for_answer(std::size_t bytes) {
    if (bytes < min_checked_answer_bytes) {
      return;
    }
    std::size_t total = count_queued_answer_bytes();
    while (total > 0 && total + bytes > settings_.max_answer_bytes) {
      accepted_connection* const fullest =
          *std::max_element(accepted_connections_.begin(), accepted_connections_.end(),
                            [](accepted_connection* left, accepted_connection* right) {
                              return left->queued_bytes() < right->queued_bytes();
                            });
      total -= std::min(total, fullest->queued_bytes());
      fullest->is_closed = true;
      fullest->stream.close();
      ++closed_for_answers_;
    }
  }

  /// Pings connections with pending requests, and drops those that time out or are idle.
  void check_connections() {
    const time_point now = clock_.now();
    std::vector<std::string> to_drop;
    for (std::pair<const std::string, kj::Own<peer_connection>>& entry : connections_) {
      peer_connection& connection = *entry.second;
      if (connection.peer == nullptr) {
        if (now - connection.connect_started_at > settings_.connect_timeout) {
          to_drop.push_back(entry.first);
        }
        continue;
      }
      // A ping waits behind the messages that are being sent, and its answer behind those of the peer.
      if (connection.stream->take_progress()) {
        connection.last_received_at = now;
      }
      const bool is_silent =
          connection.is_ping_pending &&
          now - std::max(connection.ping_sent_at, connection.last_received_at) > settings_.ping_timeout;
      const bool is_idle =
          connection.pending_requests == 0 && now - connection.last_received_at > settings_.idle_timeout;
      closed_as_silent_ += is_silent ? 1 : 0;
      if (is_silent || is_idle) {
        to_drop.push_back(entry.first);
      } else if (connection.pending_requests > 0 && !connection.is_ping_pending &&
                 now - connection.last_received_at > settings_.ping_after) {
        ping(connection, now);
      }
    }
    for (const std::string& address : to_drop) {
      drop(address);
    }
    dropped_connections_.clear();
  }

  void ping(peer_connection& connection, time_point now) {
    connection.is_ping_pending = true;
    connection.ping_sent_at = now;
    kj::Own<peer_connection> connection_ref = kj::addRef(connection);
    KJ_IF_MAYBE (peer, connection.peer) {
      tasks_->add(peer->pingRequest()
                      .send()
                      .ignoreResult()
                      .exclusiveJoin(connection.broken.addBranch())
                      .then([this, connection_ref = kj::mv(connection_ref)]() mutable {
                        connection_ref->is_ping_pending = false;
                        connection_ref->last_received_at = clock_.now();
                      }));
    }
  }

  peer_connection& find_or_connect(const std::string& address) {
    auto found = connections_.find(address);
    if (found != connections_.end()) {
      return *found->second;
    }
    kj::Own<peer_connection> new_connection = kj::refcounted<peer_connection>();
    peer_connection& connection = *new_connection;
    connection.address = address;
    connection.connect_started_at = clock_.now();
    kj::PromiseFulfillerPair<void> broken = kj::newPromiseAndFulfiller<void>();
    connection.broken_fulfiller = kj::mv(broken.fulfiller);
    connection.broken = broken.promise.fork();
    kj::PromiseFulfillerPair<void> ready = kj::newPromiseAndFulfiller<void>();
    connection.ready_fulfiller = kj::mv(ready.fulfiller);
    connection.ready = ready.promise.fork();
    start_connect(connection);
    connections_.emplace(address, kj::mv(new_connection));
    return connection;
  }

  void start_connect(peer_connection& connection) {
    const std::optional<tcp::endpoint> endpoint = http::parse_address(connection.address);
    const std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(io_);
    socket->async_connect(endpoint.value_or(tcp::endpoint()),
                          [this, socket, connection_ref = kj::addRef(connection)](
                              const boost::system::error_code& error) mutable {
                            if (is_stopping_ || !is_current(*connection_ref)) {
                              return;
                            }
                            if (error) {
                              drop(connection_ref->address);
                              return;
                            }
                            start_rpc(*connection_ref, std::move(*socket));
                          });
  }

  void start_rpc(peer_connection& connection, tcp::socket socket) {
    connection.stream = kj::heap<asio_stream>(std::move(socket), unfinished_);
    connection.client = kj::heap<capnp::TwoPartyClient>(*connection.stream);
    connection.peer = connection.client->bootstrap().castAs<wire::Peer>();
    connection.last_received_at = clock_.now();
    connection.ready_fulfiller->fulfill();
    kj::Own<peer_connection> connection_ref = kj::addRef(connection);
    tasks_->add(connection.client->onDisconnect()
                    .exclusiveJoin(connection.broken.addBranch())
                    .then([this, connection_ref =
                                     kj::mv(connection_ref)]() mutable { drop_if_current(*connection_ref); },
                          [](kj::Exception&&) {}));
  }

  bool is_current(const peer_connection& connection) const {
    auto found = connections_.find(connection.address);
    return found != connections_.end() && found->second.get() == &connection;
  }

  void drop_if_current(peer_connection& connection) {
    if (is_current(connection)) {
      drop(connection.address);
    }
  }

  /// Closes a connection for new requests and fails the pending ones. The connection is destroyed at the next
  /// tick, because this may run in one of its own callbacks.
  void drop(const std::string& address) {
    auto found = connections_.find(address);
    if (found == connections_.end()) {
      return;
    }
    kj::Own<peer_connection> removed = kj::mv(found->second);
    connections_.erase(found);
    removed->broken_fulfiller->reject(KJ_EXCEPTION(DISCONNECTED, "connection dropped"));
    dropped_connections_.push_back(kj::mv(removed));
  }

  /// Bytes of messages that wait to be written to all peers.
  std::size_t count_queued_bytes() {
    std::size_t total = 0;
    for (std::pair<const std::string, kj::Own<peer_connection>>& entry : connections_) {
      total += entry.second->peer == nullptr ? 0 : entry.second->client->getCurrentQueueSize();
    }
    return total;
  }

  bool has_room_for(peer_connection& connection, std::size_t message_bytes) {
    const std::size_t total_bytes = count_queued_bytes();
    queued_request_bytes_ = total_bytes;
    return queue_limit_.may_add(connection.client->getCurrentQueueSize(), total_bytes, message_bytes);
  }

  /// Sends a request of about `size` bytes over the connection to `address`, and calls `done` with the answer
  /// or an error.
  template <typename Callback, typename Send>
  void send(std::uint64_t request_id, const std::string& address, std::size_t size, Callback done,
            Send send_request) {
    peer_connection& connection = find_or_connect(address);
    kj::Own<peer_connection> connection_ref = kj::addRef(connection);
    // Why the request fails if it fails now.
    const std::shared_ptr<peer_error> error = std::make_shared<peer_error>(peer_error::unreachable);
    const std::shared_ptr<Callback> callback = std::make_shared<Callback>(std::move(done));
    ++connection.pending_requests;
    kj::Promise<void> promise =
        connection.ready.addBranch()
            .then([this, &connection, error, size, send_request = kj::mv(send_request)]() mutable {
              if (!has_room_for(connection, size)) {
                *error = peer_error::queue_full;
                kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "too many bytes wait for peers"));
              }
              *error = peer_error::lost;
              return send_request(KJ_ASSERT_NONNULL(connection.peer), *connection.stream);
            })
            .then([this, &connection, callback](auto&& content) {
              connection.last_received_at = clock_.now();
              (*callback)(std::forward<decltype(content)>(content));
            })
            .exclusiveJoin(connection.broken.addBranch())
            .then([this, request_id]() { finished_requests_.push_back(request_id); },
                  [this, request_id, callback, error](kj::Exception&&) {
                    finished_requests_.push_back(request_id);
                    (*callback)(*error);
                  })
            .attach(kj::defer(
                [connection_ref = kj::mv(connection_ref)]() mutable { --connection_ref->pending_requests; }))
            .eagerlyEvaluate(nullptr);
    outgoing_requests_.emplace(request_id, kj::mv(promise));
  }

  /// Destroys the promises of finished requests. Their own callbacks can't, because a promise must not be
  /// destroyed while its callback runs.
  void erase_finished_requests() {
    for (const std::uint64_t request_id : finished_requests_) {
      outgoing_requests_.erase(request_id);
    }
    finished_requests_.clear();
  }

  void taskFailed(kj::Exception&&) override {}

  peer_network_settings settings_;
  policy::queue_share_limit queue_limit_;
  /// Declared before all streams, which use it.
  unfinished_messages unfinished_;
  system_time_source clock_;
  peer_service* service_ = nullptr;
  std::thread thread_;
  std::atomic<std::uint64_t> last_request_id_{0};
  std::atomic<std::size_t> queued_request_bytes_{0};
  std::atomic<std::size_t> queued_answer_bytes_{0};
  std::atomic<std::size_t> unfinished_bytes_{0};
  std::atomic<std::size_t> closed_for_size_{0};
  std::atomic<std::size_t> closed_as_silent_{0};
  std::atomic<std::size_t> closed_for_answers_{0};
  boost::asio::io_context& io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;

  kj::TaskSet* tasks_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_fulfiller_;
  bool is_stopping_ = false;
  std::map<std::string, kj::Own<peer_connection>> connections_;
  std::vector<kj::Own<peer_connection>> dropped_connections_;
  /// Owned by tasks_.
  std::set<accepted_connection*> accepted_connections_;
  std::unordered_map<std::uint64_t, kj::Promise<void>> outgoing_requests_;
  std::vector<std::uint64_t> finished_requests_;
  std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<peer_answer>>> incoming_exchanges_;
  std::uint64_t next_exchange_id_ = 1;
};

/// Implements the RPC interface for peers.
class peer_network::impl::server final : public wire::Peer::Server {
 public:
  explicit server(impl& owner) : owner_(owner) {}

  kj::Promise<void> call(CallContext context) override {
    context.allowCancellation();
    peer_call content = read(context.getParams().getContext(), context.getParams().getRequest());
    context.releaseParams();
    return wait_for_answer(
        [this, &content](std::uint64_t exchange_id) {
          owner_.service_->on_call(exchange_id, std::move(content));
        },
        [context](const peer_answer& answer) mutable { write(answer, context.getResults().initAnswer()); });
  }

  kj::Promise<void> issueTicket(IssueTicketContext context) override {
    peer_call content = read_context(context.getParams().getContext());
    return wait_for_answer(
        [this, &content](std::uint64_t exchange_id) {
          owner_.service_->on_ticket_request(exchange_id, std::move(content));
        },
        [context](const peer_answer& answer) mutable { write(answer, context.getResults().initAnswer()); });
  }

  kj::Promise<void> exchange(ExchangeContext context) override {
    const peer_exchange reply = owner_.service_->on_exchange(read(context.getParams().getOffer()));
    write(reply, context.getResults().initReply());
    return kj::READY_NOW;
  }

  kj::Promise<void> spendAllowance(SpendAllowanceContext context) override {
    const std::uint32_t wanted = std::min(context.getParams().getWanted(), max_wanted);
    const capnp::Text::Reader organisation = context.getParams().getOrganisation();
    const allowance_reply reply = owner_.service_->on_allowance_request(
        std::string(organisation.cStr(), organisation.size()), static_cast<int>(wanted));
    context.getResults().setIsKeeper(reply.is_keeper);
    context.getResults().setGranted(static_cast<std::uint32_t>(std::max(0, reply.granted)));
    context.getResults().setRetryAfter(reply.retry_after.count());
    context.getResults().setKeeper(reply.keeper);
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext) override { return kj::READY_NOW; }

  kj::Promise<void> limitAnswers(LimitAnswersContext context) override {
    std::vector<request_id> calls;
    for (const wire::CallId::Reader id : context.getParams().getCalls()) {
      calls.push_back({id.getHigh(), id.getLow()});
    }
    owner_.service_->on_answer_limit(calls, duration(context.getParams().getWithin()));
    return kj::READY_NOW;
  }

 private:
  /// Calls `begin` with a new exchange id, and `finish` with the answer to it. Reports an exchange that ends
  /// without an answer as cancelled.
  template <typename Begin, typename Finish>
  kj::Promise<void> wait_for_answer(Begin begin, Finish finish) {
    const std::uint64_t exchange_id = owner_.next_exchange_id_++;
    kj::PromiseFulfillerPair<peer_answer> pair = kj::newPromiseAndFulfiller<peer_answer>();
    owner_.incoming_exchanges_.emplace(exchange_id, kj::mv(pair.fulfiller));
    begin(exchange_id);
    return pair.promise.then(kj::mv(finish)).attach(kj::defer([this, exchange_id]() {
      const bool was_cancelled = owner_.incoming_exchanges_.erase(exchange_id) != 0;
      if (was_cancelled && !owner_.is_stopping_) {
        owner_.service_->on_cancel(exchange_id);
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
  const std::uint64_t request_id = impl_->next_request_id();
  impl_->post([this, request_id, address, call = std::move(call), done = std::move(done)]() {
    impl_->call(request_id, address, call, done);
  });
  return request_id;
}

std::uint64_t peer_network::request_ticket(const std::string& address, peer_call call, answer_callback done) {
  const std::uint64_t request_id = impl_->next_request_id();
  impl_->post([this, request_id, address, call = std::move(call), done = std::move(done)]() {
    impl_->request_ticket(request_id, address, call, done);
  });
  return request_id;
}

std::uint64_t peer_network::exchange(const std::string& address, peer_exchange offer,
                                     exchange_callback done) {
  const std::uint64_t request_id = impl_->next_request_id();
  impl_->post([this, request_id, address, offer = std::move(offer), done = std::move(done)]() {
    impl_->exchange(request_id, address, offer, done);
  });
  return request_id;
}

std::uint64_t peer_network::spend_allowance(const std::string& address, const std::string& organisation,
                                            int wanted, allowance_callback done) {
  const std::uint64_t request_id = impl_->next_request_id();
  impl_->post([this, request_id, address, organisation, wanted, done = std::move(done)]() {
    impl_->spend_allowance(request_id, address, organisation, wanted, done);
  });
  return request_id;
}

void peer_network::cancel(std::uint64_t request_id) {
  impl_->post([this, request_id]() { impl_->cancel(request_id); });
}

void peer_network::limit_answers(const std::string& address, std::vector<request_id> calls, duration within) {
  impl_->post(
      [this, address, calls = std::move(calls), within]() { impl_->limit_answers(address, calls, within); });
}

void peer_network::drop_connections() {
  impl_->post([this]() { impl_->drop_connections(); });
}

peer_queues peer_network::queues() const { return impl_->queues(); }

void peer_network::answer(std::uint64_t exchange_id, peer_answer content) {
  impl_->post([this, exchange_id, content = std::move(content)]() { impl_->answer(exchange_id, content); });
}

}  // namespace nutmegarch::protocol
