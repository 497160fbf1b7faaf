#include "performance_test/virtual_time/mesh_callers.h"

#include <algorithm>
#include <utility>

namespace nutmegarch::performance_test {

namespace {

/// Longest time after which a refused caller is told to come back.
constexpr duration longest_come_back = std::chrono::milliseconds(1500);
/// Time in which what was sent last is answered.
constexpr duration settle = std::chrono::seconds(6);
constexpr int resends = 1;

}  // namespace

struct mesh_callers::request {
  call_context context;
  const request_kind* kind = nullptr;
  fake_node* entry = nullptr;
  tracked_request_ptr tracked = std::make_shared<tracked_request>();
  time_point first_sent{};
  int resends_left = resends;
  bool counts = false;
};

mesh_callers::mesh_callers(deployment& fleet, std::vector<request_kind> kinds)
    : fleet_(fleet), kinds_(std::move(kinds)), begin_(fleet.events().now()) {}

void mesh_callers::run(duration length, duration warm_up) {
  end_ = begin_ + length;
  counted_from_ = begin_ + warm_up;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    arrive(i);
  }
  fleet_.events().run_until(end_ + settle);
}

kind_result mesh_callers::result(const std::string& route, const std::string& region) const {
  kind_result sum;
  for (const std::pair<const std::pair<std::string, std::string>, kind_result>& found : results_) {
    const bool is_asked =
        (route.empty() || found.first.first == route) && (region.empty() || found.first.second == region);
    if (is_asked) {
      sum.offered += found.second.offered;
      sum.in_time += found.second.in_time;
      sum.refused += found.second.refused;
      sum.failed += found.second.failed;
    }
  }
  return sum;
}

double mesh_callers::worth_share(const std::string& region) const {
  double offered = 0;
  double earned = 0;
  for (const request_kind& kind : kinds_) {
    const kind_result found = result(kind.route, region);
    offered += kind.worth * found.offered;
    earned += kind.worth * found.in_time;
  }
  return offered == 0 ? 1 : earned / offered;
}

void mesh_callers::arrive(std::size_t kind) {
  event_queue& events = fleet_.events();
  random_source& random = fleet_.random();
  if (events.now() >= end_) {
    return;
  }
  const request_kind& drawn = kinds_.at(kind);
  const request_ptr made = std::make_shared<request>();
  made->kind = &drawn;
  made->entry = fleet_.nodes().at(random.below(fleet_.nodes().size())).get();
  made->context.cls = drawn.cls;
  made->context.route = drawn.route;
  made->context.service = fleet_.plan().routes.at(drawn.route).service;
  made->context.idempotent = drawn.cls != call_class::order;
  made->first_sent = events.now();
  made->counts = events.now() >= counted_from_;
  if (made->counts) {
    results_[{drawn.route, made->entry->settings().region}].offered += 1;
  }
  attempt(made);
  std::exponential_distribution<double> gap(drawn.rate);
  events.after(from_seconds(gap(random.engine())), [this, kind]() { arrive(kind); });
}

void mesh_callers::attempt(const request_ptr& made) {
  random_source& random = fleet_.random();
  made->context.id = {random.bits(), random.bits()};
  made->context.shed_rank = shed_rank_of(made->context.id);
  made->entry->call(made->context, made->kind->timeout, nullptr, made->tracked,
                    [this, made](call_outcome outcome, call_reason) { on_answer(made, outcome); });
}

void mesh_callers::on_answer(const request_ptr& made, call_outcome outcome) {
  event_queue& events = fleet_.events();
  kind_result& counts = results_[{made->kind->route, made->entry->settings().region}];
  if (outcome == call_outcome::ok) {
    const bool is_in_time = events.now() - made->first_sent <= made->kind->aim;
    counts.in_time += made->counts && is_in_time ? 1 : 0;
    return;
  }
  const bool is_refused = outcome == call_outcome::not_run;
  if (made->resends_left > 0 && (is_refused || made->context.idempotent)) {
    --made->resends_left;
    const double part = 0.4 + 0.6 * fleet_.random().uniform();
    const duration wait =
        is_refused ? from_seconds(part * to_seconds(std::min(longest_come_back, made->kind->timeout / 3)))
                   : duration{};
    events.after(wait, [this, made]() { attempt(made); });
    return;
  }
  if (made->counts) {
    (is_refused ? counts.refused : counts.failed) += 1;
  }
}

}  // namespace nutmegarch::performance_test
