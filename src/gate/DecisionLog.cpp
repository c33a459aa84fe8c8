#include "dotterel/gate/DecisionLog.h"

namespace dotterel {

auto DecisionLog::record(const RequestId &Request, std::string_view Event,
                         std::initializer_list<LogField> Fields) -> void {
  auto Text = std::string("request=") + Request.text();
  if (Fields.size() != 0)
    Text += ' ' + formatFields(Fields);
  logLine(LogLevel::Info, Event, Text);
  m_Entries.push_back(
      {.m_Request = Request, .m_Text = std::string(Event) + ' ' + Text});
  if (m_Entries.size() > m_Capacity)
    m_Entries.pop_front();
}

auto DecisionLog::explain(const RequestId &Request) const
    -> std::vector<std::string> {
  auto Found = std::vector<std::string>();
  for (const auto &Item : m_Entries)
    if (Item.m_Request == Request)
      Found.push_back(Item.m_Text);
  return Found;
}

} // namespace dotterel
