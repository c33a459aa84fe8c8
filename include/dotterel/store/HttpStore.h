//===- HttpStore.h - The store over its HTTP interface ----------*- C++ -*-===//
///
/// \file
/// Accesses the platform's store through etcd's published v3 JSON interface.
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

/// Creates a store that is accessed through \p Client, which must outlive it.
auto makeHttpStore(HttpClient &Client, const HttpStoreOptions &Options)
    -> std::unique_ptr<KeyValueStore>;

/// Encodes \p Text as standard base64, in which the store's interface carries
/// keys and values.
auto encodeBase64(std::string_view Text) -> std::string;

/// Decodes standard base64.
/// \throws ProtocolError 301 if \p Text is not valid base64.
auto decodeBase64(std::string_view Text) -> std::string;

} // namespace dotterel

#endif // DOTTEREL_STORE_HTTPSTORE_H
