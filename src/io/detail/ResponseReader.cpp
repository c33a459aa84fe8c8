#include "dotterel/io/detail/ResponseReader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dotterel::detail {

namespace {

auto reader(http_parser *Parser) -> AnswerReader & {
  return *static_cast<AnswerReader *>(Parser->data);
}

constexpr auto FirstFinalStatus = 200U;

} // namespace

AnswerReader::AnswerReader(bool HeadMethod, HttpHeader Echo, Events Events)
    : m_HeadMethod(HeadMethod), m_Echo(std::move(Echo)),
      m_Events(std::move(Events)) {
  restart();
}

auto AnswerReader::restart() -> void {
  http_parser_init(&m_Parser, HTTP_RESPONSE);
  m_Parser.data = this;
  m_Headers.clear();
  m_InValue = m_HeadersDone = m_MessageDone = m_Foreign = false;
}

auto AnswerReader::settings() -> const http_parser_settings & {
  static const auto Settings = [] {
    auto Result = http_parser_settings();
    http_parser_settings_init(&Result);
    Result.on_header_field = [](http_parser *Parser, const char *Data,
                                std::size_t Size) {
      auto &Self = reader(Parser);
      if (Self.m_HeadersDone)
        return 0;
      if (Self.m_Headers.empty() || Self.m_InValue)
        Self.m_Headers.emplace_back();
      Self.m_InValue = false;
      Self.m_Headers.back().m_Name.append(Data, Size);
      return 0;
    };
    Result.on_header_value = [](http_parser *Parser, const char *Data,
                                std::size_t Size) {
      auto &Self = reader(Parser);
      if (Self.m_HeadersDone)
        return 0;
      Self.m_InValue = true;
      Self.m_Headers.back().m_Value.append(Data, Size);
      return 0;
    };
    Result.on_headers_complete = [](http_parser *Parser) {
      return reader(Parser).headersComplete();
    };
    Result.on_body = [](http_parser *Parser, const char *Data,
                        std::size_t Size) {
      auto &Self = reader(Parser);
      if (!Self.m_Foreign && Self.m_Events.m_OnData)
        Self.m_Events.m_OnData(std::string_view(Data, Size));
      return 0;
    };
    Result.on_message_complete = [](http_parser *Parser) {
      reader(Parser).m_MessageDone = true;
      http_parser_pause(Parser, 1);
      return 0;
    };
    return Result;
  }();
  return Settings;
}

auto AnswerReader::headersComplete() -> int {
  m_HeadersDone = true;
  m_Parser.upgrade = 0;
  auto Status = static_cast<unsigned>(m_Parser.status_code);
  if (Status < FirstFinalStatus)
    return 0;
  if (!m_Echo.m_Name.empty()) {
    auto Value = findHeader(m_Headers, m_Echo.m_Name);
    // An answer that names no call was made before its call was read, as by a
    // server that is full.
    m_Foreign = Value && *Value != m_Echo.m_Value;
  }
  if (!m_Foreign) {
    m_Begun = true;
    m_Reusable = http_should_keep_alive(&m_Parser) != 0;
    if (m_Events.m_OnHeaders)
      m_Events.m_OnHeaders(Status, m_Headers);
  }
  constexpr auto SkipBody = 1;
  return m_HeadMethod ? SkipBody : 0;
}

auto AnswerReader::feed(std::string_view Bytes) -> State {
  while (m_State == State::Reading && !Bytes.empty()) {
    auto Parsed =
        http_parser_execute(&m_Parser, &settings(), Bytes.data(), Bytes.size());
    auto Error = HTTP_PARSER_ERRNO(&m_Parser);
    if (Error != HPE_OK && Error != HPE_PAUSED) {
      m_State = State::Broken;
      return m_State;
    }
    Bytes.remove_prefix(std::min(Parsed, Bytes.size()));
    if (m_MessageDone)
      m_State = finishAnswer();
  }
  if (m_State == State::Complete && !Bytes.empty())
    m_Extra = true;
  return m_State;
}

auto AnswerReader::finishAnswer() -> State {
  auto Interim = m_Parser.status_code < FirstFinalStatus;
  if (!m_Foreign && !Interim)
    return State::Complete;
  m_Skipped = m_Skipped || m_Foreign;
  restart();
  return State::Reading;
}

auto AnswerReader::end(bool InGoodOrder) -> State {
  if (m_State != State::Reading)
    return m_State;
  m_State = State::Broken;
  if (!InGoodOrder || !m_HeadersDone || m_Foreign)
    return m_State;
  // The parser knows whether this answer ends with its connection.
  http_parser_execute(&m_Parser, &settings(), nullptr, 0);
  m_Reusable = false;
  if (m_MessageDone)
    m_State = State::Complete;
  return m_State;
}

auto AnswerReader::keepAliveTime() const -> std::optional<Duration> {
  auto Value = findHeader(m_Headers, "Keep-Alive");
  if (!Value)
    return std::nullopt;
  constexpr auto Name = std::string_view("timeout=");
  auto At = Value->find(Name);
  if (At == std::string::npos)
    return std::nullopt;
  auto Whole = 0U;
  auto Text = std::string_view(*Value).substr(At + Name.size());
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Whole);
  if (Parsed.ec != std::errc())
    return std::nullopt;
  return Seconds(Whole);
}

} // namespace dotterel::detail
