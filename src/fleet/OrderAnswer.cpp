#include "dotterel/fleet/OrderAnswer.h"

namespace dotterel {

namespace {

constexpr auto Unauthorized = 401U;
constexpr auto Forbidden = 403U;
constexpr auto ProxyAuthentication = 407U;
constexpr auto RequestTimeout = 408U;
constexpr auto Conflict = 409U;
constexpr auto Misdirected = 421U;
constexpr auto TooManyRequests = 429U;

constexpr auto FirstSuccess = 200U;
constexpr auto FirstRedirection = 300U;
constexpr auto FirstClientError = 400U;
constexpr auto FirstServerError = 500U;
constexpr auto EndOfStatuses = 600U;

auto interpretStatus(unsigned Status) -> OrderOutcome {
  switch (Status) {
  case Conflict:
    return OrderOutcome::Busy;
  case TooManyRequests:
    return OrderOutcome::Throttled;
  case RequestTimeout:
    return OrderOutcome::Unavailable;
  // Another server than the target may have answered.
  case Unauthorized:
  case Forbidden:
  case ProxyAuthentication:
  case Misdirected:
    return OrderOutcome::Unknown;
  default:
    break;
  }
  if (Status >= FirstSuccess && Status < FirstRedirection)
    return OrderOutcome::Accepted;
  if (Status >= FirstClientError && Status < FirstServerError)
    return OrderOutcome::Rejected;
  if (Status >= FirstServerError && Status < EndOfStatuses)
    return OrderOutcome::Unavailable;
  return OrderOutcome::Unknown;
}

} // namespace

auto interpretOrderAnswer(const HttpCallResult &Result,
                          std::optional<unsigned> OutdatedTokenStatus)
    -> OrderOutcome {
  if (Result.m_Outcome == HttpOutcome::NotSent)
    return OrderOutcome::NotSent;
  if (Result.m_Outcome != HttpOutcome::Complete)
    return OrderOutcome::Unknown;
  if (Result.m_Status == OutdatedTokenStatus)
    return OrderOutcome::Refused;
  return interpretStatus(Result.m_Status);
}

auto nameOf(OrderOutcome Outcome) -> const char * {
  switch (Outcome) {
  case OrderOutcome::Accepted:
    return "accepted";
  case OrderOutcome::Refused:
    return "refused";
  case OrderOutcome::Rejected:
    return "rejected";
  case OrderOutcome::Busy:
    return "busy";
  case OrderOutcome::Throttled:
    return "throttled";
  case OrderOutcome::Unavailable:
    return "unavailable";
  case OrderOutcome::NotSent:
    return "not_sent";
  case OrderOutcome::Unknown:
    return "unknown";
  }
  return "";
}

auto isAnswered(OrderOutcome Outcome) -> bool {
  return Outcome != OrderOutcome::NotSent && Outcome != OrderOutcome::Unknown;
}

auto mayStillArrive(OrderOutcome Outcome) -> bool {
  return Outcome == OrderOutcome::Unknown ||
         Outcome == OrderOutcome::Unavailable;
}

} // namespace dotterel
