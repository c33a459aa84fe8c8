//===- Credentials.h - Callers' keys at the gate ----------------*- C++ -*-===//
///
/// \file
/// Finds out for which organisation a request runs, and keeps keys away from
/// backend servers.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_CREDENTIALS_H
#define DOTTEREL_GATE_CREDENTIALS_H

#include "dotterel/config/Configuration.h"
#include "dotterel/io/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dotterel {

/// The organisation that a request runs for.
struct Caller {
  OrganisationId m_Organisation;
  std::uint32_t m_Weight = 1;
  std::string m_KeyDigest; ///< Empty on open routes.
};

/// The key in the Authorization header, if there is one.
auto presentedKey(const HttpRequest &Request) -> std::optional<std::string>;

/// The caller with this key digest, while it is granted. Complexity:
/// logarithmic.
auto findCaller(const Configuration &Configuration,
                const std::string &KeyDigest) -> std::optional<Caller>;

/// Whether the caller's key is still granted to the same organisation.
auto stillGranted(const Configuration &Configuration, const Caller &Caller)
    -> bool;

/// Whether \p Key stands anywhere that is passed on: path, query or body.
auto keyLeaks(const HttpRequest &Request, const std::string &Key) -> bool;

/// The headers that are passed on to a backend server. Only listed names pass,
/// and none whose value contains the key: a key in an unknown header is then
/// never passed on.
auto forwardedHeaders(const HttpRequest &Request,
                      const std::optional<std::string> &Key) -> HttpHeaders;

/// The query without parameters that usually hold a credential.
auto forwardedQuery(const HttpRequest &Request) -> HttpHeaders;

} // namespace dotterel

#endif // DOTTEREL_GATE_CREDENTIALS_H
