#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmegarch/membership/store_position.h"

namespace nutmegarch::membership {

/// Key and version of a published value. Version, position and hash are compared in this order; larger is
/// newer.
struct document_stamp {
  std::string key;
  std::uint64_t version = 0;
  store_position position;
  std::uint64_t hash = 0;
};

/// A published value, as peers exchange it.
struct document {
  document_stamp stamp;
  std::string body;
};

/// True when `left` is newer than `right`. Both must have the same key.
bool is_newer(const document_stamp& left, const document_stamp& right);

/// The newest document of each key that a node has received. No I/O; not thread-safe.
class document_table {
 public:
  /// Stores a document when it is newer than the stored one of its key, or when there is none. Returns true
  /// when it was stored.
  bool merge(const document& offered);

  /// The stored document of a key; null when there is none. Valid until the table is destroyed; its content
  /// may change with merge().
  const document* find(const std::string& key) const;

  /// Stamps of all stored documents.
  std::vector<document_stamp> digest() const;

  /// Stored documents that are newer than the stamps in a peer's digest. Keys that the digest does not
  /// contain are left out.
  std::vector<document> newer_than(const std::vector<document_stamp>& digest) const;

  /// Bytes of the bodies of all stored documents.
  std::size_t size_in_bytes() const;

  /// Stamp for requesting a document that is not stored yet. It is older than any document.
  static document_stamp missing_stamp(const std::string& key) { return {key, 0, {}, 0}; }

 private:
  std::map<std::string, document> documents_;
};

}  // namespace nutmegarch::membership
