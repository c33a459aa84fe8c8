#include "dotterel/gate/CompletionFormat.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

auto usageDocument(CompletionUsage Usage) -> Json {
  return {{"prompt_tokens", Usage.m_PromptTokens},
          {"completion_tokens", Usage.m_CompletionTokens},
          {"total_tokens", Usage.m_PromptTokens + Usage.m_CompletionTokens}};
}

auto formatEvent(const Json &Document) -> std::string {
  return fmt::format("data: {}\n\n", Document.dump());
}

} // namespace

auto CompletionFormat::tokenEvent(const std::string &Text) const
    -> std::string {
  // Formatted without a JSON document, since this runs for every token of every
  // stream. Only the text and the model's name need JSON escaping.
  return fmt::format(
      R"(data: {{"choices":[{{"index":0,{}{}{},"finish_reason":null}}],)"
      R"("id":"{}","model":{},"object":"{}"}})"
      "\n\n",
      isChat() ? R"("delta":{"content":)" : R"("text":)", Json(Text).dump(),
      isChat() ? "}" : "", m_Id, Json(m_Model.text()).dump(),
      isChat() ? "chat.completion.chunk" : "text_completion");
}

auto CompletionFormat::finishEvent(const std::string &FinishReason) const
    -> std::string {
  auto Choice =
      Json{{"index", 0},
           {"finish_reason",
            FinishReason.empty() ? Json(nullptr) : Json(FinishReason)}};
  if (isChat())
    Choice["delta"] = Json::object();
  else
    Choice["text"] = "";
  return formatEvent(
      {{"id", m_Id},
       {"object", isChat() ? "chat.completion.chunk" : "text_completion"},
       {"model", m_Model.text()},
       {"choices", Json::array({Choice})}});
}

auto CompletionFormat::usageEvent(CompletionUsage Usage) const -> std::string {
  return formatEvent({{"id", m_Id},
                      {"model", m_Model.text()},
                      {"choices", Json::array()},
                      {"usage", usageDocument(Usage)}});
}

auto CompletionFormat::completeResponse(const std::string &Text,
                                        const std::string &FinishReason,
                                        CompletionUsage Usage) const
    -> std::string {
  auto Choice = Json{{"index", 0}, {"finish_reason", FinishReason}};
  if (isChat())
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  return Json{{"id", m_Id},
              {"object", isChat() ? "chat.completion" : "text_completion"},
              {"model", m_Model.text()},
              {"choices", Json::array({Choice})},
              {"usage", usageDocument(Usage)}}
      .dump();
}

} // namespace dotterel
