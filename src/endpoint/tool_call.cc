#include <utility>

#include "acaciaspring/endpoint.h"
#include "src/endpoint/path_encoding.h"
#include "src/endpoint/response.h"

namespace acaciaspring::endpoint {

CallPtr StartToolCall(net::HttpClient& client,
                      const ToolCallOptions& options,
                      OnToolFinished on_finished) {
  net::Headers headers = {{"content-type", "application/json"},
                          {"idempotency-key", options.key.value()}};
  if (!options.traceparent.empty()) {
    headers.emplace_back("traceparent", options.traceparent);
  }
  return Execute(client,
                 {.server = options.service,
                  .method = "POST",
                  .target = "/call/" + EncodePathSegment(options.operation),
                  .headers = std::move(headers),
                  .body = options.body},
                 options.timeout, options.max_response_bytes,
                 [on_finished = std::move(on_finished)](Response response) {
                   const Outcome outcome = ToOutcome(response);
                   on_finished(outcome, std::move(response.body));
                 });
}

}  // namespace acaciaspring::endpoint
