#include "dotterel/ctl/Command.h"

#include "dotterel/base/Errors.h"
#include "dotterel/ctl/Table.h"
#include "dotterel/io/EventLoop.h"
#include "dotterel/io/HttpClient.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr auto CallTimeout = Seconds(10);
constexpr auto PollInterval = Milliseconds(100);
constexpr auto StatusOk = 200U;
constexpr auto StatusNotFound = 404U;
constexpr auto ExitNotInForce = 3;

/// The response of a gate.
struct GateResponse {
  unsigned m_Status = 0; ///< HTTP status; 0: the gate could not be reached.
  Json m_Body;
  std::string m_Gate;
};

/// Makes blocking HTTP calls to gates, one at a time.
class GateClient {
public:
  explicit GateClient(const Settings &Values) : m_Values(Values) {
    auto Stream = std::istringstream(Values.text("gates"));
    auto Url = std::string();
    while (std::getline(Stream, Url, ','))
      m_Gates.push_back(Url);
  }

  [[nodiscard]] auto gates() const -> const std::vector<std::string> & {
    return m_Gates;
  }

  auto call(const std::string &Gate, const std::string &Method,
            const std::string &Path, const Json &Body) -> GateResponse {
    auto Result = GateResponse{.m_Gate = Gate};
    auto Call = HttpCall();
    Call.m_Method = Method;
    Call.m_Url = Gate + Path;
    Call.m_Headers = {{.m_Name = "Authorization",
                       .m_Value = "Bearer " + m_Values.text("operator-token")}};
    if (Method == "POST")
      Call.m_Body = Body.dump();
    Call.m_Timeout = CallTimeout;
    // The library must not resend a change whose response is lost.
    Call.m_DedicatedConnection = true;
    Call.m_OnDone = [&](const HttpCallResult &Reply) {
      if (Reply.m_Outcome == HttpOutcome::Complete) {
        Result.m_Status = Reply.m_Status;
        Result.m_Body = Json::parse(Reply.m_Body, nullptr, false);
      }
      m_Loop.stop();
    };
    m_Client->start(std::move(Call));
    m_Loop.run();
    return Result;
  }

  /// Sends a GET request to one gate after another until one responds with a
  /// status other than 404. For read requests only: a change goes to one gate,
  /// since it may have taken effect although its response was lost.
  auto getFromAnyGate(const std::string &Path) -> GateResponse {
    for (const auto &Gate : m_Gates) {
      auto Result = call(Gate, "GET", Path, {});
      if (Result.m_Status != 0 && Result.m_Status != StatusNotFound)
        return Result;
    }
    return {};
  }

  auto runLoopFor(Duration Span) -> void {
    m_Loop.schedule(Span, [this] { m_Loop.stop(); });
    m_Loop.run();
  }

  auto now() const -> MonotonicTime { return m_Loop.now(); }

private:
  const Settings &m_Values;
  std::vector<std::string> m_Gates;
  EventLoop m_Loop;
  std::unique_ptr<HttpClient> m_Client = makeHttpClient(m_Loop);
};

auto text(const Json &Value) -> std::string {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

/// Converts the text of a setting to a boolean, a number or a string.
auto toJsonValue(const std::string &Value) -> Json {
  if (Value == "true" || Value == "false")
    return Value == "true";
  auto IsNumber = !Value.empty() &&
                  std::all_of(Value.begin(), Value.end(),
                              [](char C) { return C >= '0' && C <= '9'; });
  return IsNumber ? Json(std::stoull(Value)) : Json(Value);
}

auto requestBody(const Command &Chosen, const Settings &Values) -> Json {
  auto Body = Json::object();
  for (const auto &Name : Chosen.m_BodySettings) {
    const auto &Value = Values.text(Name);
    if (Value.empty())
      continue;
    auto Member = Name;
    std::replace(Member.begin(), Member.end(), '-', '_');
    // Names are sent as strings, also if they look like numbers.
    auto IsText = Name == "id" || Name == "organisation" || Name == "key" ||
                  Name == "digest" || Name == "service";
    Body[Member] = IsText ? Json(Value) : toJsonValue(Value);
  }
  return Body;
}

auto findCommand(const Settings &Values) -> const Command & {
  auto Name = fmt::format("{}", fmt::join(Values.operands(), " "));
  if (!Values.operands().empty() && Values.operands().front() == "explain")
    Name = "explain";
  for (const auto &Item : commands())
    if (Item.m_Name == Name)
      return Item;
  if (Name.starts_with("check"))
    throw SettingsError(102, "check goes before its flags: dotterelctl check "
                             "FILE [--against=FILE] [--json]");
  auto Known = fmt::format("\n  {:<18} {}", "check",
                           "checks a configuration before it is sent");
  for (const auto &Item : commands())
    Known += fmt::format("\n  {:<18} {}", Item.m_Name, Item.m_Summary);
  throw SettingsError(102,
                      fmt::format("{}; the commands are:{}",
                                  Name.empty() ? "no command was given"
                                               : "no command '" + Name + "'",
                                  Known));
}

auto checkArguments(const Command &Chosen, const Settings &Values) -> void {
  auto Missing = std::vector<std::string>();
  for (const auto &Name : Chosen.m_RequiredSettings)
    if (Values.text(Name).empty())
      Missing.push_back("--" + Name);
  if (Chosen.m_Name == "key withdraw" && Values.text("key").empty() &&
      Values.text("digest").empty())
    Missing.emplace_back("--key or --digest");
  if (Chosen.m_Name == "explain" && Values.operands().size() != 2)
    Missing.emplace_back("the request's id");
  if (!Missing.empty())
    throw SettingsError(102, fmt::format("{} needs {}", Chosen.m_Name,
                                         fmt::join(Missing, ", ")));
}

/// Returns the processes that have not confirmed \p Revision.
auto unconfirmedProcesses(const Json &Status, std::uint64_t Revision)
    -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  if (!Status.at("hosts_listed").get<bool>())
    Names.emplace_back("hosts that the gate has no list of yet");
  for (const auto &Item : Status.at("members"))
    if (Item.at("config_revision").get<std::uint64_t>() < Revision)
      Names.push_back(Item.at("process").get<std::string>());
  return Names;
}

auto waitUntilInForce(GateClient &Client, const std::string &Gate,
                      std::uint64_t Revision, Duration Timeout) -> int {
  auto Start = Client.now();
  auto Unconfirmed = std::vector<std::string>{"all"};
  while (true) {
    auto Status = Client.call(Gate, "GET", "/admin/v1/status", {});
    if (Status.m_Status == StatusOk)
      Unconfirmed = unconfirmedProcesses(Status.m_Body, Revision);
    auto Waited = Client.now() - Start;
    if (Unconfirmed.empty()) {
      fmt::print("in force everywhere after {} ms\n", toMilliseconds(Waited));
      return EXIT_SUCCESS;
    }
    if (Waited >= Timeout)
      break;
    Client.runLoopFor(PollInterval);
  }
  fmt::print("accepted, but not confirmed after {} ms by: {}\n",
             toMilliseconds(Timeout), fmt::join(Unconfirmed, ", "));
  return ExitNotInForce;
}

auto printStatus(const Json &Body) -> void {
  fmt::print("gate {} at revision {}, evidence {} ms old, {} waiting\n\n",
             text(Body.at("process")), Body.at("revision").dump(),
             Body.at("evidence_age_ms").dump(), Body.at("waiting").dump());
  auto Members = Table(
      {"PROCESS", "DATA CENTRE", "LIVE", "LEAVING", "STORE LOST", "REVISION"});
  for (const auto &Item : Body.at("members"))
    Members.add({text(Item.at("process")), text(Item.at("data_centre")),
                 text(Item.at("live")), text(Item.at("leaving")),
                 text(Item.at("store_lost")),
                 text(Item.at("config_revision"))});
  auto Backends = Table({"BACKEND SERVER", "DATA CENTRE", "SERVICE", "ROLE",
                         "RUNNING", "OURS", "LEAVING", "EJECTED"});
  for (const auto &Item : Body.at("backends"))
    Backends.add({text(Item.at("id")), text(Item.at("data_centre")),
                  text(Item.at("service")), Item.value("role", "-"),
                  Item.contains("running") ? text(Item.at("running")) : "-",
                  text(Item.at("in_flight")), text(Item.at("leaving")),
                  text(Item.at("ejected"))});
  fmt::print("{}\n{}", Members.text(), Backends.text());
  for (const auto &Digest : Body.at("quarantined"))
    fmt::print("quarantined request digest {}\n", text(Digest));
}

auto printPresets(const Json &Body) -> void {
  auto Rows = Table({"PRESET", "IN FORCE", "ROLE CHANGES", "CHEAP SERVERS",
                     "SERVER ORDERS", "LEAST SERVERS", "QUEUE LIMIT"});
  for (const auto &[Id, Item] : Body.at("presets").items())
    Rows.add({Id, Id == Body.at("preset_in_force") ? "yes" : "",
              text(Item.at("role_changes")), text(Item.at("cheap_servers")),
              text(Item.at("server_orders")), text(Item.at("least_servers")),
              text(Item.at("queue_limit"))});
  fmt::print("{}", Rows.text());
}

auto printRoutes(const Json &Body) -> void {
  auto Rows = Table({"ROUTE", "SERVICE", "OPEN", "IDEMPOTENT", "CHEAP SERVERS",
                     "TIMEOUT MS"});
  for (const auto &[Id, Item] : Body.at("routes").items())
    Rows.add({Id, text(Item.at("service")), text(Item.at("open")),
              text(Item.at("idempotent")), text(Item.at("cheap_servers")),
              text(Item.at("timeout_ms"))});
  fmt::print("{}", Rows.text());
}

auto printKeys(const Json &Body) -> void {
  auto Rows = Table({"ORGANISATION", "WEIGHT", "DIGEST"});
  for (const auto &Item : Body.at("keys"))
    Rows.add({text(Item.at("organisation")), text(Item.at("weight")),
              text(Item.at("digest"))});
  fmt::print("{}", Rows.text());
}

auto printResponse(const Command &Chosen, const Settings &Values,
                   const Json &Body) -> void {
  if (Values.enabled("json"))
    fmt::print("{}\n", Body.dump(2));
  else if (Chosen.m_Name == "status")
    printStatus(Body);
  else if (Chosen.m_Name == "preset list")
    printPresets(Body);
  else if (Chosen.m_Name == "preset show")
    fmt::print("{}\n",
               Body.at("presets").value(Values.text("id"), Json()).dump(2));
  else if (Chosen.m_Name == "route list")
    printRoutes(Body);
  else if (Chosen.m_Name == "key list")
    printKeys(Body);
  else if (Chosen.m_Name == "explain")
    for (const auto &Line : Body.at("decisions"))
      fmt::print("{}\n", text(Line));
  else
    for (const auto &[Name, Value] : Body.items())
      fmt::print("{:<10} {}\n", Name, text(Value));
}

auto printFailure(const GateResponse &Result) -> void {
  if (Result.m_Status == 0) {
    fmt::print(stderr, "no gate could be reached\n");
    return;
  }
  auto Error = Result.m_Body.is_object()
                   ? Result.m_Body.value("error", Json::object())
                   : Json::object();
  fmt::print(stderr, "{}: {}\n",
             Error.value("code", std::to_string(Result.m_Status)),
             Error.value("message", "the gate gave no reason"));
}

} // namespace

auto commands() -> const std::vector<Command> & {
  static const auto All = std::vector<Command>{
      {"status",
       "processes, backend servers, quarantine",
       "GET",
       "/admin/v1/status",
       {},
       {},
       false},
      {"preset list",
       "presets and the one in force",
       "GET",
       "/admin/v1/configuration",
       {},
       {},
       false},
      {"preset show",
       "one preset",
       "GET",
       "/admin/v1/configuration",
       {},
       {"id"},
       false},
      {"preset create",
       "creates or replaces a preset",
       "POST",
       "/admin/v1/presets",
       {"id", "role-changes", "cheap-servers", "server-orders", "least-servers",
        "queue-limit", "interactive-deadline-ms", "standard-deadline-ms",
        "batch-deadline-ms", "expected-revision"},
       {"id"},
       true},
      {"preset switch",
       "puts a preset in force",
       "POST",
       "/admin/v1/presets/switch",
       {"id", "expected-revision"},
       {"id"},
       true},
      {"route list",
       "routes to plain services",
       "GET",
       "/admin/v1/configuration",
       {},
       {},
       false},
      {"route set",
       "creates or replaces a route",
       "POST",
       "/admin/v1/routes",
       {"id", "service", "open", "idempotent", "cheap-servers", "timeout-ms",
        "expected-revision"},
       {"id", "service"},
       true},
      {"key list",
       "granted keys, by digest",
       "GET",
       "/admin/v1/configuration",
       {},
       {},
       false},
      {"key grant",
       "grants a new key and prints it once",
       "POST",
       "/admin/v1/keys/grant",
       {"organisation", "weight", "expected-revision"},
       {"organisation"},
       true},
      {"key withdraw",
       "withdraws a key",
       "POST",
       "/admin/v1/keys/withdraw",
       {"key", "digest", "expected-revision"},
       {},
       true},
      {"backend drain",
       "gives a backend server no new work",
       "POST",
       "/admin/v1/backends/drain",
       {"id", "drain", "expected-revision"},
       {"id"},
       true},
      {"quarantine release",
       "lets a quarantined request run again",
       "POST",
       "/admin/v1/quarantine/release",
       {"digest"},
       {"digest"},
       false},
      {"explain",
       "why a request went where it went: explain REQUEST-ID",
       "GET",
       "/admin/v1/explain",
       {},
       {},
       false},
  };
  return All;
}

auto ctlSettings() -> Settings {
  auto Text = [](const char *Name, const char *Help) {
    return Setting{.m_Name = Name, .m_Help = Help};
  };
  auto Number = [](const char *Name, const char *Help) {
    constexpr auto MaxNumber = std::int64_t{1} << 53U;
    return integerSetting(Name, "", Help, 0, MaxNumber);
  };
  auto Switch = [](const char *Name, const char *Help) {
    return Setting{
        .m_Name = Name, .m_Kind = SettingKind::Switch, .m_Help = Help};
  };
  auto Declared = std::vector<Setting>{
      {.m_Name = "gates",
       .m_Help = "Operators' addresses of gates, as URLs with commas between.",
       .m_Required = true},
      {.m_Name = "operator-token",
       .m_Help = "Token that operators send.",
       .m_Required = true,
       .m_Secret = true},
      integerSetting("wait-ms", "10000",
                     "Longest wait for a change to be in force everywhere, in "
                     "milliseconds.",
                     0, 600'000),
      {.m_Name = "json",
       .m_Kind = SettingKind::Switch,
       .m_Default = "false",
       .m_Help = "Prints the gate's JSON in place of a table."},
      Text("id", "Name of a preset, route or backend server."),
      Text("service", "Service that a route leads to."),
      Text("organisation", "Organisation that gets a key."),
      Text("key", "A key."),
      Text("digest", "Digest of a key or of a request."),
      Number("weight", "Weight of an organisation in fair queueing."),
      Number("least-servers", "Servers of each group that run in any case."),
      Number("queue-limit", "Waiting requests at each gate."),
      Number("interactive-deadline-ms", "Deadline of interactive work."),
      Number("standard-deadline-ms", "Deadline of standard work."),
      Number("batch-deadline-ms", "Deadline of batch work."),
      Number("timeout-ms", "Longest call on a route."),
      Number("expected-revision",
             "Refuses the change when another revision is in force."),
      Switch("role-changes", "Whether engines may change role."),
      Switch("cheap-servers", "Whether cheap backend servers take work."),
      Switch("server-orders",
             "Whether backend servers are started and stopped by the load."),
      Switch("open", "Whether a route needs no key."),
      Switch("idempotent", "Whether calls of a route may be repeated."),
      Switch("drain", "false gives a drained server work again."),
  };
  return {"dotterelctl", "Operators' commands; without one, lists them.",
          std::move(Declared)};
}

auto runCtl(const Settings &Values) -> int {
  const auto &Chosen = findCommand(Values);
  checkArguments(Chosen, Values);
  auto Client = GateClient(Values);
  auto Result = GateResponse();
  if (Chosen.m_Name == "explain")
    Result = Client.getFromAnyGate(Chosen.m_Path +
                                   "?request=" + Values.operands().at(1));
  else if (Chosen.m_Method == "GET")
    Result = Client.getFromAnyGate(Chosen.m_Path);
  else
    Result = Client.call(Client.gates().front(), Chosen.m_Method, Chosen.m_Path,
                         requestBody(Chosen, Values));
  if (Result.m_Status != StatusOk) {
    printFailure(Result);
    return EXIT_FAILURE;
  }
  printResponse(Chosen, Values, Result.m_Body);
  if (!Chosen.m_WaitsUntilInForce)
    return EXIT_SUCCESS;
  return waitUntilInForce(Client, Result.m_Gate,
                          Result.m_Body.at("revision").get<std::uint64_t>(),
                          Values.milliseconds("wait-ms"));
}

} // namespace dotterel
