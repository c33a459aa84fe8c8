#include "dotterel/gate/CompletionRequest.h"

#include "dotterel/base/Errors.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr auto DefaultMaxTokens = std::uint64_t{256};
constexpr auto MaxTokensLimit = std::uint64_t{1'000'000};

auto invalidRequest(const std::string &Reason) -> ProtocolError {
  return {301, Reason};
}

auto chatPrompt(const Json &Body) -> std::string {
  auto Found = Body.find("messages");
  if (Found == Body.end() || !Found->is_array() || Found->empty())
    throw invalidRequest(
        "messages: must be an array with at least one message");
  auto Prompt = std::string();
  for (const auto &Message : *Found) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message.contains("content") || !Message["content"].is_string())
      throw invalidRequest("messages: each needs a role and a content of text");
    Prompt += Message["role"].is_string()
                  ? Message["role"].get<std::string>()
                  : throw invalidRequest("messages.role");
    Prompt += '\n';
    Prompt += Message["content"].get<std::string>();
    Prompt += '\n';
  }
  return Prompt;
}

auto textPrompt(const Json &Body) -> std::string {
  auto Found = Body.find("prompt");
  if (Found == Body.end() || !Found->is_string())
    throw invalidRequest("prompt: must be a text");
  return Found->get<std::string>();
}

auto readWorkClass(const HttpRequest &Source) -> WorkClass {
  auto Request = findHeader(Source.m_Headers, "x-priority");
  if (!Request || *Request == "standard")
    return WorkClass::Standard;
  if (*Request == "interactive")
    return WorkClass::Interactive;
  if (*Request == "batch")
    return WorkClass::Batch;
  throw invalidRequest("x-priority: must be interactive, standard or batch");
}

auto readMaxTokens(const Json &Body) -> std::uint64_t {
  for (const auto *Name : {"max_tokens", "max_completion_tokens"}) {
    auto Found = Body.find(Name);
    if (Found == Body.end() || Found->is_null())
      continue;
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() == 0 ||
        Found->get<std::uint64_t>() > MaxTokensLimit)
      throw invalidRequest(fmt::format("{}: must be a number from 1 to {}",
                                       Name, MaxTokensLimit));
    return Found->get<std::uint64_t>();
  }
  return DefaultMaxTokens;
}

auto readFlag(const Json &Body, const char *Name) -> bool {
  auto Found = Body.find(Name);
  if (Found == Body.end() || Found->is_null())
    return false;
  if (!Found->is_boolean())
    throw invalidRequest(fmt::format("{}: must be true or false", Name));
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
    throw invalidRequest("the body is not JSON");
  if (!Body.is_object())
    throw invalidRequest("the body must be a JSON object");
  auto Model = Body.find("model");
  if (Model == Body.end() || !Model->is_string())
    throw invalidRequest("model: must be a text");
  if (Body.value("n", Json(1)) != Json(1))
    throw invalidRequest("n: only 1 is served");
  auto Request = CompletionRequest{
      .m_Shape = Shape,
      .m_Model = ModelId{Model->get<std::string>()},
      .m_Prompt =
          Shape == CompletionShape::Chat ? chatPrompt(Body) : textPrompt(Body),
      .m_MaxTokens = readMaxTokens(Body),
      .m_Stream = readFlag(Body, "stream"),
      .m_Class = readWorkClass(Source)};
  auto StreamOptions = Body.find("stream_options");
  if (StreamOptions != Body.end() && StreamOptions->is_object())
    Request.m_IncludeUsage = readFlag(*StreamOptions, "include_usage");
  Body["stream"] = true;
  Body["stream_options"] = {{"include_usage", true}};
  Body["max_tokens"] = Request.m_MaxTokens;
  // Only the gate may set this field: a value sent by the caller would make the
  // engine start the response at another position.
  Body.erase("resume_position");
  Request.m_EngineBody = Body.dump();
  return Request;
}

} // namespace dotterel
