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

/// @brief Compares the time to first token of direct calls to an engine with that of calls through
/// the entries. The two paths alternate and get the same rate of calls. Each call through the
/// entries is the first call of its own program; the programs are created before the measurement
/// and ended after it.
class FirstTokenComparison {
 public:
  FirstTokenComparison(const LoadContext& context, std::function<void()> on_done);
  void Start();
  void Print(std::ostream& out) const;

 private:
  struct DirectCall {
    MonotonicTime started;
    bool first_token_seen = false;
    AnswerCollector answer;
    std::unique_ptr<SseParser> parser;
    std::shared_ptr<net::HttpCall> call;
  };

  void CreateNextProgram();
  void SendNextCall();
  void SendDirect(std::uint64_t index);
  void OnDirectDone(std::uint64_t index);
  void SendThroughEntries(std::uint64_t index);
  void OnCallDone();
  void EndNextProgram();
  std::vector<fakes::Message> MakeMessages(const std::string& path, std::uint64_t index) const;
  std::string MakeBody(const std::vector<fakes::Message>& messages, const std::string& user) const;
  std::shared_ptr<RetryingCall> Send(CallSpec spec, RetryingCall::OnDone on_done);
  void CheckAnswer(const AnswerCollector& answer, const std::vector<fakes::Message>& messages);

  LoadContext context_;
  std::function<void()> on_done_;
  std::vector<std::string> programs_;
  std::uint64_t programs_created_ = 0;
  std::uint64_t programs_ended_ = 0;
  std::uint64_t calls_sent_ = 0;
  std::uint64_t calls_done_ = 0;
  std::uint64_t calls_without_answer_ = 0;
  LatencySamples direct_latency_;
  LatencySamples entries_latency_;
  std::map<std::uint64_t, DirectCall> direct_calls_;
  std::vector<std::shared_ptr<RetryingCall>> calls_;
  net::Timer send_timer_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_FIRST_TOKEN_COMPARISON_H_
