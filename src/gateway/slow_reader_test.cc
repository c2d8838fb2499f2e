#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/gateway/test_cluster.h"
#include "src/net/socket_address.h"

namespace acaciaspring::gateway {

namespace {

constexpr std::size_t kMemory = std::size_t{16} << 20;
constexpr int kSlowCallers = 200;
constexpr int kFastCallers = 20;
constexpr int kFastPieces = 50;
// 2 KB per second.
constexpr Duration kReadPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kBytesPerRead = 200;

std::string Events(std::size_t count) {
  std::string events;
  for (std::size_t i = 0; i < count; ++i) {
    events += "data: " + std::string(992, 'x') + "\n\n";
  }
  return events;
}

/// @brief A caller with a small receive buffer and the segments of an Ethernet network: the large
/// ones of the loopback device would let the kernel buffer whole responses.
class SlowCaller {
 public:
  SlowCaller(const net::Address& server, const std::string& request)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int buffer_bytes = 4096;
    const int segment_bytes = 1400;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
    const sockaddr_in address = net::ToSocketAddress(server);
    BOOST_REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    BOOST_REQUIRE(send(fd_, request.data(), request.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(request.size()));
  }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;
  ~SlowCaller() { close(fd_); }

  void Read(std::size_t bytes) {
    std::array<char, 65536> buffer{};
    const ssize_t size = recv(fd_, buffer.data(), std::min(bytes, buffer.size()), MSG_DONTWAIT);
    if (size > 0) {
      received_.append(buffer.data(), static_cast<std::size_t>(size));
    } else if (size == 0 || errno != EAGAIN) {
      ended_ = true;
    }
  }
  bool whole() const { return received_.ends_with("\r\n0\r\n\r\n"); }
  bool over() const { return ended_ || whole(); }

 private:
  int fd_;
  std::string received_;
  bool ended_ = false;
};

struct Fixture {
  Fixture()
      : engine(loop,
               {.listen = net::kAnyLoopbackPort},
               [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                 responder->Start(
                     200, {{"content-type", "text/event-stream"},
                           {"x-id", std::string(net::FindHeader(request.headers, "x-id"))}});
                 streams[request.path].push_back(responder);
               }),
        gateway(loop,
                {.self = {.id = DaemonId("self")},
                 .headers = MakeTestHeaderNames(),
                 .memory_bytes = kMemory},
                store),
        server(loop,
               {.listen = net::kAnyLoopbackPort},
               [this](net::HttpRequest request, const net::HttpResponderPtr& responder) {
                 responders.push_back(responder);
                 gateway.Handle(TestCluster::Daemon::ToCallerRequest(std::move(request)),
                                responder);
               }) {
    gateway.SetConfiguration({.version = ConfigurationVersion(1),
                              .routes = {{.name = "r",
                                          .host = "h",
                                          .path_prefix = "/",
                                          .kind = RequestKind::kStream,
                                          .timeout = std::chrono::hours(1),
                                          .services = {{.service = ServiceId("s")}}}},
                              .services = {{.id = ServiceId("s")}}});
    gateway.SetEndpoints({{.id = EndpointId("e"),
                           .service = ServiceId("s"),
                           .address = engine.address(),
                           .slots = 1000}});
  }

  std::string Request(const std::string& path) {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nx-id: " + std::to_string(++last_request) +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  std::unique_ptr<net::RawConnection> SendFast(const std::string& path) {
    auto caller = std::make_unique<net::RawConnection>(loop, server.address());
    caller->Send(Request(path));
    return caller;
  }
  /// @brief Measured at the connections, not by the budget.
  std::size_t BufferedBytes() const {
    std::size_t bytes = 0;
    for (const auto& weak : responders) {
      if (const auto responder = weak.lock()) {
        bytes += responder->buffered_bytes();
      }
    }
    return bytes;
  }
  void Until(const std::function<bool()>& condition) {
    net::RunUntil(loop, [&] {
      most_bytes = std::max(most_bytes, BufferedBytes());
      return condition();
    });
  }

  net::Loop loop;
  ledger::TestStore store;
  std::map<std::string, std::vector<net::HttpResponderPtr>> streams;
  std::vector<std::weak_ptr<net::HttpResponder>> responders;
  net::HttpServer engine;
  Gateway gateway;
  net::HttpServer server;
  std::size_t most_bytes = 0;
  int last_request = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(slow_readers, Fixture)

// Guards against memory that grows with the number of callers that read slowly, against fast
// callers that are broken off or refused for ever because of them, and against complete responses
// that are taken from callers who still read them.
BOOST_AUTO_TEST_CASE(memory_stays_bounded_and_fast_callers_are_served) {
  const std::string piece = Events(16);
  const std::string large = Events(300);
  std::vector<std::unique_ptr<net::RawConnection>> fast;
  for (int i = 0; i < kFastCallers; ++i) {
    fast.push_back(SendFast("/fast"));
  }
  std::vector<std::unique_ptr<SlowCaller>> slow;
  for (int i = 0; i < kSlowCallers; ++i) {
    slow.push_back(std::make_unique<SlowCaller>(server.address(), Request("/slow")));
  }
  Until([&] {
    return streams["/fast"].size() == kFastCallers && streams["/slow"].size() == kSlowCallers;
  });

  std::size_t bytes_per_read = kBytesPerRead;
  const net::Timer reads = loop.Every(kReadPeriod, [&] {
    for (const auto& caller : slow) {
      caller->Read(bytes_per_read);
    }
  });
  for (const auto& stream : streams["/slow"]) {
    stream->Write(large);
    stream->End();
  }
  int pieces = 0;
  const net::Timer writes = loop.Every(std::chrono::milliseconds(2), [&] {
    if (++pieces <= kFastPieces) {
      for (const auto& stream : streams["/fast"]) {
        stream->Write(piece);
        if (pieces == kFastPieces) {
          stream->End();
        }
      }
    }
  });
  Until([&] {
    return std::all_of(fast.begin(), fast.end(),
                       [](const auto& caller) { return TestCluster::IsOver(*caller); });
  });
  for (const auto& caller : fast) {
    const ReadResponse response = ParseResponse(*caller);
    BOOST_TEST(response.whole);
    BOOST_TEST(response.body.size() == kFastPieces * piece.size());
  }
  Until([&] {
    return std::all_of(responders.begin(), responders.end(), [](const auto& weak) {
      const auto responder = weak.lock();
      return responder == nullptr || responder->closed();
    });
  });
  BOOST_TEST(most_bytes <= kMemory / 2);
  BOOST_TEST(BufferedBytes() > kMemory / 4);

  const auto refused = SendFast("/refused");
  Until([&] { return TestCluster::IsOver(*refused); });
  const ReadResponse refusal = ParseResponse(*refused);
  BOOST_TEST(refusal.status == 503);
  BOOST_TEST(refusal.body == "memory_limited\n");
  BOOST_TEST(net::LowerCase(refused->received()).find("\r\nretry-after: 0.5") != std::string::npos);
  BOOST_TEST(streams["/refused"].empty());

  // The callers whose connections were kept begin to read.
  bytes_per_read = 65536;
  Until([&] {
    return std::all_of(slow.begin(), slow.end(), [](const auto& caller) { return caller->over(); });
  });
  const auto whole =
      std::count_if(slow.begin(), slow.end(), [](const auto& caller) { return caller->whole(); });
  // As many as fit into a quarter of the memory, at least.
  BOOST_TEST(static_cast<std::size_t>(whole) >= kMemory / 4 / large.size());
  BOOST_TEST(whole < kSlowCallers);
  const std::string metrics = gateway.MetricsText();
  BOOST_TEST(metrics.find("acaciaspring_slow_connections_closed_total " +
                          std::to_string(kSlowCallers - whole) + "\n") != std::string::npos);
  BOOST_TEST(metrics.find("acaciaspring_memory_refusals_total 1\n") != std::string::npos);

  // Requests are accepted again.
  std::unique_ptr<net::RawConnection> next;
  Until([&] {
    if (next == nullptr || TestCluster::IsOver(*next)) {
      next = SendFast("/next");
    }
    return !streams["/next"].empty();
  });
  streams["/next"].front()->Write(piece);
  streams["/next"].front()->End();
  Until([&] { return TestCluster::IsOver(*next); });
  BOOST_TEST(ParseResponse(*next).body == piece);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
