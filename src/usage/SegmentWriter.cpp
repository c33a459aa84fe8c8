#include "dotterel/usage/SegmentWriter.h"

#include "dotterel/base/Log.h"
#include "dotterel/usage/UsageKeys.h"

#include <algorithm>
#include <utility>

namespace dotterel {

SegmentWriter::SegmentWriter(Scheduler &Scheduler, KeyValueStore &Store,
                             const SegmentWriterOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store), m_Options(Options) {
  m_Store.history().onRestored([this, Alive = m_Alive] {
    // Called while a response is being handled.
    m_Scheduler.schedule(Duration::zero(), [this, Alive] {
      if (*Alive)
        storeAgain();
    });
  });
}

auto SegmentWriter::keep(const UsageSegment &Segment) -> void {
  m_Kept.push_back(Segment);
  while (m_Kept.front().m_Id.m_Window.number() + m_Options.m_KeptWindows <
         Segment.m_Id.m_Window.number())
    m_Kept.pop_front();
}

auto SegmentWriter::storeAgain() -> void {
  for (auto &Segment : std::exchange(m_Kept, {}))
    writeToOwnWindow(std::make_shared<Job>(Job{.m_Segment = std::move(Segment),
                                               .m_Done = [](const auto &) {},
                                               .m_Again = true}));
}

auto SegmentWriter::write(UsageSegment Segment, DoneCallback Done) -> void {
  auto Item = std::make_shared<Job>(
      Job{.m_Segment = std::move(Segment), .m_Done = std::move(Done)});
  const auto &Id = Item->m_Segment.m_Id;
  m_Jobs[{Id.m_Incarnation, Id.m_Number}] = Item;
  writeToOwnWindow(Item);
}

auto SegmentWriter::recordStored(const UsageSegment &Stored) -> bool {
  auto Found = m_Jobs.find({Stored.m_Id.m_Incarnation, Stored.m_Id.m_Number});
  if (Found == m_Jobs.end())
    return false;
  auto Item = Found->second;
  if (Item->m_Segment.m_Id != Stored.m_Id ||
      !isPart(Stored.m_Totals, Item->m_Segment.m_Totals))
    return false;
  // A segment is stored again after a restore only if its own window lacks it,
  // so that it may be kept both here and at the process that has written it.
  keep(Stored);
  finish(Item, Stored.m_Totals);
  return true;
}

auto SegmentWriter::finish(const JobPtr &Item,
                           const std::optional<UsageTotals> &Stored) -> void {
  if (std::exchange(Item->m_Ended, true))
    return;
  const auto &Id = Item->m_Segment.m_Id;
  auto Found = m_Jobs.find({Id.m_Incarnation, Id.m_Number});
  if (Found != m_Jobs.end() && Found->second == Item)
    m_Jobs.erase(Found);
  Item->m_Done(Stored);
}

auto SegmentWriter::writeToOwnWindow(const JobPtr &Item) -> void {
  const auto &Id = Item->m_Segment.m_Id;
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back({.m_Key = segmentKey(Id)});
  Transaction.m_Compares.push_back({.m_Key = closedKey(Id.m_Window)});
  Transaction.m_Writes.push_back(
      {.m_Key = segmentKey(Id),
       .m_Value = encodeTotals(Item->m_Segment.m_Totals)});
  m_Store.commit(std::move(Transaction),
                 [this, Alive = m_Alive, Item](const auto &Reply) {
                   if (!*Alive || Item->m_Ended)
                     return;
                   if (!Reply) {
                     retry(Item);
                     return;
                   }
                   if (!Reply->m_Applied) {
                     checkStored(Item);
                     return;
                   }
                   keep(Item->m_Segment);
                   finish(Item, Item->m_Segment.m_Totals);
                 });
}

auto SegmentWriter::checkStored(const JobPtr &Item) -> void {
  auto Key = segmentKey(Item->m_Segment.m_Id);
  m_Store.read(
      KeyRange::single(Key), [this, Alive = m_Alive, Item](const auto &Reply) {
        if (!*Alive || Item->m_Ended)
          return;
        if (!Reply) {
          retry(Item);
          return;
        }
        if (Reply->m_Values.empty() && Item->m_Again)
          return;
        if (Reply->m_Values.empty()) {
          // The window is closed, or its records were deleted after
          // its report.
          writeToLaterWindow(Item);
          return;
        }
        auto Stored = Item->m_Segment;
        Stored.m_Totals = decodeTotals(Reply->m_Values.front().m_Value);
        keep(Stored);
        finish(Item, Stored.m_Totals);
      });
}

auto SegmentWriter::writeToLaterWindow(const JobPtr &Item) -> void {
  const auto &Id = Item->m_Segment.m_Id;
  auto Window = windowAt(m_Scheduler.wallNow(), m_Options.m_WindowLength);
  if (Window.number() > Id.m_Window.number() + WritableWindows) {
    logError("usage.given-up", {{"window", Id.m_Window},
                                {"incarnation", Id.m_Incarnation},
                                {"segment", Id.m_Number}});
    finish(Item, std::nullopt);
    return;
  }
  // If the clock was set back, the current window may be the closed one.
  Window = std::max(Window, WindowIndex{Id.m_Window.number() + 1});
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back({.m_Key = segmentKey(Id)});
  Transaction.m_Compares.push_back({.m_Key = movedKey(Id)});
  Transaction.m_Compares.push_back({.m_Key = closedKey(Window)});
  Transaction.m_Writes.push_back(
      {.m_Key = lateSegmentKey(Id, Window),
       .m_Value = encodeTotals(Item->m_Segment.m_Totals)});
  Transaction.m_Writes.push_back(
      {.m_Key = movedKey(Id),
       .m_Value = encodeTotals(Item->m_Segment.m_Totals)});
  m_Store.commit(
      std::move(Transaction), [this, Alive = m_Alive, Item](const auto &Reply) {
        if (!*Alive || Item->m_Ended)
          return;
        if (!Reply) {
          retry(Item);
          return;
        }
        if (!Reply->m_Applied) {
          readMovedRecord(Item);
          return;
        }
        logInfo("usage.late", {{"window", Item->m_Segment.m_Id.m_Window},
                               {"segment", Item->m_Segment.m_Id.m_Number}});
        finish(Item, Item->m_Segment.m_Totals);
      });
}

auto SegmentWriter::readMovedRecord(const JobPtr &Item) -> void {
  m_Store.read(KeyRange::single(movedKey(Item->m_Segment.m_Id)),
               [this, Alive = m_Alive, Item](const auto &Reply) {
                 if (!*Alive || Item->m_Ended)
                   return;
                 if (!Reply || Reply->m_Values.empty()) {
                   retry(Item);
                   return;
                 }
                 finish(Item, decodeTotals(Reply->m_Values.front().m_Value));
               });
}

auto SegmentWriter::retry(const JobPtr &Item) -> void {
  constexpr auto MaxDoublings = 10U;
  auto Doublings = std::min(Item->m_Failures++, MaxDoublings);
  auto Delay = std::min<Duration>(m_Options.m_RetryDelay *
                                      (std::int64_t{1} << Doublings),
                                  m_Options.m_MaxRetryDelay);
  m_Scheduler.schedule(Delay, [this, Alive = m_Alive, Item] {
    if (*Alive && !Item->m_Ended)
      writeToOwnWindow(Item);
  });
}

} // namespace dotterel
