//===- KeyDigest.h - Organisations' API keys --------------------*- C++ -*-===//
///
/// \file
/// Generates keys, and the digests under which keys are stored and compared.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_AUTH_KEYDIGEST_H
#define DOTTEREL_AUTH_KEYDIGEST_H

#include <string>

namespace dotterel {

/// Returns a new random key. It is sent to the organisation once; only its
/// digest is stored.
auto generateKey() -> std::string;

/// Returns the keyed digest of \p Key in hexadecimal. \p Secret is the
/// installation's secret; without it guessed keys cannot be tested against the
/// stored digests.
auto digestKey(const std::string &Key, const std::string &Secret)
    -> std::string;

} // namespace dotterel

#endif // DOTTEREL_AUTH_KEYDIGEST_H
