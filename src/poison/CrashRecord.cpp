#include "dotterel/poison/CrashRecord.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

auto unixMicroseconds(WallTime Time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Time.time_since_epoch())
      .count();
}

auto ageOf(const Json &Time, WallTime Now) -> Duration {
  auto Microseconds = Time.get<std::int64_t>();
  // The difference to a time before 1970 might not be representable.
  if (Microseconds < 0)
    throw ProtocolError(301, "a time is negative");
  auto Age = std::chrono::microseconds(unixMicroseconds(Now) - Microseconds);
  return std::max<Duration>(Age, Duration::zero());
}

} // namespace

auto encodeCrashRecord(const std::vector<CrashReport> &Reports,
                       WallTime Written) -> std::string {
  auto Digests = Json::array();
  for (const auto &Report : Reports) {
    auto Losses = Json::array();
    for (const auto &[Backend, Ages] : Report.m_Losses)
      Losses.push_back(
          {{"backend", Backend.text()},
           {"sent_us", unixMicroseconds(Written - Ages.m_SinceSent)},
           {"lost_us", unixMicroseconds(Written - Ages.m_SinceLost)}});
    Digests.push_back({{"digest", Report.m_Digest.number()},
                       {"releases", Report.m_Releases},
                       {"alone", Report.m_LostAlone},
                       {"losses", std::move(Losses)}});
  }
  return Json{{"written_us", unixMicroseconds(Written)},
              {"digests", std::move(Digests)}}
      .dump();
}

auto decodeCrashRecord(const std::string &Document, WallTime Now)
    -> CrashRecord {
  try {
    auto Source = Json::parse(Document);
    auto Record = CrashRecord{.m_Age = ageOf(Source.at("written_us"), Now)};
    for (const auto &Item : Source.at("digests")) {
      auto Report = CrashReport{
          .m_Digest = RequestDigest{Item.at("digest").get<std::uint64_t>()},
          .m_Releases = Item.at("releases").get<std::uint64_t>(),
          .m_LostAlone = Item.at("alone").get<bool>()};
      for (const auto &Loss : Item.at("losses"))
        Report.m_Losses.emplace(
            BackendId{Loss.at("backend").get<std::string>()},
            LossAges{.m_SinceSent = ageOf(Loss.at("sent_us"), Now),
                     .m_SinceLost = ageOf(Loss.at("lost_us"), Now)});
      Record.m_Reports.push_back(std::move(Report));
    }
    return Record;
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

} // namespace dotterel
