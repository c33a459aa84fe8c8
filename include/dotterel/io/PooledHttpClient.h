//===- PooledHttpClient.h - HTTP client that never re-sends -----*- C++ -*-===//
///
/// \file
/// Declares an HTTP/1.1 client with its own connection pool that uses a parser
/// library. docs/DESIGN.md says why libcurl cannot be used for calls that must
/// run at most once.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_POOLEDHTTPCLIENT_H
#define DOTTEREL_IO_POOLEDHTTPCLIENT_H

#include "dotterel/io/HttpClient.h"

#include <memory>

namespace dotterel {

struct PooledHttpClientOptions {
  /// Idle time after which a pooled connection is closed, if the peer states no
  /// shorter time.
  Duration m_IdleTimeout = Seconds(20);
  std::size_t m_MaxIdlePerAddress = 64;
  /// Number of calls with an echoed header after which a connection is closed.
  /// Bounds the memory for their values; other calls do not count.
  std::size_t m_MaxCallsPerConnection = 400;
  /// Maximum size of a body that is buffered for a call without onData, if the
  /// call allows no smaller one.
  std::size_t m_MaxResponseBytes = std::size_t{64} << 20U;
  /// Maximum size of all bodies that are buffered for calls in progress. If it
  /// is exceeded, the call with the largest body ends as broken.
  std::size_t m_MaxBufferedBytes = std::size_t{256} << 20U;
};

/// Creates a client that sends each call at most once: it never re-sends a call
/// whose connection failed, whatever its method.
///
/// A connection never carries two calls with the same value of the echoed
/// header: a late response to the first one could not be told from the response
/// to the second one. For the same reason calls with and without such a header
/// share no connection.
///
/// A pooled connection that receives data between calls is closed. A connection
/// on which the response completed before the request was sent completely is
/// not returned to the pool.
auto makePooledHttpClient(EventLoop &Loop,
                          const PooledHttpClientOptions &Options)
    -> std::unique_ptr<HttpClient>;

} // namespace dotterel

#endif // DOTTEREL_IO_POOLEDHTTPCLIENT_H
