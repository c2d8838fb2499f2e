#ifndef ACACIASPRING_SRC_LOAD_FIRST_TOKEN_COMPARISON_H_
#define ACACIASPRING_SRC_LOAD_FIRST_TOKEN_COMPARISON_H_

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "src/load/retrying_call.h"

namespace acaciaspring::load {

/// @brief Calls an engine directly and through the entries, alternating at the same rate, and
/// compares the time to the first token. Every call through the entries is the first one of its own
/// program, which is created before and ended after the measurement.
class FirstTokenComparison {
 public:
  FirstTokenComparison(const LoadContext& context, std::function<void()> on_done);
  void Start();
  void Print(std::ostream& out) const;

 private:
  struct DirectCall {
    MonotonicTime started;
    bool seen = false;
    AnswerCollector answer;
    std::unique_ptr<SseParser> parser;
    std::shared_ptr<net::HttpCall> call;
  };

  void CreateNext();
  void Tick();
  void SendDirect(std::uint64_t index);
  void OnDirectDone(std::uint64_t index);
  void SendThroughEntries(std::uint64_t index);
  void OnCallDone();
  void EndNext();
  std::vector<fakes::Message> MessagesOf(const std::string& path, std::uint64_t index) const;
  std::string Body(const std::vector<fakes::Message>& messages, const std::string& user) const;
  std::shared_ptr<RetryingCall> Send(CallSpec spec, RetryingCall::OnDone on_done);
  void Check(const AnswerCollector& answer, const std::vector<fakes::Message>& messages);

  LoadContext context_;
  std::function<void()> on_done_;
  std::vector<std::string> programs_;
  std::uint64_t created_ = 0;
  std::uint64_t ended_ = 0;
  std::uint64_t ticks_ = 0;
  std::uint64_t calls_done_ = 0;
  std::uint64_t calls_without_answer_ = 0;
  LatencySamples direct_latency_;
  LatencySamples entries_latency_;
  std::map<std::uint64_t, DirectCall> direct_calls_;
  std::vector<std::shared_ptr<RetryingCall>> calls_;
  net::Timer tick_timer_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_FIRST_TOKEN_COMPARISON_H_
