#include <utility>

#include "acaciaspring/endpoint.h"
#include "src/endpoint/answer.h"
#include "src/endpoint/path.h"

namespace acaciaspring::endpoint {

CallPtr StartToolCall(net::HttpClient& client,
                      const ToolCallOptions& options,
                      OnToolFinished on_finished) {
  net::Headers headers = {{"content-type", "application/json"},
                          {"idempotency-key", options.key.value()}};
  if (!options.traceparent.empty()) {
    headers.emplace_back("traceparent", options.traceparent);
  }
  return Collect(client,
                 {.server = options.service,
                  .method = "POST",
                  .target = "/call/" + EncodePathSegment(options.operation),
                  .headers = std::move(headers),
                  .body = options.body},
                 options.timeout, options.max_answer_bytes,
                 [on_finished = std::move(on_finished)](Answer answer) {
                   const Outcome outcome = OutcomeOf(answer);
                   on_finished(outcome, std::move(answer.body));
                 });
}

}  // namespace acaciaspring::endpoint
