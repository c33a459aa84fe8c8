#include "dotterel/serving/ServedRequest.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

/// Returns how the origin of a stream was found, for logs and metrics.
auto nameOf(const StreamLookup &Found) -> const char * {
  if (!Found.m_Origin)
    return "unknown";
  return Found.m_AskedHosts > 0 ? "asked" : "own";
}

} // namespace

auto ServedRequest::takesUpStream() const -> bool {
  const auto &Request = m_Exchange->request();
  return m_Parameters.m_Route->m_Kind == RequestKind::Stream &&
         !(Request.m_ResumeAfter.empty() && Request.m_Resumed.empty());
}

auto ServedRequest::takeUpStream() -> void {
  const auto &First = m_Exchange->request().m_Resumed;
  if (First.empty()) {
    handleLookup({});
    return;
  }
  if (auto Origin = m_Context.m_Origins->known(First)) {
    handleLookup({.m_Origin = std::move(Origin)});
    return;
  }
  m_Lookup = m_Context.m_Origins->ask(First, [this](const StreamLookup &Found) {
    m_Lookup.reset();
    handleLookup(Found);
  });
}

auto ServedRequest::handleLookup(const StreamLookup &Found) -> void {
  const auto &Request = m_Exchange->request();
  auto Origin = Found.m_Origin.value_or(StreamOrigin());
  m_Context.m_Metrics.countTakeUp(nameOf(Found));
  logInfo("stream.taken-up",
          {{"request", Request.m_Id},
           {"first", Request.m_Resumed},
           {"found", nameOf(Found)},
           {"service", Origin.m_Service},
           {"version", Origin.m_Version},
           {"asked", Found.m_AskedHosts},
           {"answers", Found.m_Answers},
           {"ms", toMilliseconds(m_Context.m_Scheduler.now() - m_ArrivedAt)}});
  if (!Found.m_Origin) {
    refuse(RefusalCode::StreamUnknown,
           Request.m_Resumed.empty()
               ? "the request that began the stream is not stated"
               : "no host knows the stream");
    return;
  }
  if (!returnToService(Origin)) {
    refuse(RefusalCode::NoBackend,
           "the route does not lead to the service that began the stream");
    return;
  }
  m_Origin = std::move(Origin);
  place();
}

auto ServedRequest::returnToService(const StreamOrigin &Origin) -> bool {
  auto Service = ServiceId{Origin.m_Service};
  if (m_Parameters.m_Service->m_Id == Service)
    return true;
  const auto &Shares = m_Parameters.m_Route->m_Shares;
  auto Known = m_Parameters.m_Configuration->m_Services.find(Service);
  if (Known == m_Parameters.m_Configuration->m_Services.end() ||
      std::none_of(Shares.begin(), Shares.end(), [&](const auto &Share) {
        return Share.m_Service == Service;
      }))
    return false;
  m_Parameters.m_Service = &Known->second;
  m_Digests = digestsOf(m_Exchange->request(), *m_Parameters.m_Service,
                        m_Parameters.m_Organisation);
  return true;
}

auto ServedRequest::recordOrigin() -> void {
  if (!m_Parameters.m_Route->m_Resumable)
    return;
  const auto &Request = m_Exchange->request();
  if (!m_Origin)
    m_Origin = StreamOrigin{.m_Service = m_Parameters.m_Service->m_Id.text(),
                            .m_Version = m_Attempt->m_Version};
  m_Context.m_Origins->record(
      takesUpStream() ? Request.m_Resumed : Request.m_Id, *m_Origin);
}

} // namespace dotterel
