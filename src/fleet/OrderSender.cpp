#include "dotterel/fleet/OrderSender.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

constexpr auto RecordTries = 5;

} // namespace

OrderSender::OrderSender(KeyValueStore &Store, const DutyLease &Duty,
                         OrderChannel &Channel,
                         std::function<bool(const SenderId &)> Gone,
                         const OrderSenderOptions &Options)
    : m_Store(Store), m_Duty(Duty), m_Channel(Channel), m_Gone(std::move(Gone)),
      m_Options(Options) {}

auto OrderSender::pursue(const Directive &Wanted) -> void {
  if (m_Busy || !m_Duty.held())
    return;
  m_Busy = true;
  m_Reached = {};
  auto Current = std::make_shared<Step>(Step{.m_Wanted = Wanted});
  m_Channel.readBack(m_Options.m_Target,
                     [this, Alive = m_Alive,
                      Current](const std::optional<TargetState> &State) {
                       if (!*Alive)
                         return;
                       if (!State) {
                         finish();
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
      finish();
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
      finish();
    }
  });
}

auto OrderSender::dropSettledSenders(Step &Current) -> void {
  auto &Record = Current.m_Record;
  auto Replaced = Record.m_Incarnation != Current.m_State.m_Incarnation;
  auto Applied =
      !Record.m_Order.empty() && Record.m_Order == Current.m_State.m_LastOrder;
  // An unanswered copy has arrived when it is the only one and its effect is
  // seen. A new incarnation has lost what was sent to the old one.
  if (Replaced || (Applied && m_Sent == 1))
    m_Unanswered = 0;
  std::erase_if(Record.m_Senders, [&](const SenderId &Sender) {
    if (Replaced)
      return true;
    if (Sender == m_Options.m_Self)
      return m_Unanswered == 0;
    return m_Gone(Sender);
  });
}

auto OrderSender::decide(const StepPtr &Current) -> void {
  auto &Record = Current->m_Record;
  if (Record.m_Order == Current->m_State.m_LastOrder)
    Record.m_Done = true;
  dropSettledSenders(*Current);
  auto Replaced = Record.m_Incarnation != Current->m_State.m_Incarnation;
  auto Pending = !Record.m_Order.empty() && !Record.m_Done && !Replaced;
  const auto &InForce = Current->m_State.m_InForce;
  auto Undone = Record.m_Done && InForce && *InForce != Current->m_Wanted;
  auto Different = Undone || Record.m_Directive != Current->m_Wanted;
  auto MayReplace = Record.settled() || m_Options.m_ChecksFencing;
  if (Pending && (!Different || !MayReplace)) {
    // Repeated under its own id, whatever is wanted by now: it may have been
    // given already.
    intend(Current);
    return;
  }
  auto Unordered = Record.m_Order.empty();
  auto Reached = Unordered ? InForce && *InForce == Current->m_Wanted
                           : !Pending && !Different && !Replaced;
  if (Reached) {
    if (Record.settled())
      m_Reached = Current->m_Wanted;
    finish();
    return;
  }
  if (!MayReplace) {
    logWarning("order.blocked", {{"backend", m_Options.m_Target},
                                 {"order", Record.m_Order},
                                 {"senders", Record.m_Senders.size()}});
    finish();
    return;
  }
  Record.m_Order =
      OrderId{fmt::format("{}.{}", m_Duty.fencing().number(), ++m_LastOrder)};
  Record.m_Directive = Current->m_Wanted;
  Record.m_Incarnation = Current->m_State.m_Incarnation;
  Record.m_Done = false;
  // Copies of an older order are refused by their lower number.
  Record.m_Senders.clear();
  intend(Current);
}

auto OrderSender::intend(const StepPtr &Current) -> void {
  Current->m_Record.m_Senders.insert(m_Options.m_Self);
  write(Current->m_Record, Current->m_Revision, true,
        [this, Alive = m_Alive, Current](const auto &Reply) {
          if (!*Alive)
            return;
          // Without a certain answer nothing is sent. If the intent stands all
          // the same, the next round repeats the order.
          if (!Reply || !Reply->m_Applied) {
            finish();
            return;
          }
          send(Current, FencingNumber{Reply->m_Revision.number()});
        });
}

auto OrderSender::send(const StepPtr &Current, FencingNumber Fencing) -> void {
  const auto &Record = Current->m_Record;
  if (!m_Duty.held()) {
    finish();
    return;
  }
  logInfo("order.sent", {{"backend", m_Options.m_Target},
                         {"order", Record.m_Order},
                         {"directive", Record.m_Directive},
                         {"fencing", Fencing}});
  if (m_SentOrder != Record.m_Order) {
    m_SentOrder = Record.m_Order;
    m_Sent = 0;
    m_Unanswered = 0;
  }
  ++m_Sent;
  ++m_Unanswered;
  auto Order = BackendOrder{.m_Id = Record.m_Order,
                            .m_Directive = Record.m_Directive,
                            .m_Fencing = Fencing};
  m_Channel.send(m_Options.m_Target, Order,
                 [this, Alive = m_Alive, Order](OrderAnswer Answer) {
                   if (!*Alive)
                     return;
                   if (Answer == OrderAnswer::Unknown) {
                     // The next round reads back what became of it.
                     finish();
                     return;
                   }
                   --m_Unanswered;
                   recordResult(Order.m_Id, Answer == OrderAnswer::Accepted,
                                RecordTries);
                 });
}

auto OrderSender::recordResult(const OrderId &Order, bool Accepted, int Tries)
    -> void {
  if (Tries == 0) {
    finish();
    return;
  }
  m_Store.read(
      KeyRange::single(m_Options.m_Key),
      [this, Alive = m_Alive, Order, Accepted, Tries](const auto &Reply) {
        if (!*Alive)
          return;
        if (!Reply || Reply->m_Values.empty()) {
          finish();
          return;
        }
        const auto &Item = Reply->m_Values.front();
        auto Record = decodeOrderRecord(Item.m_Value);
        if (Record.m_Order != Order) {
          finish();
          return;
        }
        Record.m_Done = Record.m_Done || Accepted;
        if (m_Unanswered == 0)
          Record.m_Senders.erase(m_Options.m_Self);
        // No guard: what became of an own copy stays true without the duty.
        write(Record, Item.m_Modified, false,
              [this, Alive, Order, Accepted, Tries](const auto &Written) {
                if (!*Alive)
                  return;
                if (Written && !Written->m_Applied)
                  recordResult(Order, Accepted, Tries - 1);
                else
                  finish();
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
