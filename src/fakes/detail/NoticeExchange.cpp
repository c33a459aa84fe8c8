#include "dotterel/fakes/detail/NoticeExchange.h"

#include "dotterel/fakes/detail/JsonReply.h"

#include <memory>
#include <utility>

namespace dotterel::detail {

namespace {

class NoticeExchange final : public HttpExchange {
public:
  explicit NoticeExchange(HttpExchangePtr Exchange)
      : m_Exchange(std::move(Exchange)) {}

  [[nodiscard]] auto request() const -> const HttpRequest & override {
    return m_Exchange->request();
  }
  auto respond(HttpResponse Response) -> void override {
    Response.m_Headers.push_back(leaving());
    m_Exchange->respond(std::move(Response));
  }
  auto startStream(unsigned Status, HttpHeaders Headers) -> void override {
    Headers.push_back(leaving());
    m_Exchange->startStream(Status, std::move(Headers));
  }
  auto write(std::string_view Data) -> void override {
    m_Exchange->write(Data);
  }
  auto finish() -> void override { m_Exchange->finish(); }
  auto abort() -> void override { m_Exchange->abort(); }
  [[nodiscard]] auto backlog() const -> std::size_t override {
    return m_Exchange->backlog();
  }
  auto onDisconnect(std::function<void()> Callback) -> void override {
    m_Exchange->onDisconnect(std::move(Callback));
  }

private:
  static auto leaving() -> HttpHeader {
    return {.m_Name = "x-server-leaving", .m_Value = "1"};
  }

  HttpExchangePtr m_Exchange;
};

} // namespace

auto FakeNotice::set(const nlohmann::json &Faults) -> void {
  m_Leaving = Faults.value("leaving", m_Leaving);
  m_Pause = Faults.value("pause", m_Pause);
}

auto withNotice(HttpExchangePtr Exchange, const FakeNotice &Notice)
    -> HttpExchangePtr {
  if (!Notice.m_Leaving)
    return Exchange;
  return std::make_shared<NoticeExchange>(std::move(Exchange));
}

auto refuseForPause(HttpExchange &Exchange, const FakeNotice &Notice) -> void {
  constexpr auto ServiceUnavailable = 503U;
  auto Response = jsonReply(ServiceUnavailable, {{"error", "paused"}});
  if (auto Id = findHeader(Exchange.request().m_Headers, "x-request-id"))
    Response.m_Headers.push_back({.m_Name = "x-request-id", .m_Value = *Id});
  Response.m_Headers.push_back(
      {.m_Name = "Retry-After", .m_Value = Notice.m_Pause});
  Exchange.respond(std::move(Response));
}

} // namespace dotterel::detail
