//===- UsageKeys.h - Store keys of usage records ----------------*- C++ -*-===//
///
/// \file
/// Names of the records that usage keeps in the platform's store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_USAGEKEYS_H
#define DOTTEREL_USAGE_USAGEKEYS_H

#include "dotterel/usage/Usage.h"

#include <string>

namespace dotterel {

/// Exists once no segment may be added to the window.
auto closedKey(WindowIndex Window) -> std::string;
/// Holds the window's final figures.
auto sealedKey(WindowIndex Window) -> std::string;
/// Exists once the intake has taken the window's report.
auto reportedKey(WindowIndex Window) -> std::string;
/// Prefix of the segments counted in the window.
auto segmentPrefix(WindowIndex Window) -> std::string;
/// A segment counted in the window it belongs to.
auto segmentKey(const SegmentId &Segment) -> std::string;
/// The same segment counted, late, in another window.
auto lateSegmentKey(const SegmentId &Segment, WindowIndex Window)
    -> std::string;
/// Exists once the segment has been counted late.
auto movedKey(const SegmentId &Segment) -> std::string;

/// Windows after which a window's records are deleted.
inline constexpr auto WindowsKept = std::uint64_t{1440};
/// Windows after which a segment is given up: long before its window's records
/// are deleted, since without them it could be counted twice.
inline constexpr auto WindowsWritable = WindowsKept / 2;

/// The window that \p Time falls into.
auto windowAt(WallTime Time, Seconds Length) -> WindowIndex;

} // namespace dotterel

#endif // DOTTEREL_USAGE_USAGEKEYS_H
