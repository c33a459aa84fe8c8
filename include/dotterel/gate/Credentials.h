//===- Credentials.h - Callers' keys at the gate ----------------*- C++ -*-===//
///
/// \file
/// Maps an organisation's key to its organisation, and keeps keys from being
/// forwarded to backend servers.
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

/// The organisation on whose behalf a request runs.
struct Caller {
  OrganisationId m_Organisation;
  std::uint32_t m_Weight = 1;
  std::string m_KeyDigest; ///< Empty on open routes.
};

/// Returns the bearer token of the Authorization header, if there is one.
auto bearerToken(const HttpRequest &Request) -> std::optional<std::string>;

/// Returns the caller with this key digest; std::nullopt if the key is not
/// granted. Complexity: logarithmic.
auto findCaller(const Configuration &Configuration,
                const std::string &KeyDigest) -> std::optional<Caller>;

/// Returns whether the caller's key is still granted to the same organisation;
/// true for callers without a key.
auto isKeyGranted(const Configuration &Configuration, const Caller &Caller)
    -> bool;

/// Returns whether \p Key occurs in a part of the request that is forwarded to
/// the backend server: path, query or body.
auto containsKey(const HttpRequest &Request, const std::string &Key) -> bool;

/// Returns the headers that are forwarded to a backend server: those with an
/// allowed name and a value that does not contain the key. The list of allowed
/// names keeps a key in an unknown header from being forwarded.
auto forwardedHeaders(const HttpRequest &Request,
                      const std::optional<std::string> &Key) -> HttpHeaders;

/// Returns the query without the parameters that usually contain a credential.
auto forwardedQuery(const HttpRequest &Request) -> HttpHeaders;

} // namespace dotterel

#endif // DOTTEREL_GATE_CREDENTIALS_H
