#include "src/ctl/request.h"

#include <memory>
#include <utility>

namespace acaciaspring::ctl {

namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{64} << 20;

}  // namespace

Answer SendRequest(const Options& options,
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
  Answer answer;
  const auto call =
      net::Fetch(client, std::move(request), kMaxAnswerBytes, [&](net::HttpReply reply) {
        answer.result = reply.result;
        if (const auto* finished = std::get_if<net::HttpFinished>(&reply.result)) {
          answer.status = finished->status;
        }
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        const char* begin = reply.body.data();
        if (!reader->parse(begin, begin + reply.body.size(), &answer.document, nullptr)) {
          answer.document = Json::nullValue;
        }
        loop.Stop();
      });
  loop.Run();
  return answer;
}

}  // namespace acaciaspring::ctl
