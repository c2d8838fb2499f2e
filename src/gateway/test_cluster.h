#ifndef ACACIASPRING_SRC_GATEWAY_TEST_CLUSTER_H_
#define ACACIASPRING_SRC_GATEWAY_TEST_CLUSTER_H_

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciaspring/gateway.h"
#include "src/gateway/test_headers.h"
#include "src/ledger/test_store.h"
#include "src/net/http_message.h"
#include "src/net/test_support.h"

namespace acaciaspring::gateway {

inline constexpr std::uint32_t kClusterPartitions = 4;
/// Most tokens that a turn generates.
inline constexpr std::uint64_t kClusterMaxOutput = 20;

/// @brief A response as a caller reads it from its connection.
struct ReadResponse {
  int status = 0;
  std::string body = {};
  /// The response is whole by its own framing.
  bool whole = false;
};

/// @brief Reads the response that has arrived on a connection. One with neither a length nor chunks
/// is whole at an orderly end of the connection.
inline ReadResponse ParseResponse(const net::RawConnection& connection) {
  const std::string& raw = connection.received();
  ReadResponse response;
  const std::size_t end = raw.find("\r\n\r\n");
  if (end == std::string::npos) {
    return response;
  }
  response.status = std::stoi(raw.substr(raw.find(' ') + 1));
  const std::string head = net::LowerCase(raw.substr(0, end));
  std::string rest = raw.substr(end + 4);
  if (const std::size_t found = head.find("content-length: "); found != std::string::npos) {
    response.body = rest;
    response.whole = rest.size() == std::stoul(head.substr(found + 16));
    return response;
  }
  if (head.find("transfer-encoding: chunked") == std::string::npos) {
    response.body = rest;
    response.whole = connection.ended() && !connection.failed();
    return response;
  }
  while (!rest.empty()) {
    std::size_t size = 0;
    const char* const last = rest.data() + rest.size();
    const auto [next, error] = std::from_chars(rest.data(), last, size, 16);
    if (error != std::errc() || !std::string_view(next, last).starts_with("\r\n")) {
      return response;
    }
    rest.erase(0, static_cast<std::size_t>(next - rest.data()) + 2);
    response.body += rest.substr(0, size);
    if (size == 0) {
      response.whole = rest == "\r\n";
      return response;
    }
    rest.erase(0, std::min(rest.size(), size + 2));
  }
  return response;
}

/// @brief Two whole daemons with the ports for callers and for each other. The first one owns all
/// partitions, so turns that the second one takes are run by the first.
struct TestCluster {
  struct Daemon {
    Daemon(net::Loop& loop, const GatewayOptions& options, ledger::TestStore& store)
        : member(options.self),
          gateway(loop, options, store),
          server(loop,
                 {.listen = net::kAnyLoopbackPort},
                 [this](net::HttpRequest request, const net::HttpResponderPtr& responder) {
                   gateway.Handle(ToCallerRequest(std::move(request)), responder);
                 }) {}

    static CallerRequest ToCallerRequest(net::HttpRequest request) {
      const auto header = [&](std::string_view name) {
        return std::string(net::FindHeader(request.headers, name));
      };
      const std::string budget = header("x-budget");
      ProgramContext program{
          .program = ProgramId(header("x-program")),
          .session = SessionId("s"),
          .budget = budget.empty() ? std::nullopt : std::optional(TokenCount(std::stoul(budget))),
          .max_output = TokenCount(kClusterMaxOutput),
          .previous_turn = ledger::TurnId(header("x-previous"))};
      const HeaderNames names = MakeTestHeaderNames();
      net::Headers forwarded{{"x-id", header("x-id")}};
      std::copy_if(request.headers.begin(), request.headers.end(), std::back_inserter(forwarded),
                   [&](const auto& field) {
                     return field.first == names.caller_key || field.first == names.organisation;
                   });
      return {.id = RequestId(header("x-id")),
              .host = "h",
              .method = request.method,
              .path = request.path,
              .target = request.path,
              .headers = std::move(forwarded),
              .body = std::move(request.body),
              .program = program};
    }

    Member member;
    Gateway gateway;
    net::HttpServer server;
  };

  /// @brief `options` apply to both daemons, apart from their identity.
  explicit TestCluster(GatewayOptions options = {}) {
    options.partition_count = kClusterPartitions;
    options.headers = MakeTestHeaderNames();
    std::vector<Member> members;
    for (const char* name : {"owner", "front"}) {
      members.push_back({.id = DaemonId(name), .peer_address = net::ReservedAddress()});
    }
    for (std::size_t i = 0; i < members.size(); ++i) {
      options.self = members[i];
      daemons.at(i) = std::make_unique<Daemon>(loop, options, store);
      daemons.at(i)->gateway.SetMembers(members);
      daemons.at(i)->gateway.JoinCluster("key", [](const Member&) {});
    }
    std::vector<AssignedPartition> assigned;
    for (std::uint32_t id = 0; id < kClusterPartitions; ++id) {
      assigned.push_back({ledger::PartitionId(id), ledger::OwnerEpoch(1)});
    }
    daemons[0]->gateway.SetAssignment(assigned, ledger::OwnerEpoch(1), [] {});
    daemons[1]->gateway.SetAssignment({}, ledger::OwnerEpoch(1), [] {});
  }

  void Configure(const Configuration& configuration,
                 const std::vector<RegisteredEndpoint>& endpoints) {
    for (const auto& daemon : daemons) {
      daemon->gateway.SetConfiguration(configuration);
      daemon->gateway.SetEndpoints(endpoints);
    }
  }
  void Until(const std::function<bool()>& condition) {
    net::RunUntil(loop, [&] {
      store.Run(std::chrono::milliseconds(5));
      return condition();
    });
  }
  /// @brief Sends a request to a daemon on a connection of its own.
  std::unique_ptr<net::RawConnection> Send(std::size_t daemon,
                                           const std::string& path,
                                           const std::string& headers,
                                           const std::string& body) {
    auto connection =
        std::make_unique<net::RawConnection>(loop, daemons.at(daemon)->server.address());
    connection->Send("POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return connection;
  }
  /// @brief True once the caller has a whole response or the end of its connection.
  static bool IsOver(const net::RawConnection& connection) {
    return connection.ended() || ParseResponse(connection).whole;
  }

  net::Loop loop;
  ledger::TestStore store;
  std::array<std::unique_ptr<Daemon>, 2> daemons;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_TEST_CLUSTER_H_
