#include "src/ctl/request.h"

#include <memory>
#include <utility>

namespace acaciaspring::ctl {

namespace {

constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 20;

}  // namespace

Response SendRequest(const Options& options,
                     const std::string& method,
                     const std::string& target,
                     const std::string& body) {
  net::Loop loop;
  net::HttpClient client(loop, {});
  net::HttpClientRequest request;
  request.server = options.server;
  request.method = method;
  request.target = target;
  request.headers = {{"authorization", "Bearer " + options.operator_key},
                     {"content-type", "application/json"}};
  request.body = body;
  request.io_timeout = options.timeout;
  Response response;
  const auto call =
      net::Fetch(client, std::move(request), kMaxResponseBytes, [&](net::HttpReply reply) {
        response.result = reply.result;
        if (const auto* finished = std::get_if<net::HttpFinished>(&reply.result)) {
          response.status = finished->status;
        }
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        const char* begin = reply.body.data();
        if (!reader->parse(begin, begin + reply.body.size(), &response.document, nullptr)) {
          response.document = Json::nullValue;
        }
        loop.Stop();
      });
  loop.Run();
  return response;
}

}  // namespace acaciaspring::ctl
