#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// One process of a target. A target may start again under the same instance name.
struct target_process {
  /// Published name of the instance; not empty.
  std::string instance;
  /// Start of the process on the platform's clock, in milliseconds; 0 when unknown. Larger is newer.
  std::int64_t started_ms = 0;
};

/// Sign that a target process is leaving.
enum class departure_sign : std::uint8_t {
  /// Its published entry says so.
  published,
  /// It says so in an answer, which this node or a peer has received.
  answered,
  /// Its published entry was removed. The entry of a process that lost its connection to the platform's
  /// store is removed too, and comes back.
  unlisted,
  /// An answer of it closed the connection, which also occurs in answers of processes that stay.
  closed_connection
};

/// Number of departure signs.
constexpr std::size_t departure_sign_count = 4;

/// Name of a sign as written in log lines.
const char* name_of(departure_sign sign);

/// A process of the published listing.
struct listed_process {
  target_process process;
  /// The entry says that the process is leaving.
  bool is_leaving = false;
};

/// Settings of departure_registry.
struct departure_settings {
  /// Number of processes that are remembered after they have left the listing.
  std::size_t max_unlisted = 8'192;
};

/// Decides which target processes are leaving and must not receive new calls, from all signs of it.
///
/// A process that has announced that it leaves, in its published entry or in an answer, never stays again;
/// only a newer process with the same instance name does. A process that is not listed counts as leaving
/// until it is listed again. Closed connections decide nothing; they are kept for the log.
///
/// No I/O; not thread-safe.
class departure_registry {
 public:
  explicit departure_registry(const departure_settings& settings = {}) : settings_(settings) {}

  /// @name Events
  /// @{

  /// Applies the complete published listing, in which each instance occurs at most once.
  void on_listing(const std::vector<listed_process>& listing, time_point now);
  /// Takes a sign. A sign of a process whose start is unknown counts for the newest known process of the
  /// instance; a sign of a process that a newer one has replaced counts for none. Returns true when it is the
  /// first of its kind for the process.
  bool add_sign(const target_process& process, departure_sign sign, time_point now);
  /// @}

  /// @name State
  /// With an unknown start, these functions are about the newest known process of the instance.
  /// @{

  /// True when the process must not receive new calls.
  bool is_leaving(const target_process& process) const;
  /// Start of the process, in milliseconds, if the process has announced that it leaves, otherwise nullopt.
  std::optional<std::int64_t> announced_start(const target_process& process) const;
  /// Start of the newest known process of the instance, in milliseconds; 0 when unknown.
  std::int64_t newest_start(const std::string& instance) const;
  /// Time since a sign was first taken for the newest known process; nullopt when it was not.
  std::optional<duration> age_of(const std::string& instance, departure_sign sign, time_point now) const;
  /// Time since the newest known process of the instance counts as leaving; nullopt while it does not.
  std::optional<duration> leaving_for(const std::string& instance, time_point now) const;
  /// Number of remembered processes.
  std::size_t size() const { return records_.size(); }
  /// @}

 private:
  /// What is known about the newest process of an instance.
  struct record {
    std::int64_t started_ms = 0;
    /// When each sign was first taken.
    std::array<std::optional<time_point>, departure_sign_count> signs;
    /// The listing that contained the instance last.
    std::uint64_t listing = 0;
    /// When the record became unlisted, or took its last sign since.
    time_point last_change{};

    const std::optional<time_point>& at(departure_sign sign) const {
      return signs.at(static_cast<std::size_t>(sign));
    }
    std::optional<time_point>& at(departure_sign sign) { return signs.at(static_cast<std::size_t>(sign)); }
    bool has_announced() const { return at(departure_sign::published) || at(departure_sign::answered); }
    /// Starts anew when `process` is newer. Returns false when the record is about a newer process.
    bool accept(const target_process& process);
  };

  const record* find(const std::string& instance) const;
  bool is_listed(const record& known) const { return listing_ != 0 && known.listing == listing_; }
  /// Forgets the unlisted processes that have been without a sign for longest, when there are too many.
  void limit_unlisted();

  departure_settings settings_;
  std::map<std::string, record> records_;
  std::size_t unlisted_count_ = 0;
  /// Number of the last listing; 0 before the first.
  std::uint64_t listing_ = 0;
};

}  // namespace nutmegarch::policy
