#include "dotterel/gate/CompletionFormat.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

auto usageDocument(AnswerUsage Usage) -> Json {
  return {{"prompt_tokens", Usage.m_Prompt},
          {"completion_tokens", Usage.m_Completion},
          {"total_tokens", Usage.m_Prompt + Usage.m_Completion}};
}

auto event(const Json &Document) -> std::string {
  return fmt::format("data: {}\n\n", Document.dump());
}

} // namespace

auto CompletionFormat::token(const std::string &Text) const -> std::string {
  // Put together by hand: this runs for every token of every stream. Only the
  // token and the model's name need escapes.
  return fmt::format(
      R"(data: {{"choices":[{{"index":0,{}{}{},"finish_reason":null}}],)"
      R"("id":"{}","model":{},"object":"{}"}})"
      "\n\n",
      chat() ? R"("delta":{"content":)" : R"("text":)", Json(Text).dump(),
      chat() ? "}" : "", m_Id, Json(m_Model.text()).dump(),
      chat() ? "chat.completion.chunk" : "text_completion");
}

auto CompletionFormat::last(const std::string &FinishReason) const
    -> std::string {
  auto Choice =
      Json{{"index", 0},
           {"finish_reason",
            FinishReason.empty() ? Json(nullptr) : Json(FinishReason)}};
  if (chat())
    Choice["delta"] = Json::object();
  else
    Choice["text"] = "";
  return event(
      {{"id", m_Id},
       {"object", chat() ? "chat.completion.chunk" : "text_completion"},
       {"model", m_Model.text()},
       {"choices", Json::array({Choice})}});
}

auto CompletionFormat::usage(AnswerUsage Usage) const -> std::string {
  return event({{"id", m_Id},
                {"model", m_Model.text()},
                {"choices", Json::array()},
                {"usage", usageDocument(Usage)}});
}

auto CompletionFormat::whole(const std::string &Text,
                             const std::string &FinishReason,
                             AnswerUsage Usage) const -> std::string {
  auto Choice = Json{{"index", 0}, {"finish_reason", FinishReason}};
  if (chat())
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  return Json{{"id", m_Id},
              {"object", chat() ? "chat.completion" : "text_completion"},
              {"model", m_Model.text()},
              {"choices", Json::array({Choice})},
              {"usage", usageDocument(Usage)}}
      .dump();
}

} // namespace dotterel
