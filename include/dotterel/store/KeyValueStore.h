//===- KeyValueStore.h - The platform's key-value service -------*- C++ -*-===//
///
/// \file
/// Interface to the platform's store: reads of a key range, transactions
/// guarded by compares, and leases.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_KEYVALUESTORE_H
#define DOTTEREL_STORE_KEYVALUESTORE_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/store/StoreHistory.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

/// Why a call has no response.
enum class StoreFailure : std::uint8_t {
  Refused, ///< No effect: it was not sent or the store refused it.
  Unknown, ///< It may or may not have taken effect.
};

struct StoredValue {
  std::string m_Key;
  std::string m_Value;
  StoreRevision m_Modified; ///< Store revision of the last write of the key.
};

/// Keys from m_First (included) to m_End (excluded); only m_First if m_End is
/// empty.
struct KeyRange {
  std::string m_First;
  std::string m_End;

  static auto single(std::string Key) -> KeyRange {
    return {.m_First = std::move(Key)};
  }
  static auto prefix(const std::string &Prefix) -> KeyRange;
};

struct RangeResult {
  std::vector<StoredValue> m_Values;
  StoreRevision m_Revision; ///< Revision of the whole store at the read.
};

/// Condition that the last write of the key has this revision; 0: the key is
/// absent.
struct StoreCompare {
  std::string m_Key;
  StoreRevision m_Modified;
};

struct StoreWrite {
  std::string m_Key;
  std::optional<std::string> m_Value; ///< Empty: the key is deleted.
  LeaseId m_Lease;                    ///< 0: no lease.
};

/// Applies all writes if all compares hold, and none otherwise.
struct StoreTransaction {
  std::vector<StoreCompare> m_Compares;
  std::vector<StoreWrite> m_Writes;
};

/// Returns the number that stands for the compared revision in a call to a
/// store with the history \p Era. A revision of another history is replaced by
/// one that no key has: the store may have assigned its number again.
auto comparedNumber(const StoreCompare &Compare, StoreEra Era) -> std::uint64_t;

/// Returns whether the revisions that \p Transaction compares are all of the
/// history \p Era.
auto comparesOnly(StoreEra Era, const StoreTransaction &Transaction) -> bool;

struct TransactionResult {
  bool m_Applied = false;
  StoreRevision m_Revision; ///< Revision of the whole store after the call.
};

/// Either a response or the reason why there is none.
template <typename Response> struct StoreReply {
  std::optional<Response> m_Response;
  StoreFailure m_Failure = StoreFailure::Refused;

  explicit operator bool() const { return m_Response.has_value(); }
  auto operator->() const -> const Response * { return &*m_Response; }
};

template <typename Response>
using StoreCallback = std::function<void(StoreReply<Response>)>;

/// The key-value store. Each call counts against its rate limits. A callback
/// never runs before the call that it was passed to has returned.
class KeyValueStore {
public:
  virtual ~KeyValueStore() = default;

  /// Returns the history that the store's responses belong to.
  [[nodiscard]] auto history() -> StoreHistory & { return m_History; }
  [[nodiscard]] auto history() const -> const StoreHistory & {
    return m_History;
  }

  virtual auto read(KeyRange Range, StoreCallback<RangeResult> Callback)
      -> void = 0;
  virtual auto commit(StoreTransaction Transaction,
                      StoreCallback<TransactionResult> Callback) -> void = 0;
  virtual auto grantLease(Seconds Term, StoreCallback<LeaseId> Callback)
      -> void = 0;
  /// Renews a lease. \p Callback gets the remaining term; zero if the lease has
  /// expired.
  virtual auto renewLease(LeaseId Lease, StoreCallback<Seconds> Callback)
      -> void = 0;
  virtual auto revokeLease(LeaseId Lease, StoreCallback<bool> Callback)
      -> void = 0;

private:
  StoreHistory m_History;
};

} // namespace dotterel

#endif // DOTTEREL_STORE_KEYVALUESTORE_H
