#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/http/server.h"

namespace nutmegarch::stand_ins {

/// The users' metadata store as its pages describe it, within the test's process: listings by page, watches
/// that wait for a change, a revision that counts changes, an era that counts returns from a copy. A watch
/// without a change is answered by end_watches().
class store_stand_in final : public http::request_handler {
 public:
  /// How the store answers.
  enum class mode { good, refuses, limits, silent };

  void on_request(std::uint64_t exchange, request_message request, answer_callback answer) override;

  /// @name What the operator and the servers do
  /// @{
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  /// @}

  void set_mode(mode next);
  /// Forgets the changes so far: watches from earlier revisions are answered 410.
  void forget_history();
  /// Cheap reads return what the store held this many changes ago.
  void set_cheap_lag(std::uint64_t changes);
  /// Watches, waiting and later ones, get no answer, while other calls work.
  void set_watches_silent(bool are_silent);
  /// Reads that are not cheap are answered 503.
  void set_exact_reads_refused(bool are_refused);
  /// The answers to the next calls are lost: their connections return nothing further.
  void lose_answers(int calls);
  /// Keeps a copy of the store as it is now, for return_from_copy().
  void take_copy();
  /// The store comes back from the copy: later changes are gone, their revisions are given out again, and the
  /// next era begins. Watches that wait are cut without an answer.
  void return_from_copy();
  /// Sets what all answers name as the era; by default the number of the era. Empty: they name none.
  void set_era_field(std::optional<std::string> field);
  /// Answers the watches that have waited as long as they asked.
  void end_watches();
  std::uint64_t revision() const;
  /// Watches that wait for a change and will get an answer.
  std::size_t open_watches() const;
  /// Requests so far, refused ones included.
  int calls() const;
  /// Answers to watches so far that contained the configuration.
  int configurations_sent() const;

 private:
  struct change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_removal = false;
  };

  struct waiting_watch {
    std::uint64_t after = 0;
    std::string prefix;
    std::chrono::steady_clock::time_point end;
    answer_callback answer;
  };

  /// The callback of a caller, with the field of the era in its answers.
  answer_callback with_era(answer_callback answer);
  std::map<std::string, change> items_at(std::uint64_t revision) const;
  answer_message list(const std::string& prefix, const std::string& after, std::uint64_t revision) const;
  bool has_changes_after(std::uint64_t revision, const std::string& prefix) const;
  answer_message changes_after(std::uint64_t revision, const std::string& prefix);
  void add_change(change made);

  mutable std::mutex mutex_;
  /// All changes, and those that watches can still return.
  std::vector<change> all_changes_;
  std::vector<change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::uint64_t copy_revision_ = 0;
  /// The default is the number of the era.
  std::optional<std::string> era_field_;
  std::uint64_t history_begin_ = 0;
  std::vector<waiting_watch> watches_;
  std::vector<answer_callback> unanswered_;
  mode mode_ = mode::good;
  std::uint64_t cheap_lag_ = 0;
  bool are_watches_silent_ = false;
  bool are_exact_reads_refused_ = false;
  int answers_to_lose_ = 0;
  int calls_ = 0;
  int configurations_sent_ = 0;
};

}  // namespace nutmegarch::stand_ins
