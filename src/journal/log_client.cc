#include "src/journal/log_client.h"

#include <charconv>

namespace acaciaspring::journal {

namespace {

constexpr std::size_t kEntryHeaderBytes = 20;
constexpr int kStatusOk = 200;
/// Allowance above the requested size: the log returns at least one entry, whatever its size.
constexpr std::size_t kReadSlackBytes = std::size_t{8} << 20;
constexpr std::size_t kMaxAppendResponseBytes = 4096;

std::uint64_t BigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = value << 8 | static_cast<unsigned char>(byte);
  }
  return value;
}

bool IsOk(const net::HttpReply& reply) {
  const auto* finished = std::get_if<net::HttpFinished>(&reply.result);
  return finished != nullptr && finished->status == kStatusOk;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<ReadResponse> ToReadResponse(net::HttpReply reply) {
  const auto first = ParseNumber(net::FindHeader(reply.headers, "x-first-offset"));
  if (!IsOk(reply) || !first) {
    return std::nullopt;
  }
  return ReadResponse{Offset(*first), std::move(reply.body)};
}

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

std::optional<std::vector<LogEntry>> ParseEntries(std::string_view body) {
  std::vector<LogEntry> entries;
  while (!body.empty()) {
    if (body.size() < kEntryHeaderBytes) {
      return std::nullopt;
    }
    const Offset offset(BigEndian(body.substr(0, 8)));
    const auto time_ms = static_cast<std::int64_t>(BigEndian(body.substr(8, 8)));
    const std::uint64_t length = BigEndian(body.substr(16, 4));
    body.remove_prefix(kEntryHeaderBytes);
    if (length > body.size()) {
      return std::nullopt;
    }
    entries.push_back(
        {offset, WallTime(std::chrono::milliseconds(time_ms)), body.substr(0, length)});
    body.remove_prefix(length);
  }
  return entries;
}

LogClient::LogClient(net::Loop& loop,
                     net::HttpClient& client,
                     net::Address server,
                     std::string stream)
    : loop_(loop),
      client_(client),
      server_(std::move(server)),
      path_("/streams/" + std::move(stream) + "/records") {}

LogClient::~LogClient() {
  if (read_) {
    read_->Cancel();
  }
  CancelAppend();
}

void LogClient::Read(Offset from,
                     Duration wait,
                     std::size_t max_bytes,
                     Duration response_timeout,
                     std::function<void(std::optional<ReadResponse> response)> on_response) {
  net::HttpClientRequest request;
  request.server = server_;
  request.target = path_ + "?from=" + std::to_string(from.value()) +
                   "&wait_ms=" + std::to_string(Milliseconds(wait)) +
                   "&max_bytes=" + std::to_string(max_bytes);
  request.io_timeout = wait + response_timeout;
  read_ = net::Fetch(client_, std::move(request), max_bytes + kReadSlackBytes,
                     [this, on_response = std::move(on_response)](net::HttpReply reply) {
                       read_.reset();
                       on_response(ToReadResponse(std::move(reply)));
                     });
}

void LogClient::Append(std::string bytes,
                       Duration timeout,
                       std::function<void(bool acknowledged)> on_done) {
  net::HttpClientRequest request;
  request.server = server_;
  request.method = "POST";
  request.target = path_;
  request.headers = {{"content-type", "application/octet-stream"}};
  request.body = std::move(bytes);
  request.io_timeout = timeout;
  CancelAppend();
  const std::uint64_t generation = append_generation_;
  append_timeout_ = loop_.After(timeout, [this, on_done] {
    CancelAppend();
    on_done(false);
  });
  append_ = net::Fetch(client_, std::move(request), kMaxAppendResponseBytes,
                       [this, generation, on_done](const net::HttpReply& reply) {
                         append_.reset();
                         if (generation == append_generation_) {
                           IgnoreAppendResult();
                           on_done(IsOk(reply));
                         }
                       });
}

void LogClient::IgnoreAppendResult() {
  ++append_generation_;
  append_timeout_.Cancel();
}

void LogClient::CancelAppend() {
  IgnoreAppendResult();
  if (append_) {
    append_->Cancel();
    append_.reset();
  }
}

}  // namespace acaciaspring::journal
