//===- NoticeExchange.h - Notices in a fake's responses ---------*- C++ -*-===//
///
/// \file
/// Adds what a fake server states about taking requests to its responses.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_DETAIL_NOTICEEXCHANGE_H
#define DOTTEREL_FAKES_DETAIL_NOTICEEXCHANGE_H

#include "dotterel/io/HttpServer.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace dotterel::detail {

/// What a fake server states. `POST /faults` sets it; each member's comment
/// names its JSON member.
struct FakeNotice {
  bool m_Leaving = false; ///< `leaving`: in all responses.
  /// `pause`: value of Retry-After with which requests are refused; none if
  /// empty.
  std::string m_Pause;

  auto set(const nlohmann::json &Faults) -> void;
};

/// Returns an exchange that passes all to \p Exchange and adds \p Notice to
/// the response.
auto withNotice(HttpExchangePtr Exchange, const FakeNotice &Notice)
    -> HttpExchangePtr;

/// Refuses a request because of a pause.
auto refuseForPause(HttpExchange &Exchange, const FakeNotice &Notice) -> void;

} // namespace dotterel::detail

#endif // DOTTEREL_FAKES_DETAIL_NOTICEEXCHANGE_H
