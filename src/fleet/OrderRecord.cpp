#include "dotterel/fleet/OrderRecord.h"

#include "dotterel/base/Errors.h"

#include <nlohmann/json.hpp>

namespace dotterel {

auto encodeOrderRecord(const OrderRecord &Value) -> std::string {
  auto Senders = nlohmann::json::array();
  for (const auto &Sender : Value.m_Senders)
    Senders.push_back(Sender.text());
  return nlohmann::json{{"order", Value.m_Order.text()},
                        {"directive", Value.m_Directive.text()},
                        {"incarnation", Value.m_Incarnation},
                        {"done", Value.m_Accepted},
                        {"senders", Senders}}
      .dump();
}

auto decodeOrderRecord(const std::string &Document) -> OrderRecord {
  try {
    auto Source = nlohmann::json::parse(Document);
    auto Value = OrderRecord{
        .m_Order = OrderId{Source.at("order").get<std::string>()},
        .m_Directive = Directive{Source.at("directive").get<std::string>()},
        .m_Incarnation = Source.at("incarnation").get<std::string>(),
        .m_Accepted = Source.at("done").get<bool>()};
    for (const auto &Sender : Source.at("senders"))
      Value.m_Senders.insert(SenderId{Sender.get<std::string>()});
    return Value;
  } catch (const nlohmann::json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

} // namespace dotterel
