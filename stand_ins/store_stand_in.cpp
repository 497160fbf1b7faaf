#include "stand_ins/store_stand_in.h"

#include <algorithm>
#include <utility>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/json.hpp>

namespace nutmegarch::stand_ins {

namespace {

/// Items of one page. Small, so that tests see more than one.
constexpr std::size_t page_size = 3;
constexpr const char* configuration_key = "op/config";

std::string to_base64(const std::string& bytes) {
  namespace iterators = boost::archive::iterators;
  using encoder =
      iterators::base64_from_binary<iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(encoder(bytes.begin()), encoder(bytes.end()));
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

std::string percent_decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_encoded = text.at(i) == '%' && i + 2 < text.size();
    decoded += is_encoded ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)) : text.at(i);
    i += is_encoded ? 2 : 0;
  }
  return decoded;
}

/// The value of a parameter of the query; empty when it is absent.
std::string parameter(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  std::size_t at = query;
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    const std::size_t end = target.find('&', begin);
    const std::string pair = target.substr(begin, end == std::string::npos ? end : end - begin);
    if (pair.compare(0, name.size() + 1, name + '=') == 0) {
      return percent_decode(pair.substr(name.size() + 1));
    }
    at = end;
  }
  return {};
}

bool has_prefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

answer_message as_json(const boost::json::value& body) {
  return {200, {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
}

}  // namespace

void store_stand_in::on_request(std::uint64_t, request_message request, answer_callback done) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++calls_;
  const answer_callback answer = with_era(std::move(done));
  if (mode_ == mode::refuses) {
    answer({503, {}, ""});
    return;
  }
  if (mode_ == mode::limits) {
    answer({429, {}, ""});
    return;
  }
  if (mode_ == mode::silent || answers_to_lose_ > 0) {
    answers_to_lose_ = std::max(0, answers_to_lose_ - 1);
    unanswered_.push_back(answer);
    return;
  }
  const std::string after = parameter(request.target, "after");
  const std::string prefix = parameter(request.target, "Prefix");
  if (request.target.find("kv-range") != std::string::npos) {
    const bool is_cheap = !parameter(request.target, "Serializable").empty();
    if (!is_cheap && are_exact_reads_refused_) {
      answer({503, {}, ""});
      return;
    }
    answer(list(prefix, after, is_cheap ? revision_ - std::min(revision_, cheap_lag_) : revision_));
    return;
  }
  if (are_watches_silent_) {
    unanswered_.push_back(answer);
    return;
  }
  const std::uint64_t revision = after.empty() ? 0 : std::stoull(after);
  if (revision < history_begin_ || revision > revision_) {
    answer({410, {}, ""});
  } else if (has_changes_after(revision, prefix)) {
    answer(changes_after(revision, prefix));
  } else {
    const std::string wait = parameter(request.target, "WaitMs");
    const std::chrono::milliseconds length(wait.empty() ? 0 : std::stoll(wait));
    watches_.push_back({revision, prefix, std::chrono::steady_clock::now() + length, answer});
  }
}

void store_stand_in::put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  add_change({key, value, revision_ + 1, false});
}

void store_stand_in::remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  add_change({key, "", revision_ + 1, true});
}

void store_stand_in::set_mode(mode next) {
  const std::lock_guard<std::mutex> lock(mutex_);
  mode_ = next;
  if (next != mode::good) {
    // Watches that wait are cut with the rest.
    for (const waiting_watch& watch : watches_) {
      watch.answer({503, {}, ""});
    }
    watches_.clear();
  }
}

void store_stand_in::forget_history() {
  const std::lock_guard<std::mutex> lock(mutex_);
  history_.clear();
  history_begin_ = revision_;
}

void store_stand_in::set_cheap_lag(std::uint64_t changes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  cheap_lag_ = changes;
}

void store_stand_in::set_watches_silent(bool are_silent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  are_watches_silent_ = are_silent;
  if (are_silent) {
    for (waiting_watch& watch : watches_) {
      unanswered_.push_back(std::move(watch.answer));
    }
    watches_.clear();
  }
}

void store_stand_in::set_exact_reads_refused(bool are_refused) {
  const std::lock_guard<std::mutex> lock(mutex_);
  are_exact_reads_refused_ = are_refused;
}

void store_stand_in::lose_answers(int calls) {
  const std::lock_guard<std::mutex> lock(mutex_);
  answers_to_lose_ = calls;
}

void store_stand_in::take_copy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_revision_ = revision_;
}

void store_stand_in::return_from_copy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto is_lost = [this](const change& made) { return made.revision > copy_revision_; };
  all_changes_.erase(std::remove_if(all_changes_.begin(), all_changes_.end(), is_lost), all_changes_.end());
  history_.erase(std::remove_if(history_.begin(), history_.end(), is_lost), history_.end());
  revision_ = copy_revision_;
  history_begin_ = std::min(history_begin_, revision_);
  ++era_;
  for (waiting_watch& watch : watches_) {
    unanswered_.push_back(std::move(watch.answer));
  }
  watches_.clear();
}

void store_stand_in::set_era_field(std::optional<std::string> field) {
  const std::lock_guard<std::mutex> lock(mutex_);
  era_field_ = std::move(field);
}

void store_stand_in::end_watches() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
  std::vector<waiting_watch> waiting;
  for (waiting_watch& watch : watches_) {
    if (watch.end > now) {
      waiting.push_back(std::move(watch));
    } else {
      watch.answer(changes_after(watch.after, watch.prefix));
    }
  }
  watches_ = std::move(waiting);
}

std::uint64_t store_stand_in::revision() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return revision_;
}

std::size_t store_stand_in::open_watches() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return watches_.size();
}

int store_stand_in::calls() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return calls_;
}

http::request_handler::answer_callback store_stand_in::with_era(answer_callback answer) {
  // The caller of the returned callback holds the mutex.
  return [this, answer = std::move(answer)](answer_message message) {
    const std::string field = era_field_.value_or(std::to_string(era_));
    if (!field.empty()) {
      message.fields.push_back({"Store-Era", field});
    }
    answer(std::move(message));
  };
}

std::map<std::string, store_stand_in::change> store_stand_in::items_at(std::uint64_t revision) const {
  std::map<std::string, change> items;
  for (const change& made : all_changes_) {
    if (made.revision > revision) {
      break;
    }
    if (made.is_removal) {
      items.erase(made.key);
    } else {
      items[made.key] = made;
    }
  }
  return items;
}

answer_message store_stand_in::list(const std::string& prefix, const std::string& after,
                                    std::uint64_t revision) const {
  const std::map<std::string, change> listed = items_at(revision);
  boost::json::array items;
  bool has_more = false;
  for (auto it = listed.upper_bound(after); it != listed.end(); ++it) {
    const change& item = it->second;
    if (!has_prefix(item.key, prefix)) {
      continue;
    }
    if (items.size() == page_size) {
      has_more = true;
      break;
    }
    items.push_back(boost::json::object{{"Key", item.key},
                                        {"Value", to_base64(item.value)},
                                        {"Revision", item.revision},
                                        {"CreatedAt", item.revision},
                                        {"Lease", 0}});
  }
  return as_json(boost::json::object{{"items", items}, {"MorePages", has_more}, {"AsOf", revision}});
}

int store_stand_in::configurations_sent() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return configurations_sent_;
}

bool store_stand_in::has_changes_after(std::uint64_t revision, const std::string& prefix) const {
  return std::any_of(history_.begin(), history_.end(), [&](const change& made) {
    return made.revision > revision && has_prefix(made.key, prefix);
  });
}

answer_message store_stand_in::changes_after(std::uint64_t revision, const std::string& prefix) {
  boost::json::array events;
  bool has_configuration = false;
  for (const change& made : history_) {
    if (made.revision <= revision || !has_prefix(made.key, prefix)) {
      continue;
    }
    has_configuration = has_configuration || made.key == configuration_key;
    if (made.is_removal) {
      events.push_back(
          boost::json::object{{"Key", made.key}, {"Revision", made.revision}, {"Tombstone", true}});
    } else {
      events.push_back(boost::json::object{
          {"Key", made.key}, {"Value", to_base64(made.value)}, {"Revision", made.revision}});
    }
  }
  configurations_sent_ += has_configuration ? 1 : 0;
  return as_json(boost::json::object{{"events", events}, {"AsOf", revision_}});
}

void store_stand_in::add_change(change made) {
  revision_ = made.revision;
  all_changes_.push_back(made);
  history_.push_back(std::move(made));
  if (mode_ != mode::good) {
    return;
  }
  std::vector<waiting_watch> waiting;
  for (waiting_watch& watch : watches_) {
    if (has_changes_after(watch.after, watch.prefix)) {
      watch.answer(changes_after(watch.after, watch.prefix));
    } else {
      waiting.push_back(std::move(watch));
    }
  }
  watches_ = std::move(waiting);
}

}  // namespace nutmegarch::stand_ins
