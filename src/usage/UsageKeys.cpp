#include "dotterel/usage/UsageKeys.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

/// Pads the window's number with zeros, so that keys sort by time in the store.
auto padded(WindowIndex Window) -> std::string {
  return fmt::format("{:012}", Window.number());
}

} // namespace

auto closedKey(WindowIndex Window) -> std::string {
  return "usage-closed/" + padded(Window);
}

auto usageProgressKey() -> std::string { return "usage-progress"; }

auto sealedKey(WindowIndex Window) -> std::string {
  return "usage-sealed/" + padded(Window);
}

auto reportedKey(WindowIndex Window) -> std::string {
  return "usage-reported/" + padded(Window);
}

auto segmentPrefix(WindowIndex Window) -> std::string {
  return fmt::format("usage/{}/", padded(Window));
}

auto segmentKey(const SegmentId &Segment) -> std::string {
  return fmt::format("{}{}.{}", segmentPrefix(Segment.m_Window),
                     Segment.m_Incarnation.text(), Segment.m_Number);
}

auto lateSegmentKey(const SegmentId &Segment, WindowIndex Window)
    -> std::string {
  return fmt::format("{}{}.{}.late-{}", segmentPrefix(Window),
                     Segment.m_Incarnation.text(), Segment.m_Number,
                     Segment.m_Window.number());
}

auto movedKey(const SegmentId &Segment) -> std::string {
  return fmt::format("usage-moved/{}.{}.{}", Segment.m_Incarnation.text(),
                     Segment.m_Number, Segment.m_Window.number());
}

auto windowAt(WallTime Time, Seconds Length) -> WindowIndex {
  return WindowIndex{
      static_cast<std::uint64_t>(Time.time_since_epoch() / Length)};
}

} // namespace dotterel
