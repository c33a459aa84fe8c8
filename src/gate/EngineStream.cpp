#include "dotterel/gate/EngineStream.h"

#include "dotterel/base/Errors.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

/// A longer line cannot be an event with one token.
constexpr auto MaxLineBytes = std::size_t{1} << 20U;

auto choiceText(const Json &Choice, CompletionShape Shape) -> std::string {
  if (Shape == CompletionShape::Text)
    return Choice.value("text", "");
  auto Delta = Choice.find("delta");
  if (Delta == Choice.end())
    return {};
  auto Content = Delta->find("content");
  return Content == Delta->end() || Content->is_null()
             ? std::string()
             : Content->get<std::string>();
}

} // namespace

auto EngineStream::feed(std::string_view Data,
                        const std::function<void(const EngineEvent &)> &OnEvent)
    -> void {
  m_PartialLine.append(Data);
  auto Start = std::size_t{0};
  for (auto End = m_PartialLine.find('\n'); End != std::string::npos;
       End = m_PartialLine.find('\n', Start)) {
    auto Line = std::string_view(m_PartialLine).substr(Start, End - Start);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    readLine(Line, OnEvent);
    Start = End + 1;
  }
  m_PartialLine.erase(0, Start);
  if (m_PartialLine.size() > MaxLineBytes)
    throw ProtocolError(301, "engine stream: line exceeds the length limit");
}

auto EngineStream::readLine(
    std::string_view Line,
    const std::function<void(const EngineEvent &)> &OnEvent) -> void {
  constexpr auto Prefix = std::string_view("data: ");
  if (!Line.starts_with(Prefix))
    return;
  Line.remove_prefix(Prefix.size());
  if (m_EndMarkerSeen)
    throw ProtocolError(301, "engine stream: event after the end marker");
  if (Line == "[DONE]") {
    m_EndMarkerSeen = true;
    return;
  }
  try {
    auto Source = Json::parse(Line);
    if (Source.at("id").get<std::string>() != m_Attempt.text())
      throw ProtocolError(301,
                          "engine stream: event id belongs to another attempt");
    auto Event = EngineEvent();
    if (auto Usage = Source.find("usage");
        Usage != Source.end() && Usage->is_object()) {
      Event.m_HasUsage = true;
      Event.m_PromptTokens = Usage->at("prompt_tokens").get<std::uint64_t>();
    }
    const auto &Choices = Source.at("choices");
    if (!Choices.empty()) {
      if (Source.at("position").get<std::uint64_t>() != m_Position)
        throw ProtocolError(301,
                            "engine stream: event position is out of order");
      const auto &Choice = Choices.at(0);
      Event.m_Text = choiceText(Choice, m_Shape);
      auto Reason = Choice.find("finish_reason");
      if (Reason != Choice.end() && Reason->is_string())
        Event.m_FinishReason = Reason->get<std::string>();
      if (Event.m_FinishReason.empty())
        ++m_Position;
      else
        m_FinishReasonSeen = true;
    }
    OnEvent(Event);
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

} // namespace dotterel
