#include "dotterel/fakes/detail/JsonReply.h"

namespace dotterel::detail {

auto jsonReply(unsigned Status, const nlohmann::json &Body) -> HttpResponse {
  return jsonResponse(Status, Body.dump());
}

auto tooLargeResponse() -> HttpResponse {
  constexpr auto ContentTooLarge = 413U;
  return jsonReply(ContentTooLarge, {{"error", "too large"}});
}

} // namespace dotterel::detail
