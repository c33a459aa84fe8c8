//===- PooledHttpClient.h - HTTP client that never re-sends -----*- C++ -*-===//
///
/// \file
/// An HTTP/1.1 client with a connection pool of its own, on a parser library.
/// docs/DESIGN.md says why libcurl does not serve for calls that may run once.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_POOLEDHTTPCLIENT_H
#define DOTTEREL_IO_POOLEDHTTPCLIENT_H

#include "dotterel/io/HttpClient.h"

#include <memory>

namespace dotterel {

struct PooledHttpClientOptions {
  /// A kept connection is closed after so long without a call, when its peer
  /// states no shorter time.
  Duration m_IdleTime = Seconds(20);
  std::size_t m_IdlePerAddress = 64;
};

/// Makes a client whose calls each go out at most once: a call whose connection
/// fails is never sent again by the client, whatever its method.
///
/// A kept connection on which anything arrives between calls is closed. A
/// connection whose answer came before the whole request was sent is not kept.
auto makePooledHttpClient(EventLoop &Loop,
                          const PooledHttpClientOptions &Options)
    -> std::unique_ptr<HttpClient>;

} // namespace dotterel

#endif // DOTTEREL_IO_POOLEDHTTPCLIENT_H
