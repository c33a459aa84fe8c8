#include "dotterel/peers/HostRegistry.h"

#include "dotterel/base/Log.h"

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
    : m_Scheduler(Scheduler), m_Store(Store), m_Self(std::move(Self)),
      m_Options(Options),
      m_Mirror(Scheduler, Store, Watch, Random,
               {.m_Prefix = std::string(Prefix),
                .m_Wait = Options.m_Wait,
                .m_Pause = Options.m_Pause,
                .m_HoldAfterOutage = Options.m_HoldAfterOutage}) {
  m_Mirror.onChange([this](const KeyChange &Change) { take(Change); });
}

HostRegistry::~HostRegistry() {
  *m_Alive = false;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
}

auto HostRegistry::start() -> void {
  m_Mirror.start();
  enter();
}

auto HostRegistry::again(Duration Delay, void (HostRegistry::*Step)()) -> void {
  m_Timer = m_Scheduler.schedule(Delay, [this, Step] {
    m_Timer.reset();
    (this->*Step)();
  });
}

auto HostRegistry::enter() -> void {
  m_Store.grantLease(m_Options.m_Term,
                     [this, Alive = m_Alive](const auto &Reply) {
                       if (!*Alive)
                         return;
                       if (!Reply) {
                         again(m_Options.m_RetryDelay, &HostRegistry::enter);
                         return;
                       }
                       write(*Reply.m_Answer);
                     });
}

auto HostRegistry::write(LeaseId Lease) -> void {
  auto Transaction = StoreTransaction();
  Transaction.m_Writes.push_back({.m_Key = keyOf(m_Self.m_Host),
                                  .m_Value = encode(m_Self),
                                  .m_Lease = Lease});
  m_Store.commit(std::move(Transaction),
                 [this, Alive = m_Alive, Lease](const auto &Reply) {
                   if (!*Alive)
                     return;
                   if (!Reply || !Reply->m_Applied) {
                     again(m_Options.m_RetryDelay, &HostRegistry::enter);
                     return;
                   }
                   m_Lease = Lease;
                   logInfo("host.registered", {{"address", m_Self.m_Address}});
                   again(m_Options.m_RenewInterval, &HostRegistry::renew);
                 });
}

auto HostRegistry::renew() -> void {
  m_Store.keepLease(m_Lease, [this, Alive = m_Alive](const auto &Reply) {
    if (!*Alive)
      return;
    if (Reply && *Reply.m_Answer == Seconds::zero()) {
      logWarning("host.registration-lapsed", {});
      enter();
      return;
    }
    again(m_Options.m_RenewInterval, &HostRegistry::renew);
  });
}

auto HostRegistry::leave() -> void {
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
  m_Timer.reset();
  // An answer is not waited for: the lease ends by itself.
  if (m_Lease != LeaseId{})
    m_Store.revokeLease(m_Lease, [](const auto &) {});
}

auto HostRegistry::take(const KeyChange &Change) -> void {
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
