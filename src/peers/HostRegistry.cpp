#include "dotterel/peers/HostRegistry.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

constexpr auto Prefix = std::string_view("hosts/");

auto keyOf(const HostId &Host) -> std::string {
  return std::string(Prefix) + Host.text();
}

auto encode(const HostRecord &Record) -> std::string {
  return nlohmann::json{{"address", Record.m_Address},
                        {"data_centre", Record.m_DataCentre.text()}}
      .dump();
}

} // namespace

HostRegistry::HostRegistry(Scheduler &Scheduler, KeyValueStore &Store,
                           StoreWatch &Watch, Random &Random, HostRecord Self,
                           const HostRegistryOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store), m_Random(Random),
      m_Self(std::move(Self)), m_Options(Options),
      m_Mirror(Scheduler, Store, Watch, Random,
               {.m_Prefix = std::string(Prefix),
                .m_WatchTimeout = Options.m_WatchTimeout,
                .m_MinWatchInterval = Options.m_MinWatchInterval,
                .m_FirstWatchDelay = Options.m_FirstWatchDelay,
                .m_RetentionAfterOutage = Options.m_RetentionAfterOutage}) {
  m_Mirror.onChange([this](const KeyChange &Change) { applyChange(Change); });
  m_Mirror.onConfirmed([this](MonotonicTime) { m_Complete = true; });
  m_Store.history().onRestored([this, Alive = m_Alive] {
    if (*Alive)
      handleRestore();
  });
}

HostRegistry::~HostRegistry() {
  *m_Alive = false;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
}

auto HostRegistry::start() -> void {
  m_Mirror.start();
  m_Registering = true;
  acquireLease();
}

auto HostRegistry::scheduleStep(Duration Delay, void (HostRegistry::*Step)())
    -> void {
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
  m_Timer = m_Scheduler.schedule(Delay, [this, Step] {
    m_Timer.reset();
    (this->*Step)();
  });
}

auto HostRegistry::extendTerm(MonotonicTime SentAt) -> void {
  m_Term.m_End = SentAt + m_Options.m_LeaseTerm - m_Options.m_ClockDriftMargin;
  // A host that knows the others, and is known to them.
  if (m_Scheduler.now() >= m_Term.m_Begin)
    m_Term.m_PartOutside = m_Options.m_LapsedPart;
}

auto HostRegistry::acquireLease() -> void {
  auto SentAt = m_Scheduler.now();
  m_Store.grantLease(
      m_Options.m_LeaseTerm,
      [this, Alive = m_Alive, Step = ++m_Step, SentAt](const auto &Reply) {
        if (!*Alive || Step != m_Step)
          return;
        if (!Reply) {
          scheduleStep(m_Options.m_RetryDelay, &HostRegistry::acquireLease);
          return;
        }
        writeRecord(Step, *Reply.m_Response, SentAt);
      });
}

auto HostRegistry::writeRecord(std::uint64_t Step, LeaseId Lease,
                               MonotonicTime GrantSentAt) -> void {
  auto Transaction = StoreTransaction();
  Transaction.m_Writes.push_back({.m_Key = keyOf(m_Self.m_Host),
                                  .m_Value = encode(m_Self),
                                  .m_Lease = Lease});
  m_Store.commit(std::move(Transaction), [this, Alive = m_Alive, Step, Lease,
                                          GrantSentAt](const auto &Reply) {
    if (!*Alive || Step != m_Step)
      return;
    if (!Reply || !Reply->m_Applied) {
      scheduleStep(m_Options.m_RetryDelay, &HostRegistry::acquireLease);
      return;
    }
    m_Lease = Lease;
    if (auto Now = m_Scheduler.now(); Now >= m_Term.m_End)
      m_Term.m_Begin = Now + m_Options.m_ObservationTime;
    extendTerm(GrantSentAt);
    logInfo("host.registered", {{"address", m_Self.m_Address}});
    scheduleStep(m_Options.m_RenewInterval, &HostRegistry::renew);
  });
}

auto HostRegistry::renew() -> void {
  auto SentAt = m_Scheduler.now();
  m_Store.renewLease(m_Lease, [this, Alive = m_Alive, Step = ++m_Step,
                               SentAt](const auto &Reply) {
    if (!*Alive || Step != m_Step)
      return;
    if (Reply && *Reply.m_Response == Seconds::zero()) {
      logWarning("host.registration-lapsed", {});
      acquireLease();
      return;
    }
    if (Reply)
      extendTerm(SentAt);
    scheduleStep(m_Options.m_RenewInterval, &HostRegistry::renew);
  });
}

auto HostRegistry::handleRestore() -> void {
  // The lease may be unknown to the store, or another process's by now.
  m_Lease = LeaseId{};
  ++m_Step;
  if (!m_Registering)
    return;
  // All hosts register again, within a time in which the others retain them.
  auto Delay = std::chrono::duration_cast<Duration>(m_Options.m_RetryDelay *
                                                    m_Random.unit());
  scheduleStep(Delay, &HostRegistry::acquireLease);
}

auto HostRegistry::deregister() -> void {
  m_Registering = false;
  m_Term.m_End = std::min(m_Term.m_End, m_Scheduler.now());
  m_Term.m_PartOutside = 0;
  ++m_Step;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
  m_Timer.reset();
  // Does not wait for a response: the lease expires by itself.
  if (m_Lease != LeaseId{})
    m_Store.revokeLease(m_Lease, [](const auto &) {});
}

auto HostRegistry::applyChange(const KeyChange &Change) -> void {
  auto Host = HostId{Change.m_Key.substr(Prefix.size())};
  if (Host == m_Self.m_Host)
    return;
  if (!Change.m_Value) {
    m_Others.erase(Host);
  } else {
    try {
      auto Document = nlohmann::json::parse(*Change.m_Value);
      m_Others[Host] = {
          .m_Host = Host,
          .m_DataCentre =
              DataCentreId{Document.at("data_centre").get<std::string>()},
          .m_Address = Document.at("address").get<std::string>()};
    } catch (const nlohmann::json::exception &Failure) {
      logWarning("host.unreadable",
                 {{"host", Host}, {"reason", Failure.what()}});
      m_Others.erase(Host);
    }
  }
  logInfo("hosts.changed", {{"host", Host},
                            {"present", Change.m_Value.has_value()},
                            {"others", m_Others.size()}});
  if (m_OnChange)
    m_OnChange();
}

} // namespace dotterel
