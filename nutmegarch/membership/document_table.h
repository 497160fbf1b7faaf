#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegarch::membership {

/// Name and place in time of a published value. Larger is newer.
struct document_stamp {
  std::string key;
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
  std::uint64_t hash = 0;
};

/// A published value as peers pass it on.
struct document {
  document_stamp stamp;
  std::string body;
};

/// True when `left` replaces `right`; both have the same key.
bool is_newer(const document_stamp& left, const document_stamp& right);

/// The newest value of each key that a node has seen. No I/O; not thread-safe.
class document_table {
 public:
  /// Takes a document over when it is newer than what is held, or when nothing is held. True when it was
  /// taken.
  bool merge(const document& offered);

  const document* find(const std::string& key) const;

  /// What is held, without the bodies.
  std::vector<document_stamp> digest() const;

  /// Documents that are newer here than a peer's digest shows, of the keys that the peer named.
  std::vector<document> newer_than(const std::vector<document_stamp>& digest) const;

  /// Stamp of a key that is wanted but not held yet: older than any document.
  static document_stamp wanted(const std::string& key) { return {key, 0, 0, 0}; }

 private:
  std::map<std::string, document> documents_;
};

}  // namespace nutmegarch::membership
