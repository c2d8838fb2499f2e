#ifndef ACACIASPRING_SRC_JOURNAL_TEST_LOG_SERVER_H_
#define ACACIASPRING_SRC_JOURNAL_TEST_LOG_SERVER_H_

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "acaciaspring/net.h"

namespace acaciaspring::journal {

/// @brief For tests: a log server with the protocol of the log service and switches for faults.
class TestLogServer {
 public:
  explicit TestLogServer(net::Loop& loop)
      : server_(loop,
                net::HttpServerOptions{.listen = {"127.0.0.1", 0}},
                [this](const net::HttpRequest& request, net::HttpResponderPtr responder) {
                  Handle(request, std::move(responder));
                }),
        wait_timer_(loop.Every(std::chrono::milliseconds(50), [this] { EndWaits(); })) {}

  net::Address address() const { return server_.address(); }
  std::uint64_t head() const { return first + entries.size() - 1; }
  /// @brief Drops the entries before `new_first`.
  void Trim(std::uint64_t new_first) {
    entries.erase(entries.begin(),
                  entries.begin() + static_cast<std::ptrdiff_t>(new_first - first));
    first = new_first;
  }
  /// @brief Answers the reads that wait for an entry.
  void AnswerWaitingReads() {
    const std::vector<WaitingRead> waiting = std::exchange(waiting_reads_, {});
    for (const WaitingRead& read : waiting) {
      Read(read);
    }
  }

  std::uint64_t first = 1;
  std::vector<std::string> entries;
  std::uint64_t appends = 0;
  bool outage = false;
  /// Appends entries without responding to the request.
  bool lose_acknowledgements = false;
  /// Does not respond to reads.
  bool hold_reads = false;

 private:
  struct WaitingRead {
    std::uint64_t from = 1;
    bool wait = false;
    net::HttpResponderPtr responder;
  };

  void Handle(const net::HttpRequest& request, net::HttpResponderPtr responder) {
    if (outage) {
      return responder->Respond(503, {}, "");
    }
    if (request.method == "POST") {
      entries.push_back(request.body);
      ++appends;
      if (!lose_acknowledgements) {
        responder->Respond(200, {}, R"({"offset":)" + std::to_string(head()) + "}");
      }
      return AnswerWaitingReads();
    }
    Read({std::stoull(std::string(net::FindQueryParameter(request, "from"))),
          net::FindQueryParameter(request, "wait_ms") != "0", std::move(responder)});
  }

  void Read(const WaitingRead& read) {
    if (hold_reads || (read.wait && read.from > head() && !outage)) {
      waiting_reads_.push_back(read);
      return;
    }
    if (outage) {
      return read.responder->Respond(503, {}, "");
    }
    std::string body;
    const std::uint64_t from = std::max(read.from, first);
    for (std::uint64_t offset = from; offset <= head(); ++offset) {
      const std::string& entry = entries[offset - first];
      AppendBigEndian(body, offset, 8);
      AppendBigEndian(body, 1'700'000'000'000 + offset, 8);
      AppendBigEndian(body, entry.size(), 4);
      body += entry;
    }
    read.responder->Respond(200,
                            {{"x-first-offset", std::to_string(first)},
                             {"x-next-offset", std::to_string(std::max(from, head() + 1))}},
                            body);
  }

  static void AppendBigEndian(std::string& out, std::uint64_t value, int bytes) {
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
      out.push_back(static_cast<char>(value >> shift & 0xff));
    }
  }

  /// Called every 50 ms; ends the wait of all reads, whatever their wait_ms.
  void EndWaits() {
    for (WaitingRead& read : waiting_reads_) {
      read.wait = false;
    }
    AnswerWaitingReads();
  }

  std::vector<WaitingRead> waiting_reads_;
  net::HttpServer server_;
  net::Timer wait_timer_;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_TEST_LOG_SERVER_H_
