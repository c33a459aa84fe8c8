#include "support/Cluster.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace dotterel;
using namespace dotterel::test;

TEST_CASE("dotterelctl check: the program's findings, exit codes and JSON") {
  const auto *Document =
      R"({"version":8,"services":[{"name":"s"}],"routes":[{"name":"r",
          "host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":500,
          "target_latency_ms":800,"service":"s"}],
          "tenants":[{"name":"o","api_keys":["secret"]}]})";
  auto Path = (std::filesystem::temp_directory_path() /
               ("dotterel-e2e-check-" + std::to_string(::getpid())))
                  .string();
  std::ofstream(Path) << Document;

  auto Warned =
      Process("dotterelctl", {"check", Path, "--json", "--against=" + Path});
  CHECK(Warned.wait() == 4);
  auto Report = Json::parse(Warned.log());
  CHECK(Report.at("errors").empty());
  CHECK(Report.at("differences").empty());
  REQUIRE(Report.at("warnings").size() == 1);
  CHECK(Report.at("warnings").at(0).at("path") == "routes[0]");
  CHECK(Warned.log().find("secret") == std::string::npos);

  std::ofstream(Path) << R"({"version":8,"routes":[{"name":"r"}]})";
  auto Refused = Process("dotterelctl", {"check", Path});
  CHECK(Refused.wait() == 1);
  CHECK(Refused.log().find("routes[0]") != std::string::npos);
  std::filesystem::remove(Path);

  auto Absent = Process("dotterelctl", {"check", Path});
  CHECK(Absent.wait() == 1);
  CHECK(Absent.log().find("cannot read") != std::string::npos);
  auto Misused = Process("dotterelctl", {"check"});
  CHECK(Misused.wait() == 2);
}
