#include "dotterel/usage/WindowSealer.h"

#include "dotterel/base/Log.h"
#include "dotterel/usage/UsageKeys.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

auto parseNumber(const std::string &Text) -> std::uint64_t {
  return std::stoull(Text);
}

struct Progress {
  WindowIndex m_Window;
  StoreEra m_Era; ///< History of the store in which it was recorded.
  /// Whether a report of this window or an earlier one may still be executed.
  bool m_ReportsOpen = true;
};

/// Parses the window's number, the era, and 1 if reports may be open, separated
/// by spaces. Records of earlier versions end before the era or after it.
auto parseProgress(const std::string &Text) -> Progress {
  auto Result = Progress{.m_Window = WindowIndex{parseNumber(Text)}};
  auto EraAt = Text.find(' ');
  if (EraAt == std::string::npos)
    return Result;
  Result.m_Era = StoreEra{parseNumber(Text.substr(EraAt + 1))};
  if (auto OpenAt = Text.find(' ', EraAt + 1); OpenAt != std::string::npos)
    Result.m_ReportsOpen = parseNumber(Text.substr(OpenAt + 1)) != 0;
  return Result;
}

} // namespace

template <typename Response, typename Next>
auto WindowSealer::continueWith(Next Continue) -> StoreCallback<Response> {
  return [this, Alive = m_Alive, Fencing = m_Duty.fencing(),
          Continue = std::move(Continue)](const StoreReply<Response> &Reply) {
    if (!*Alive)
      return;
    // Without a response, or without the duty under the same grant, the next
    // step() starts over.
    if (!Reply || !m_Duty.held() || m_Duty.fencing() != Fencing) {
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
  if (m_Grant != m_Duty.fencing())
    beginGrant();
  if (awaitsEarlierReports())
    return;
  m_Busy = true;
  findNext();
}

auto WindowSealer::beginGrant() -> void {
  m_Grant = m_Duty.fencing();
  m_HeldUntil = m_Scheduler.now() + m_Options.m_MaxDelayOfEarlierGrants;
  m_ProgressRead = false;
  m_EarlierReportsOpen = false;
  m_SealedWindow = WindowIndex();
  m_AcceptedWindow = WindowIndex();
  // The store tells which of these reports are open.
  m_Copies = OrderCopies();
}

auto WindowSealer::awaitEarlierReports() -> void {
  if (std::exchange(m_EarlierReportsOpen, true) || !awaitsEarlierReports())
    return;
  logInfo("usage.reports-held",
          {{"fencing", m_Grant},
           {"reason", "a report of an earlier grant may be open"},
           {"wait_ms", toMilliseconds(m_HeldUntil - m_Scheduler.now())}});
  if (m_Options.m_OnHeld)
    m_Options.m_OnHeld();
}

auto WindowSealer::findNext() -> void {
  m_Store.read(KeyRange::single(usageProgressKey()),
               continueWith<RangeResult>([this](const RangeResult &Read) {
                 auto FirstRead = !std::exchange(m_ProgressRead, true);
                 m_ProgressRevision = Read.m_Values.empty()
                                          ? StoreRevision()
                                          : Read.m_Values.front().m_Modified;
                 if (Read.m_Values.empty()) {
                   if (m_Store.history().restored())
                     recover({});
                   else
                     findFirst();
                   return;
                 }
                 auto Stored = parseProgress(Read.m_Values.front().m_Value);
                 if (Stored.m_Era != m_Store.history().era()) {
                   recover(Stored.m_Window);
                   return;
                 }
                 // Later reads find what this grant has recorded.
                 if (FirstRead && Stored.m_ReportsOpen)
                   awaitEarlierReports();
                 recordReported(Stored.m_Window);
                 auto Next = WindowIndex{Stored.m_Window.number() + 1};
                 if (Next <= lastEnded(m_Options.m_Grace))
                   close(Next);
                 else if (m_Options.m_AllWritten &&
                          Next <= lastEnded(m_Options.m_MinGrace))
                   closeEarly(Next);
                 else
                   m_Busy = false;
               }));
}

auto WindowSealer::recover(WindowIndex Stored) -> void {
  awaitEarlierReports();
  auto Known = m_Duty.heldBeforeRestore() == m_ReportedUnder &&
               m_ReportedUnder != FencingNumber{};
  // Unless this process was the last one to report, any window that has ended
  // may have been reported.
  auto Reported =
      std::max(Stored, Known ? m_Reported : lastEnded(Duration::zero()));
  if (Known && m_Unconfirmed && m_Unconfirmed->m_Window == Reported)
    Reported = WindowIndex{Reported.number() - 1};
  logWarning("usage.recovered", {{"stored", Stored},
                                 {"reported", Reported},
                                 {"known", Known},
                                 {"era", m_Store.history().era()}});
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(m_Duty.guard());
  Transaction.m_Compares.push_back(progressUnchanged());
  Transaction.m_Writes.push_back(
      {.m_Key = usageProgressKey(), .m_Value = encodeProgress(Reported)});
  m_Store.commit(std::move(Transaction),
                 continueWith<TransactionResult>(
                     [this, Reported](const TransactionResult &Result) {
                       if (Result.m_Applied)
                         recordReported(Reported);
                       m_Busy = false;
                     }));
}

auto WindowSealer::recordReported(WindowIndex Window) -> void {
  m_Reported = Window;
  m_ReportedUnder = m_Duty.fencing();
}

auto WindowSealer::encodeProgress(WindowIndex Window) const -> std::string {
  auto ReportsOpen =
      awaitsEarlierReports() || !m_Copies.isComplete(m_Scheduler.now());
  return fmt::format("{} {} {}", Window.number(),
                     m_Store.history().era().number(), ReportsOpen ? 1 : 0);
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
                 recordFirst(First);
               }));
}

auto WindowSealer::recordFirst(WindowIndex First) -> void {
  // Without segments, another holder would start with a later window, and not
  // learn that a report of this one may be open.
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(m_Duty.guard());
  Transaction.m_Compares.push_back(progressUnchanged());
  Transaction.m_Writes.push_back(
      {.m_Key = usageProgressKey(),
       .m_Value = encodeProgress(WindowIndex{First.number() - 1})});
  m_Store.commit(std::move(Transaction),
                 continueWith<TransactionResult>(
                     [this, First](const TransactionResult &Result) {
                       m_ProgressRevision = Result.m_Revision;
                       if (Result.m_Applied)
                         close(First);
                       else
                         m_Busy = false;
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
        // A report that may have arrived is repeated unchanged, even if a
        // restored store has lost the sealed totals.
        auto Sent = m_Unconfirmed && m_Unconfirmed->m_Window == Window;
        auto Entries = Sent ? m_Unconfirmed->m_Entries : encodeTotals(Totals);
        auto Transaction = StoreTransaction();
        Transaction.m_Compares.push_back({.m_Key = sealedKey(Window)});
        Transaction.m_Compares.push_back(m_Duty.guard());
        Transaction.m_Writes.push_back(
            {.m_Key = sealedKey(Window), .m_Value = std::move(Entries)});
        m_Store.commit(
            std::move(Transaction),
            continueWith<TransactionResult>([this, Window](const auto &Result) {
              if (Result.m_Applied) {
                logInfo("usage.sealed", {{"window", Window}});
                m_SealedWindow = Window;
              } else if (m_SealedWindow != Window) {
                // An earlier grant has sealed the window and may have sent it.
                awaitEarlierReports();
              }
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
  if (!m_Duty.held() || awaitsEarlierReports()) {
    m_Busy = false;
    return;
  }
  // A report that was accepted is not sent again for want of its record: the
  // record may still be written, and would not tell of the new copy.
  if (m_AcceptedWindow == Window) {
    finish(Window);
    return;
  }
  auto Report = UsageReport{
      .m_Window = Window, .m_Fencing = m_Duty.fencing(), .m_Entries = Entries};
  recordReported(Window);
  m_Unconfirmed = {.m_Window = Window, .m_Entries = Entries};
  m_Copies.recordSent();
  m_SendReport(Report, [this, Alive = m_Alive, Window,
                        Fencing = Report.m_Fencing](bool Accepted) {
    if (!*Alive)
      return;
    if (Fencing == m_Grant)
      m_Copies.recordOutcome(Accepted ? OrderOutcome::Accepted
                                      : OrderOutcome::Unknown,
                             m_Scheduler.now(), m_Options.m_MaxReportDelay);
    if (Accepted) {
      logInfo("usage.reported", {{"window", Window}});
      m_Unconfirmed.reset();
    }
    if (!Accepted || m_Duty.fencing() != Fencing) {
      m_Busy = false;
      return;
    }
    m_AcceptedWindow = Window;
    finish(Window);
  });
}

auto WindowSealer::finish(WindowIndex Window) -> void {
  // The key that marks the window as closed is kept, so that no late writer can
  // add segments to it. The sealed totals are kept for operators.
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(m_Duty.guard());
  Transaction.m_Compares.push_back(progressUnchanged());
  Transaction.m_Writes.push_back(
      {.m_Key = reportedKey(Window), .m_Value = "1"});
  Transaction.m_Writes.push_back(
      {.m_Key = usageProgressKey(), .m_Value = encodeProgress(Window)});
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
