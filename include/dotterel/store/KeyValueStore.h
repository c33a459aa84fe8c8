//===- KeyValueStore.h - The platform's key-value service -------*- C++ -*-===//
///
/// \file
/// What the project needs of the platform's store: reads of a key range,
/// transactions guarded by compare, and leases.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_KEYVALUESTORE_H
#define DOTTEREL_STORE_KEYVALUESTORE_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

/// Why a call has no answer.
enum class StoreFailure : std::uint8_t {
  Refused, ///< It had no effect: not sent, or refused by the store.
  Unknown, ///< It may have had its effect.
};

struct StoredValue {
  std::string m_Key;
  std::string m_Value;
  StoreRevision m_Modified; ///< Store revision of the last write of the key.
};

/// Keys from m_First up to, not including, m_End; only m_First when m_End is
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
  StoreRevision m_Revision; ///< Of the whole store when it was read.
};

/// Holds when the key's last write has this revision; 0: the key is absent.
struct StoreCompare {
  std::string m_Key;
  StoreRevision m_Modified;
};

struct StoreWrite {
  std::string m_Key;
  std::optional<std::string> m_Value; ///< Empty: delete the key.
  LeaseId m_Lease;                    ///< 0: no lease.
};

/// Applies all writes when all compares hold, and none otherwise.
struct StoreTransaction {
  std::vector<StoreCompare> m_Compares;
  std::vector<StoreWrite> m_Writes;
};

struct TransactionResult {
  bool m_Applied = false;
  StoreRevision m_Revision; ///< Of the whole store after the call.
};

/// Either an answer or the reason why there is none.
template <typename Answer> struct StoreReply {
  std::optional<Answer> m_Answer;
  StoreFailure m_Failure = StoreFailure::Refused;

  explicit operator bool() const { return m_Answer.has_value(); }
  auto operator->() const -> const Answer * { return &*m_Answer; }
};

template <typename Answer>
using StoreCallback = std::function<void(StoreReply<Answer>)>;

/// The store. Each call counts against its rate limits. No callback runs
/// inside the call that it belongs to.
class KeyValueStore {
public:
  virtual ~KeyValueStore() = default;

  virtual auto read(KeyRange Range, StoreCallback<RangeResult> Callback)
      -> void = 0;
  virtual auto commit(StoreTransaction Transaction,
                      StoreCallback<TransactionResult> Callback) -> void = 0;
  virtual auto grantLease(Seconds Term, StoreCallback<LeaseId> Callback)
      -> void = 0;
  /// Answers with the remaining term; zero when the lease has lapsed.
  virtual auto keepLease(LeaseId Lease, StoreCallback<Seconds> Callback)
      -> void = 0;
  virtual auto revokeLease(LeaseId Lease, StoreCallback<bool> Callback)
      -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_STORE_KEYVALUESTORE_H
