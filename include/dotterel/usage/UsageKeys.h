//===- UsageKeys.h - Store keys of usage records ----------------*- C++ -*-===//
///
/// \file
/// Keys of the usage records in the platform's store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_USAGEKEYS_H
#define DOTTEREL_USAGE_USAGEKEYS_H

#include "dotterel/usage/Usage.h"

#include <string>

namespace dotterel {

/// Returns the key that exists once no more segments can be added to the
/// window.
auto closedKey(WindowIndex Window) -> std::string;
/// Returns the key of the number of the newest reported window.
auto usageProgressKey() -> std::string;
/// Returns the key of the window's final totals.
auto sealedKey(WindowIndex Window) -> std::string;
/// Returns the key that exists once the platform has accepted the window's
/// report.
auto reportedKey(WindowIndex Window) -> std::string;
/// Returns the key prefix of the segments that are counted in the window.
auto segmentPrefix(WindowIndex Window) -> std::string;
/// Returns the key of a segment that is counted in its own window.
auto segmentKey(const SegmentId &Segment) -> std::string;
/// Returns the key of a late segment that is counted in a later \p Window
/// instead of its own.
auto lateSegmentKey(const SegmentId &Segment, WindowIndex Window)
    -> std::string;
/// Returns the key that exists once the segment is counted in a later window.
/// It holds the segment's totals.
auto movedKey(const SegmentId &Segment) -> std::string;

/// Number of windows after which a window's records are deleted.
inline constexpr auto RetainedWindows = std::uint64_t{1440};
/// Number of windows after which a segment is no longer written. It is well
/// below RetainedWindows, since a segment could be counted twice once the
/// records of its window are deleted.
inline constexpr auto WritableWindows = RetainedWindows / 2;

/// Returns the window that contains \p Time.
auto windowAt(WallTime Time, Seconds Length) -> WindowIndex;

} // namespace dotterel

#endif // DOTTEREL_USAGE_USAGEKEYS_H
