#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/ctl/CheckCommand.h"
#include "platform/RecordDecoder.h"
#include "support/ServingFakes.h"

#include <chrono>
#include <cstdio>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace dotterel;

namespace {

using Json = nlohmann::json;

auto validDocument() -> Json {
  return Json::parse(R"({"version":7,
  "routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe",
    "timeout_ms":5000,"target_latency_ms":800,"max_attempts":2,
    "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
   {"name":"q","host":"h","path_prefix":"/a/b/","kind":"unsafe",
    "timeout_ms":5000,"target_latency_ms":800,"service":"t"}],
  "services":[{"name":"s","engine":{"slots":64,"kv_hold_s":5.0,
    "role_switch_s":3.0},"scaling":{"min":1,"max":6,"boot_s":4.0,
    "zone_prices":{"z1":0.85}}},{"name":"t"}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
    "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"o","api_keys":["secret-1","secret-2"],"priority":1},
   {"name":"p","api_keys":["secret-3"]}]})");
}

auto check(const std::string &Document,
           const std::optional<std::string> &InForce = {}) -> CheckReport {
  return checkDocument(Document, InForce, &platform::decodeConfiguration);
}

/// Returns the valid document with the value at \p Pointer replaced.
auto changed(const char *Pointer, const Json &Value) -> std::string {
  auto Document = validDocument();
  Document[Json::json_pointer(Pointer)] = Value;
  return Document.dump();
}

/// A file that exists as long as the object.
class TemporaryFile {
public:
  TemporaryFile(const char *Name, const std::string &Text)
      : m_Path(std::filesystem::temp_directory_path() /
               fmt::format("dotterel-check-{}-{}", ::getpid(), Name)) {
    std::ofstream(m_Path) << Text;
  }
  TemporaryFile(const TemporaryFile &) = delete;
  auto operator=(const TemporaryFile &) -> TemporaryFile & = delete;
  ~TemporaryFile() { std::filesystem::remove(m_Path); }
  [[nodiscard]] auto path() const -> std::string { return m_Path.string(); }

private:
  std::filesystem::path m_Path;
};

auto run(const std::vector<const char *> &Arguments) -> int {
  auto All = std::vector<const char *>{"dotterelctl", "check"};
  All.insert(All.end(), Arguments.begin(), Arguments.end());
  auto Values = checkSettings();
  Values.parse(static_cast<int>(All.size()), All.data());
  return runCheck(Values, &platform::decodeConfiguration);
}

} // namespace

TEST_CASE("configuration check: a configuration in order has no findings") {
  auto Report = check(validDocument().dump(), validDocument().dump());
  CHECK(Report.text() == "0 differences\n0 errors, 0 warnings\n");
  CHECK(Report.exitCode() == 0);
}

TEST_CASE("configuration check: each contradiction is one warning") {
  struct Case {
    const char *m_Pointer;
    Json m_Value;
    const char *m_Reason;
  };
  for (const auto &Current : std::vector<Case>{
           {"/routes/1/path_prefix", "/a/", "has the host and the prefix of"},
           {"/routes/1/path_prefix", "b/", "does not begin with a slash"},
           {"/routes/1/path_prefix", "/b", "does not end with a slash"},
           {"/routes/1/name", "r", "another route is named r"},
           {"/routes/1/timeout_ms", 700, "is below its latency target"},
           {"/routes/1/timeout_ms", 0, "has no time for a response"},
           {"/routes/0/max_attempts", 0, "allows 0 attempts"},
           {"/routes/1/max_attempts", 2, "must not be executed more than once"},
           {"/routes/1/max_attempts", -1, "allows 4294967295 attempts, as"},
           {"/routes/1/priority", -1, "has the priority 4294967295"},
           {"/tenants/0/priority", -1, "organisation o has the priority"},
           {"/routes/1/service", "x", "service x, which does not exist"},
           {"/routes/0/traffic_split/0/weight", -1, "a weight below 0"},
           {"/services/2", {{"name", "u"}}, "no route leads to service u"},
           {"/services/2", {{"name", "t"}}, "an earlier service is named t"},
           {"/services/0/scaling/min", 7, "at least 7 servers, but at most 6"},
           {"/services/0/engine/slots", 0, "have 0 slots"},
           {"/limits/max_body_bytes", 4194305, "over the 4194304 bytes"},
           {"/limits/max_header_bytes", 0, "headers of 0 bytes"},
           {"/limits/idle_timeout_ms", 0, "idle connections is not above 0"},
           {"/tenants/1/name", "", "an organisation without a name"},
           {"/tenants/1/api_keys/0", "secret-1", "stands twice"},
           {"/tenants/1/api_keys/0", "", "organisation p has an empty key"},
           {"/tenants/1/api_keys", Json::array(),
            "organisation p has no key"}}) {
    CAPTURE(Current.m_Reason);
    auto Report = check(changed(Current.m_Pointer, Current.m_Value));
    CHECK(Report.m_Errors.empty());
    REQUIRE(Report.m_Warnings.size() == 1);
    CHECK(Report.m_Warnings[0].m_Reason.find(Current.m_Reason) !=
          std::string::npos);
    CHECK(Report.text().find("secret") == std::string::npos);
    CHECK(Report.exitCode() == 4);
  }
  auto Sum = Json::parse(R"([{"service":"s","weight":0},
                             {"service":"t","weight":0}])");
  CHECK(check(changed("/routes/0/traffic_split", Sum)).m_Warnings.size() == 1);
}

TEST_CASE("configuration check: errors are what the hosts' decoder refuses") {
  // Replaces each value of the document by values of all types, and removes it.
  auto Flat = validDocument().flatten();
  auto Refused = 0;
  auto Accepted = 0;
  auto Try = [&](const std::string &Document) {
    auto Accepts = true;
    try {
      platform::decodeConfiguration(Document);
    } catch (const ConfigurationError &) {
      Accepts = false;
    }
    (Accepts ? Accepted : Refused) += 1;
    auto Report = check(Document);
    CHECK(Report.m_Errors.empty() == Accepts);
    CHECK((Report.exitCode() == 1) == !Accepts);
    CHECK(Report.text().find("secret") == std::string::npos);
  };
  for (const auto &Entry : Flat.items()) {
    const auto &Pointer = Entry.key();
    CAPTURE(Pointer);
    for (const auto &Value :
         std::vector<Json>{nullptr, true, -1, 0.5, 2, 1e300, "safe", "x", "",
                           Json::array(), Json::object()})
      Try(changed(Pointer.c_str(), Value));
    auto Place = Json::json_pointer(Pointer);
    if (auto Document = validDocument();
        Document[Place.parent_pointer()].is_object()) {
      Document[Place.parent_pointer()].erase(Place.back());
      Try(Document.dump());
    }
  }
  CHECK(Refused > 100);
  CHECK(Accepted > 100);
}

TEST_CASE("configuration check: an error names the place and quotes no key") {
  CHECK(check(changed("/routes/1/timeout_ms", "x")).text().find("routes[1]") !=
        std::string::npos);
  CHECK(check(changed("/routes/1/kind", "x")).text().find("routes[1]") !=
        std::string::npos);
  CHECK(check(changed("/tenants/1/name", 5)).text().find("tenants[1]") !=
        std::string::npos);
  auto Text = validDocument().dump();
  for (auto Size = std::size_t{0}; Size < Text.size(); Size += 7) {
    auto Report = check(Text.substr(0, Size));
    REQUIRE(Report.m_Errors.size() == 1);
    CHECK(Report.text().find("malformed JSON at byte") != std::string::npos);
    CHECK(Report.text().find("secret") == std::string::npos);
  }
}

TEST_CASE("configuration check: hostile documents get an error") {
  for (const auto &Document :
       {std::string(), std::string("null"), std::string("[]"),
        std::string(1'000'000, '['), std::string("\xff\xfe"),
        std::string("{\"version\":1e400}"), std::string(100, '\0'),
        std::string("{\"version\":1,\"routes\":[[]],\"services\":[]}")})
    CHECK(check(Document).exitCode() == 1);
  // Times beyond what can be represented are bounded, not wrapped.
  auto Long =
      platform::decodeConfiguration(changed("/routes/1/timeout_ms", 1e300));
  CHECK(Long.m_Routes[1].m_Timeout > std::chrono::hours(24 * 365));
  // A name cannot forge a line of the report.
  auto Text =
      check(changed("/services/2", {{"name", "u\n\x1b[2Jerror: no"}})).text();
  CHECK(Text.find('\x1b') == std::string::npos);
  CHECK(Text.find("\nerror") == std::string::npos);
}

TEST_CASE("configuration check: differences, whatever the order of lists") {
  auto After = validDocument();
  After["version"] = 8;
  for (const auto *List : {"routes", "services", "tenants"})
    std::swap(After[List][0], After[List][1]);
  auto &Split = After["routes"][1]["traffic_split"];
  std::swap(Split[0], Split[1]);
  auto &Keys = After["tenants"][1]["api_keys"];
  std::swap(Keys[0], Keys[1]);
  auto Before = validDocument().dump();
  CHECK(check(After.dump(), Before).m_Differences->empty());

  After["routes"][0]["timeout_ms"] = 6000.5;
  After["routes"][1]["name"] = "new";
  After["services"].push_back({{"name", "u"}});
  After["limits"]["max_body_bytes"] = 1000;
  Keys = {"secret-1", "secret-4", "secret-5"};
  After["tenants"][0]["name"] = "n";
  auto Report = check(After.dump(), Before);
  CHECK(Report.text() ==
        "warning: services: no route leads to service u\n"
        "changed limits: body: 4194304 bytes -> 1000 bytes\n"
        "changed route q: timeout: 5000 ms -> 6000.5 ms\n"
        "removed route r\n"
        "added route new\n"
        "added service u\n"
        "changed organisation o: keys added: 2; keys removed: 1\n"
        "removed organisation p\n"
        "added organisation n\n"
        "8 differences\n0 errors, 1 warnings\n");
  CHECK(Report.json().find("secret") == std::string::npos);
  CHECK(Json::parse(Report.json()).at("differences").size() == 8);

  After["version"] = 7;
  CHECK(check(After.dump(), Before).text().find("7 is not above 7") !=
        std::string::npos);
}

TEST_CASE("configuration check: 41,000 organisations are compared in seconds") {
  auto Before = validDocument();
  for (auto Index = 0; Index < 41'000; ++Index)
    Before["tenants"].push_back(
        {{"name", fmt::format("org-{}", Index)},
         {"api_keys",
          {fmt::format("a-{}", Index), fmt::format("b-{}", Index)}}});
  auto After = Before;
  After["version"] = 8;
  std::reverse(After["tenants"].begin(), After["tenants"].end());
  After["tenants"][0]["api_keys"] = {"c"};
  auto Start = std::chrono::steady_clock::now();
  auto Report = check(After.dump(), Before.dump());
  auto Passed = std::chrono::steady_clock::now() - Start;
  CHECK(Report.m_Differences->size() == 1);
  CHECK(Passed < Seconds(10));
  MESSAGE("41,000 organisations: "
          << std::chrono::duration_cast<Milliseconds>(Passed).count() << " ms");
}

TEST_CASE("configuration check: hosts log at most 20 findings, one line each") {
  auto Document = validDocument();
  Document["version"] = 1000;
  for (auto Index = 0; Index < 30; ++Index)
    Document["services"].push_back({{"name", fmt::format("u\n{}", Index)}});
  auto Test = test::ServingFixture();
  auto Lines = std::vector<std::string>();
  setLogSink([&](std::string_view Line) {
    if (Line.find("config.finding") != std::string_view::npos)
      Lines.emplace_back(Line);
  });
  auto Applied =
      Test.m_Core.apply(platform::decodeConfiguration(Document.dump()));
  // A revision that is not taken over is not reported again.
  Test.m_Core.apply(platform::decodeConfiguration(Document.dump()));
  setLogSink({});
  CHECK(Applied);
  REQUIRE(Lines.size() == 20);
  CHECK(Lines[0].find("findings=30") != std::string::npos);
  CHECK(Lines[0].find('\n') >= Lines[0].size() - 1);
}

TEST_CASE("configuration check: exit codes of the command") {
  auto Valid = TemporaryFile("valid", validDocument().dump());
  auto Warned = TemporaryFile("warned", changed("/routes/0/max_attempts", 0));
  auto Refused = TemporaryFile("refused", changed("/routes/0/kind", "x"));
  auto Against = "--against=" + Warned.path();
  auto AgainstRefused = "--against=" + Refused.path();
  CHECK(run({Valid.path().c_str()}) == 0);
  CHECK(run({Valid.path().c_str(), "--json"}) == 0);
  CHECK(run({Warned.path().c_str()}) == 4);
  CHECK(run({Refused.path().c_str(), Against.c_str()}) == 1);
  CHECK_THROWS_AS(run({}), SettingsError);
  CHECK_THROWS_AS(run({"/nonexistent"}), IoError);
  CHECK_THROWS_AS(run({"/dev/zero", "--max-document-mb=1"}), IoError);
  CHECK_THROWS_AS(run({Valid.path().c_str(), AgainstRefused.c_str()}),
                  ConfigurationError);
}
