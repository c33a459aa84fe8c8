//===- KeyDigest.h - Organisations' keys ------------------------*- C++ -*-===//
///
/// \file
/// Makes keys and the digests by which they are stored and compared.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_AUTH_KEYDIGEST_H
#define DOTTEREL_AUTH_KEYDIGEST_H

#include <string>

namespace dotterel {

/// A new random key, in the form given to an organisation once.
auto makeKey() -> std::string;

/// The keyed digest of \p Key in hexadecimal. \p Secret is the installation's;
/// without it the stored digests cannot be tried against guesses.
auto digestKey(const std::string &Key, const std::string &Secret)
    -> std::string;

} // namespace dotterel

#endif // DOTTEREL_AUTH_KEYDIGEST_H
