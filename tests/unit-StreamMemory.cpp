#include "dotterel/serving/StreamMemory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace dotterel;

namespace {

auto origin(const std::string &Version) -> StreamOrigin {
  return {.m_Service = "llm", .m_Version = SoftwareVersion{Version}};
}

const auto Start = MonotonicTime(Seconds(1000));

} // namespace

TEST_CASE("stream memory: keeps the first origin of a stream until its time is "
          "over") {
  auto Memory = StreamMemory({.m_Lifetime = Seconds(10)});
  Memory.record(StreamDigest{1}, origin("v1"), Start);
  Memory.record(StreamDigest{1}, origin("v2"), Start + Seconds(1));
  CHECK(Memory.find(StreamDigest{1}, Start + Milliseconds(9999)) ==
        origin("v1"));
  CHECK_FALSE(Memory.find(StreamDigest{1}, Start + Seconds(10)));
  CHECK_FALSE(Memory.find(StreamDigest{2}, Start));
}

TEST_CASE("stream memory: is bounded and drops the oldest streams first") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Streams) {
    constexpr auto MaxStreams = std::size_t{8};
    auto Memory = StreamMemory({.m_MaxStreams = MaxStreams});
    auto Known = std::vector<std::uint8_t>();
    for (auto Stream : Streams) {
      if (std::find(Known.begin(), Known.end(), Stream) == Known.end())
        Known.push_back(Stream);
      if (Known.size() > MaxStreams)
        Known.erase(Known.begin());
      Memory.record(StreamDigest{Stream}, origin("v"), Start);
      RC_ASSERT(Memory.size() <= MaxStreams);
      RC_ASSERT(Memory.find(StreamDigest{Stream}, Start).has_value());
    }
  }));
}
