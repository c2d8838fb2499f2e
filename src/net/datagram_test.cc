#include <sys/socket.h>

#include <boost/test/unit_test.hpp>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"
#include "src/net/test_support.h"

namespace acaciaspring::net {

BOOST_AUTO_TEST_SUITE(datagram)

// Guards against datagrams that arrive modified or with a wrong sender address.
BOOST_AUTO_TEST_CASE(datagram_is_delivered_with_its_sender_address) {
  Loop loop;
  std::vector<std::pair<Address, std::string>> received;
  DatagramSocket receiver(loop, kAnyLoopbackPort, [&](const Address& from, std::string_view data) {
    received.emplace_back(from, data);
  });
  DatagramSocket sender(loop, kAnyLoopbackPort, [](const Address&, std::string_view) {});
  const std::string largest(wire::kMaxDatagramBytes, 'x');
  sender.Send(receiver.address(), "hello");
  sender.Send(receiver.address(), largest);
  RunUntil(loop, [&] { return received.size() == 2; });
  BOOST_TEST((received[0] == std::pair(sender.address(), std::string("hello"))));
  BOOST_TEST((received[1].second == largest));
  BOOST_CHECK_THROW(sender.Send(receiver.address(), largest + "x"), MessageTooLargeError);
}

// Guards against an invalid datagram that stops the socket, and against one that is truncated to a
// size that looks valid.
BOOST_AUTO_TEST_CASE(invalid_datagrams_of_any_size_do_not_stop_the_socket) {
  Loop loop;
  std::vector<std::size_t> sizes;
  bool opened = false;
  DatagramSocket receiver(loop, kAnyLoopbackPort, [&](const Address&, std::string_view data) {
    sizes.push_back(data.size());
    opened |= wire::VerifyDatagram("key", data).has_value();
  });
  const int fd = socket(AF_INET, SOCK_DGRAM, 0);
  const sockaddr_in socket_address = ToSocketAddress(receiver.address());
  const std::vector<std::size_t> sent = {0, 1, 15, 16, 1400, 1401, 60000};
  for (const std::size_t size : sent) {
    const std::string garbage(size, 'g');
    BOOST_REQUIRE(sendto(fd, garbage.data(), size, 0,
                         reinterpret_cast<const sockaddr*>(&socket_address),
                         sizeof(socket_address)) == static_cast<ssize_t>(size));
  }
  close(fd);
  RunUntil(loop, [&] { return sizes.size() == sent.size(); });
  BOOST_TEST(sizes == sent, boost::test_tools::per_element());
  BOOST_TEST(!opened);
}

// Guards against use after free when the socket is destroyed by its own callback.
BOOST_AUTO_TEST_CASE(socket_may_be_destroyed_by_its_callback) {
  Loop loop;
  std::unique_ptr<DatagramSocket> receiver;
  int received = 0;
  receiver = std::make_unique<DatagramSocket>(loop, kAnyLoopbackPort,
                                              [&](const Address&, std::string_view) {
                                                ++received;
                                                receiver.reset();
                                              });
  DatagramSocket sender(loop, kAnyLoopbackPort, [](const Address&, std::string_view) {});
  sender.Send(receiver->address(), "one");
  sender.Send(receiver->address(), "two");
  RunUntil(loop, [&] { return receiver == nullptr; });
  BOOST_TEST(received == 1);
  // A datagram to an address without a listener is lost without an error.
  sender.Send(sender.address(), "three");
}

// Guards against two sockets that are bound to the same address without an error.
BOOST_AUTO_TEST_CASE(binding_to_a_used_address_fails) {
  Loop loop;
  const auto ignore = [](const Address&, std::string_view) {};
  const DatagramSocket first(loop, kAnyLoopbackPort, ignore);
  BOOST_CHECK_THROW(DatagramSocket(loop, first.address(), ignore), SocketError);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
