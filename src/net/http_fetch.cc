#include <utility>

#include "acaciaspring/net.h"

namespace acaciaspring::net {

namespace {

/// @brief Collects a response. The callbacks of the call own the collector, and the collector owns
/// the call, so that the exchange continues when the caller of Fetch releases its handle. The cycle
/// is broken when the exchange ends and releases the callbacks.
struct Collector {
  std::shared_ptr<HttpCall> call;
  HttpReply reply;
  std::size_t max_bytes = 0;
  std::function<void(HttpReply reply)> on_done;

  void OnData(std::string_view data) {
    if (reply.body.size() + data.size() <= max_bytes) {
      reply.body.append(data);
      return;
    }
    reply.body.clear();
    // Cancelling releases the callbacks and with them the collector's owner, so keep the call
    // alive.
    const std::shared_ptr<HttpCall> cancelled = call;
    cancelled->Cancel();
    Finish(HttpInterrupted{});
  }

  void Finish(const HttpResult& result) {
    call.reset();
    reply.result = result;
    const auto callback = std::exchange(on_done, nullptr);
    callback(std::move(reply));
  }
};

}  // namespace

std::shared_ptr<HttpCall> Fetch(HttpClient& client,
                                HttpClientRequest request,
                                std::size_t max_bytes,
                                std::function<void(HttpReply reply)> on_done) {
  auto collector = std::make_shared<Collector>();
  collector->max_bytes = max_bytes;
  collector->on_done = std::move(on_done);
  collector->call = client.Send(
      std::move(request),
      HttpCallbacks{
          .on_head = [collector](int,
                                 const Headers& headers) { collector->reply.headers = headers; },
          .on_data = [collector](std::string_view data) { collector->OnData(data); },
          .on_done = [collector](const HttpResult& result) { collector->Finish(result); },
      });
  return collector->call;
}

}  // namespace acaciaspring::net
