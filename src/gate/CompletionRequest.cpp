#include "dotterel/gate/CompletionRequest.h"

#include "dotterel/base/Errors.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr auto DefaultMaximumTokens = std::uint64_t{256};
constexpr auto MostTokens = std::uint64_t{1'000'000};

auto reject(const std::string &Reason) -> ProtocolError {
  return {301, Reason};
}

auto chatPrompt(const Json &Body) -> std::string {
  auto Found = Body.find("messages");
  if (Found == Body.end() || !Found->is_array() || Found->empty())
    throw reject("messages: must be an array with at least one message");
  auto Prompt = std::string();
  for (const auto &Message : *Found) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message.contains("content") || !Message["content"].is_string())
      throw reject("messages: each needs a role and a content of text");
    Prompt += Message["role"].is_string() ? Message["role"].get<std::string>()
                                          : throw reject("messages.role");
    Prompt += '\n';
    Prompt += Message["content"].get<std::string>();
    Prompt += '\n';
  }
  return Prompt;
}

auto textPrompt(const Json &Body) -> std::string {
  auto Found = Body.find("prompt");
  if (Found == Body.end() || !Found->is_string())
    throw reject("prompt: must be a text");
  return Found->get<std::string>();
}

auto readClass(const HttpRequest &Source) -> WorkClass {
  auto Value = findHeader(Source.m_Headers, "x-priority");
  if (!Value || *Value == "standard")
    return WorkClass::Standard;
  if (*Value == "interactive")
    return WorkClass::Interactive;
  if (*Value == "batch")
    return WorkClass::Batch;
  throw reject("x-priority: must be interactive, standard or batch");
}

auto readMaximum(const Json &Body) -> std::uint64_t {
  for (const auto *Name : {"max_tokens", "max_completion_tokens"}) {
    auto Found = Body.find(Name);
    if (Found == Body.end() || Found->is_null())
      continue;
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() == 0 ||
        Found->get<std::uint64_t>() > MostTokens)
      throw reject(
          fmt::format("{}: must be a number from 1 to {}", Name, MostTokens));
    return Found->get<std::uint64_t>();
  }
  return DefaultMaximumTokens;
}

auto readFlag(const Json &Body, const char *Name) -> bool {
  auto Found = Body.find(Name);
  if (Found == Body.end() || Found->is_null())
    return false;
  if (!Found->is_boolean())
    throw reject(fmt::format("{}: must be true or false", Name));
  return Found->get<bool>();
}

} // namespace

auto CompletionRequest::resumeBody(std::uint64_t Position) const
    -> std::string {
  auto Body = Json::parse(m_EngineBody);
  Body["resume_position"] = Position;
  return Body.dump();
}

auto parseCompletionRequest(CompletionShape Shape, const HttpRequest &Source)
    -> CompletionRequest {
  auto Body = Json::parse(Source.m_Body, nullptr, false);
  if (Body.is_discarded())
    throw reject("the body is not JSON");
  if (!Body.is_object())
    throw reject("the body must be a JSON object");
  auto Model = Body.find("model");
  if (Model == Body.end() || !Model->is_string())
    throw reject("model: must be a text");
  if (Body.value("n", Json(1)) != Json(1))
    throw reject("n: only 1 is served");
  auto Value = CompletionRequest{.m_Shape = Shape,
                                 .m_Model = ModelId{Model->get<std::string>()},
                                 .m_Prompt = Shape == CompletionShape::Chat
                                                 ? chatPrompt(Body)
                                                 : textPrompt(Body),
                                 .m_MaximumTokens = readMaximum(Body),
                                 .m_Stream = readFlag(Body, "stream"),
                                 .m_Class = readClass(Source)};
  auto Options = Body.find("stream_options");
  if (Options != Body.end() && Options->is_object())
    Value.m_IncludeUsage = readFlag(*Options, "include_usage");
  Body["stream"] = true;
  Body["stream_options"] = {{"include_usage", true}};
  Body["max_tokens"] = Value.m_MaximumTokens;
  // The gate's own field; a caller's would shift the answer.
  Body.erase("resume_position");
  Value.m_EngineBody = Body.dump();
  return Value;
}

} // namespace dotterel
