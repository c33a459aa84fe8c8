#include "dotterel/fleet/OrderSender.h"

#include "dotterel/fleet/OrderCopies.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/store/FencingToken.h"

#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

constexpr auto MaxRecordAttempts = 5;

} // namespace

OrderSender::OrderSender(KeyValueStore &Store, const DutyLease &Duty,
                         OrderChannel &Channel,
                         std::function<bool(const SenderId &)> HasEnded,
                         const OrderSenderOptions &Options)
    : m_Store(Store), m_Duty(Duty), m_Channel(Channel),
      m_HasEnded(std::move(HasEnded)), m_Options(Options) {}

auto OrderSender::reconcile(const Directive &Wanted) -> void {
  if (m_Busy || !m_Duty.held())
    return;
  m_Busy = true;
  m_DirectiveInForce = {};
  auto Current = std::make_shared<Step>(Step{.m_Wanted = Wanted});
  m_Channel.readState(m_Options.m_Target,
                      [this, Alive = m_Alive,
                       Current](const std::optional<TargetState> &State) {
                        if (!*Alive)
                          return;
                        if (!State) {
                          finishStep();
                          return;
                        }
                        Current->m_State = *State;
                        readRecord(Current);
                      });
}

auto OrderSender::readRecord(const StepPtr &Current) -> void {
  m_Store.read(KeyRange::single(m_Options.m_Key), [this, Alive = m_Alive,
                                                   Current](const auto &Reply) {
    if (!*Alive)
      return;
    if (!Reply) {
      finishStep();
      return;
    }
    try {
      if (!Reply->m_Values.empty()) {
        const auto &Item = Reply->m_Values.front();
        Current->m_Record = decodeOrderRecord(Item.m_Value);
        Current->m_Revision = Item.m_Modified;
      }
      decide(Current);
    } catch (const ProtocolError &Failure) {
      logError("order.unreadable",
               {{"backend", m_Options.m_Target}, {"reason", Failure.what()}});
      finishStep();
    }
  });
}

auto OrderSender::removeCompletedSenders(Step &Current) -> void {
  auto &Record = Current.m_Record;
  auto Replaced = Record.m_Incarnation != Current.m_State.m_Incarnation;
  auto Applied =
      !Record.m_Order.empty() && Record.m_Order == Current.m_State.m_LastOrder;
  // If only one copy was sent and its effect is seen, it has arrived, even if
  // its response was lost. Copies sent to an earlier incarnation have no effect
  // on a new one.
  if (Replaced || (Applied && m_CopiesSent == 1))
    m_CopiesPending = 0;
  std::erase_if(Record.m_Senders, [&](const SenderId &Sender) {
    if (Replaced)
      return true;
    if (Sender == m_Options.m_Self)
      return m_CopiesPending == 0;
    return m_HasEnded(Sender);
  });
}

auto OrderSender::decide(const StepPtr &Current) -> void {
  auto &Record = Current->m_Record;
  if (Record.m_Order == Current->m_State.m_LastOrder)
    Record.m_Accepted = true;
  removeCompletedSenders(*Current);
  auto Replaced = Record.m_Incarnation != Current->m_State.m_Incarnation;
  auto Pending = !Record.m_Order.empty() && !Record.m_Accepted && !Replaced;
  const auto &InForce = Current->m_State.m_InForce;
  auto Reverted = Record.m_Accepted && InForce && *InForce != Current->m_Wanted;
  auto Different = Reverted || Record.m_Directive != Current->m_Wanted;
  auto MayReplace =
      mayReplaceOrder(Record.isComplete(), m_Options.m_ChecksFencing);
  if (Pending && (!Different || !MayReplace)) {
    // Sent again under the same identifier, even if another directive is wanted
    // by now, because an earlier copy may have arrived.
    recordIntent(Current);
    return;
  }
  auto Unordered = Record.m_Order.empty();
  auto WantedInForce = Unordered ? InForce && *InForce == Current->m_Wanted
                                 : !Pending && !Different && !Replaced;
  if (WantedInForce) {
    if (Record.isComplete())
      m_DirectiveInForce = Current->m_Wanted;
    finishStep();
    return;
  }
  if (!MayReplace) {
    logWarning("order.blocked", {{"backend", m_Options.m_Target},
                                 {"order", Record.m_Order},
                                 {"senders", Record.m_Senders.size()}});
    finishStep();
    return;
  }
  Record.m_Order =
      OrderId{fmt::format("{}.{}", m_Duty.fencing().number(), ++m_LastOrder)};
  Record.m_Directive = Current->m_Wanted;
  Record.m_Incarnation = Current->m_State.m_Incarnation;
  Record.m_Accepted = false;
  // Copies of an older order are refused because of their lower fencing token.
  Record.m_Senders.clear();
  recordIntent(Current);
}

auto OrderSender::recordIntent(const StepPtr &Current) -> void {
  Current->m_Record.m_Senders.insert(m_Options.m_Self);
  write(Current->m_Record, Current->m_Revision, true,
        [this, Alive = m_Alive, Current](const auto &Reply) {
          if (!*Alive)
            return;
          // Nothing is sent unless the intent is known to be stored. If it was
          // stored nevertheless, the next step sends the order again.
          if (!Reply || !Reply->m_Applied) {
            finishStep();
            return;
          }
          send(Current, fencingToken(Reply->m_Revision));
        });
}

auto OrderSender::send(const StepPtr &Current, FencingNumber Fencing) -> void {
  const auto &Record = Current->m_Record;
  if (!m_Duty.held()) {
    finishStep();
    return;
  }
  logInfo("order.sent", {{"backend", m_Options.m_Target},
                         {"order", Record.m_Order},
                         {"directive", Record.m_Directive},
                         {"fencing", Fencing}});
  if (m_SentOrder != Record.m_Order) {
    m_SentOrder = Record.m_Order;
    m_CopiesSent = 0;
    m_CopiesPending = 0;
  }
  ++m_CopiesSent;
  ++m_CopiesPending;
  auto Order = BackendOrder{.m_Id = Record.m_Order,
                            .m_Directive = Record.m_Directive,
                            .m_Fencing = Fencing};
  m_Channel.send(m_Options.m_Target, Order,
                 [this, Alive = m_Alive, Order](OrderOutcome Outcome) {
                   if (!*Alive)
                     return;
                   if (Outcome == OrderOutcome::Rejected)
                     logError("order.rejected",
                              {{"backend", m_Options.m_Target},
                               {"order", Order.m_Id},
                               {"directive", Order.m_Directive}});
                   if (mayStillArrive(Outcome)) {
                     // The next step reads the target's state to find out.
                     finishStep();
                     return;
                   }
                   --m_CopiesPending;
                   recordResult(Order.m_Id, Outcome == OrderOutcome::Accepted,
                                MaxRecordAttempts);
                 });
}

auto OrderSender::recordResult(const OrderId &Order, bool Accepted,
                               int AttemptsLeft) -> void {
  if (AttemptsLeft == 0) {
    finishStep();
    return;
  }
  m_Store.read(KeyRange::single(m_Options.m_Key), [this, Alive = m_Alive, Order,
                                                   Accepted, AttemptsLeft](
                                                      const auto &Reply) {
    if (!*Alive)
      return;
    if (!Reply || Reply->m_Values.empty()) {
      finishStep();
      return;
    }
    const auto &Item = Reply->m_Values.front();
    auto Record = decodeOrderRecord(Item.m_Value);
    if (Record.m_Order != Order) {
      finishStep();
      return;
    }
    Record.m_Accepted = Record.m_Accepted || Accepted;
    if (m_CopiesPending == 0)
      Record.m_Senders.erase(m_Options.m_Self);
    // No guard: the result of a copy that this process sent stays valid when
    // the duty is lost.
    write(Record, Item.m_Modified, false,
          [this, Alive, Order, Accepted, AttemptsLeft](const auto &Written) {
            if (!*Alive)
              return;
            if (Written && !Written->m_Applied)
              recordResult(Order, Accepted, AttemptsLeft - 1);
            else
              finishStep();
          });
  });
}

auto OrderSender::write(const OrderRecord &Record, StoreRevision Revision,
                        bool Guarded, StoreCallback<TransactionResult> Done)
    -> void {
  const auto &Key = m_Options.m_Key;
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back({.m_Key = Key, .m_Modified = Revision});
  if (Guarded)
    Transaction.m_Compares.push_back(m_Duty.guard());
  Transaction.m_Writes.push_back(
      {.m_Key = Key, .m_Value = encodeOrderRecord(Record)});
  m_Store.commit(std::move(Transaction), std::move(Done));
}

} // namespace dotterel
