#include "dotterel/io/UdpPort.h"

#include <doctest/doctest.h>
#include <string>

using namespace dotterel;

TEST_CASE("udp port: a datagram that the system does not accept is counted as "
          "dropped") {
  auto Loop = EventLoop();
  auto Port = UdpPort(Loop, SocketAddress::parse("127.0.0.1:0"));
  Port.send(Port.address(), "fits");
  CHECK(Port.dropped() == 0);
  constexpr auto TooLarge = std::size_t{100'000};
  Port.send(Port.address(), std::string(TooLarge, 'x'));
  CHECK(Port.dropped() == 1);
}
