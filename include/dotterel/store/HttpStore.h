//===- HttpStore.h - The store over its HTTP interface ----------*- C++ -*-===//
///
/// \file
/// Speaks etcd's published v3 JSON interface to the platform's store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_HTTPSTORE_H
#define DOTTEREL_STORE_HTTPSTORE_H

#include "dotterel/io/HttpClient.h"
#include "dotterel/store/KeyValueStore.h"

#include <memory>

namespace dotterel {

struct HttpStoreOptions {
  std::string m_BaseUrl; ///< For example `http://127.0.0.1:2379`.
  Duration m_CallTimeout = Milliseconds(1500);
};

/// A store reached through \p Client, which must outlive it.
auto makeHttpStore(HttpClient &Client, const HttpStoreOptions &Options)
    -> std::unique_ptr<KeyValueStore>;

/// Standard base64, as the store's interface carries keys and values.
auto encodeBase64(std::string_view Text) -> std::string;

/// \throws ProtocolError 301 when \p Text is not base64.
auto decodeBase64(std::string_view Text) -> std::string;

} // namespace dotterel

#endif // DOTTEREL_STORE_HTTPSTORE_H
