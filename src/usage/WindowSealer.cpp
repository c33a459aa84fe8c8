#include "dotterel/usage/WindowSealer.h"

#include "dotterel/base/Log.h"
#include "dotterel/usage/UsageKeys.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

/// Key of the number of the newest reported window. All windows before it are
/// reported as well; the records of old ones are deleted.
constexpr auto ProgressKey = "usage-progress";

auto parseNumber(const std::string &Text) -> std::uint64_t {
  return std::stoull(Text);
}

} // namespace

template <typename Response, typename Next>
auto WindowSealer::continueWith(Next Continue) -> StoreCallback<Response> {
  return [this, Alive = m_Alive,
          Continue = std::move(Continue)](const StoreReply<Response> &Reply) {
    if (!*Alive)
      return;
    // Without a response, or without the duty, the next step() starts over.
    if (!Reply || !m_Duty.held()) {
      m_Busy = false;
      return;
    }
    Continue(*Reply.m_Response);
  };
}

auto WindowSealer::lastEnded(Duration Grace) const -> WindowIndex {
  auto Now = windowAt(m_Scheduler.wallNow() - Grace, m_Options.m_WindowLength);
  return WindowIndex{Now.number() - 1};
}

auto WindowSealer::step() -> void {
  if (m_Busy || !m_Duty.held())
    return;
  m_Busy = true;
  findNext();
}

auto WindowSealer::findNext() -> void {
  m_Store.read(KeyRange::single(ProgressKey),
               continueWith<RangeResult>([this](const RangeResult &Read) {
                 if (Read.m_Values.empty()) {
                   findFirst();
                   return;
                 }
                 auto Next = WindowIndex{
                     parseNumber(Read.m_Values.front().m_Value) + 1};
                 if (Next <= lastEnded(m_Options.m_Grace))
                   close(Next);
                 else if (m_Options.m_AllWritten &&
                          Next <= lastEnded(m_Options.m_MinGrace))
                   closeEarly(Next);
                 else
                   m_Busy = false;
               }));
}

auto WindowSealer::findFirst() -> void {
  // A new installation starts with the oldest window that has a segment.
  m_Store.read(KeyRange::prefix("usage/"),
               continueWith<RangeResult>([this](const RangeResult &Read) {
                 auto First = lastEnded(m_Options.m_Grace);
                 if (!Read.m_Values.empty()) {
                   const auto &Key = Read.m_Values.front().m_Key;
                   auto Digits = Key.substr(std::string("usage/").size());
                   First = std::min(First, WindowIndex{parseNumber(Digits)});
                 }
                 close(First);
               }));
}

auto WindowSealer::closeEarly(WindowIndex Window) -> void {
  m_Store.read(
      KeyRange::prefix(segmentPrefix(Window)),
      continueWith<RangeResult>([this, Window](const RangeResult &Read) {
        if (m_Options.m_AllWritten(Read.m_Values))
          close(Window);
        else
          m_Busy = false;
      }));
}

auto WindowSealer::close(WindowIndex Window) -> void {
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back({.m_Key = closedKey(Window)});
  Transaction.m_Compares.push_back(m_Duty.guard());
  Transaction.m_Writes.push_back({.m_Key = closedKey(Window), .m_Value = "1"});
  m_Store.commit(std::move(Transaction),
                 continueWith<TransactionResult>([this, Window](const auto &) {
                   // If the transaction was not applied, the window is already
                   // closed, or another process holds the duty, which the next
                   // transaction detects.
                   seal(Window);
                 }));
}

auto WindowSealer::seal(WindowIndex Window) -> void {
  m_Store.read(
      KeyRange::prefix(segmentPrefix(Window)),
      continueWith<RangeResult>([this, Window](const RangeResult &Read) {
        auto Totals = UsageTotals();
        for (const auto &Item : Read.m_Values)
          addTotals(Totals, decodeTotals(Item.m_Value));
        auto Transaction = StoreTransaction();
        Transaction.m_Compares.push_back({.m_Key = sealedKey(Window)});
        Transaction.m_Compares.push_back(m_Duty.guard());
        Transaction.m_Writes.push_back(
            {.m_Key = sealedKey(Window), .m_Value = encodeTotals(Totals)});
        m_Store.commit(
            std::move(Transaction),
            continueWith<TransactionResult>([this, Window](const auto &Result) {
              if (Result.m_Applied)
                logInfo("usage.sealed", {{"window", Window}});
              report(Window);
            }));
      }));
}

auto WindowSealer::report(WindowIndex Window) -> void {
  m_Store.read(
      KeyRange::single(sealedKey(Window)),
      continueWith<RangeResult>([this, Window](const RangeResult &Read) {
        if (Read.m_Values.empty()) {
          m_Busy = false;
          return;
        }
        sendReport(Window, Read.m_Values.front().m_Value);
      }));
}

auto WindowSealer::sendReport(WindowIndex Window, const std::string &Entries)
    -> void {
  if (!m_Duty.held()) {
    m_Busy = false;
    return;
  }
  auto Report = UsageReport{
      .m_Window = Window, .m_Fencing = m_Duty.fencing(), .m_Entries = Entries};
  m_SendReport(Report, [this, Alive = m_Alive, Window](bool Accepted) {
    if (!*Alive)
      return;
    if (!Accepted) {
      m_Busy = false;
      return;
    }
    logInfo("usage.reported", {{"window", Window}});
    finish(Window);
  });
}

auto WindowSealer::finish(WindowIndex Window) -> void {
  // The key that marks the window as closed is kept, so that no late writer can
  // add segments to it. The sealed totals are kept for operators.
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(m_Duty.guard());
  Transaction.m_Writes.push_back(
      {.m_Key = reportedKey(Window), .m_Value = "1"});
  Transaction.m_Writes.push_back(
      {.m_Key = ProgressKey, .m_Value = std::to_string(Window.number())});
  m_Store.commit(std::move(Transaction),
                 continueWith<TransactionResult>([this, Window](const auto &) {
                   if (Window.number() > RetainedWindows)
                     deleteOld(WindowIndex{Window.number() - RetainedWindows});
                   else
                     finishStep();
                 }));
}

auto WindowSealer::deleteOld(WindowIndex Window) -> void {
  m_Store.read(
      KeyRange::prefix(segmentPrefix(Window)),
      continueWith<RangeResult>([this, Window](const RangeResult &Read) {
        auto Transaction = StoreTransaction();
        Transaction.m_Compares.push_back(m_Duty.guard());
        for (const auto &Item : Read.m_Values)
          Transaction.m_Writes.push_back({.m_Key = Item.m_Key});
        for (auto Key :
             {closedKey(Window), sealedKey(Window), reportedKey(Window)})
          Transaction.m_Writes.push_back({.m_Key = std::move(Key)});
        m_Store.commit(std::move(Transaction),
                       continueWith<TransactionResult>(
                           [this](const auto &) { finishStep(); }));
      }));
}

auto WindowSealer::finishStep() -> void {
  m_Busy = false;
  step();
}

} // namespace dotterel
