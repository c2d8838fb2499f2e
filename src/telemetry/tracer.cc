#include <cstring>
#include <fstream>
#include <utility>

#include "acaciaspring/telemetry.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::telemetry {

namespace {

// Collectors respond with a short JSON object.
constexpr std::size_t kMaxReplyBytes = std::size_t{64} << 10;

/// @brief Random id from the operating system's generator; never all zero, which is an invalid id.
template <class Id>
Id RandomId() {
  Id id{};
  while (id == Id{}) {
    const wire::Nonce nonce = wire::MakeNonce();
    static_assert(sizeof(Id) <= sizeof(nonce));
    std::memcpy(id.data(), nonce.data(), id.size());
  }
  return id;
}

bool IsAccepted(const net::HttpResult& result) {
  const auto* finished = std::get_if<net::HttpFinished>(&result);
  return finished != nullptr && finished->status >= 200 && finished->status < 300;
}

}  // namespace

struct Tracer::Impl : std::enable_shared_from_this<Tracer::Impl> {
  Impl(TracerOptions tracer_options, Sink span_sink)
      : options(std::move(tracer_options)), sink(std::move(span_sink)) {}

  std::vector<Span> TakeBatch() {
    std::vector<Span> batch;
    while (!queue.empty() && batch.size() < options.max_batch_spans) {
      batch.push_back(std::move(queue.front()));
      queue.pop_front();
    }
    return batch;
  }

  void RecordExport(bool accepted, std::size_t spans) {
    if (accepted) {
      counters.exported += spans;
    } else {
      // A failed batch is not retried: the collector may have stored it, and retries would let the
      // queue grow during an outage of the collector.
      counters.dropped += spans;
      ++counters.failed_batches;
    }
  }

  void Export(const NoSink&, const std::vector<Span>&) {}

  void Export(const FileSink& file, const std::vector<Span>& batch) {
    std::ofstream out(file.path, std::ios::app);
    out << FormatOtlpJson(options, batch) << '\n';
    out.close();
    RecordExport(!out.fail(), batch.size());
  }

  void Export(const CollectorSink& collector, const std::vector<Span>& batch) {
    net::HttpClientRequest request;
    request.server = collector.collector;
    request.method = "POST";
    request.target = collector.target;
    request.headers = {{"content-type", "application/json"}};
    request.body = FormatOtlpJson(options, batch);
    request.io_timeout = collector.timeout;
    awaiting_response = true;
    call = net::Fetch(*collector.client, std::move(request), kMaxReplyBytes,
                      [weak = weak_from_this(), size = batch.size()](const net::HttpReply& reply) {
                        if (const auto self = weak.lock()) {
                          self->awaiting_response = false;
                          self->RecordExport(IsAccepted(reply.result), size);
                        }
                      });
  }

  TracerOptions options;
  Sink sink;
  std::deque<Span> queue;
  TracerCounters counters;
  bool awaiting_response = false;
  std::shared_ptr<net::HttpCall> call;
};

Tracer::Tracer(TracerOptions options, Sink sink)
    : impl_(std::make_shared<Impl>(std::move(options), std::move(sink))) {}

Tracer::~Tracer() {
  if (impl_->awaiting_response && impl_->call != nullptr) {
    impl_->call->Cancel();
  }
}

Span Tracer::Start(std::string name, const std::optional<TraceContext>& parent, SpanTime now) {
  Span span;
  span.context.trace = parent.has_value() ? parent->trace : RandomId<TraceId>();
  span.context.span = RandomId<SpanId>();
  span.context.sampled = !parent.has_value() || parent->sampled;
  if (parent.has_value()) {
    span.parent = parent->span;
  }
  span.name = std::move(name);
  span.start = now;
  span.end = now;
  return span;
}

void Tracer::Finish(Span span, SpanTime now) {
  if (!span.context.sampled || std::holds_alternative<NoSink>(impl_->sink)) {
    return;
  }
  if (impl_->queue.size() >= impl_->options.max_queued_spans) {
    ++impl_->counters.dropped;
    return;
  }
  span.end = now;
  impl_->queue.push_back(std::move(span));
}

void Tracer::Flush() {
  if (impl_->awaiting_response || impl_->queue.empty()) {
    return;
  }
  const std::vector<Span> batch = impl_->TakeBatch();
  std::visit([&](const auto& sink) { impl_->Export(sink, batch); }, impl_->sink);
}

std::size_t Tracer::queued() const {
  return impl_->queue.size();
}

const TracerCounters& Tracer::counters() const {
  return impl_->counters;
}

}  // namespace acaciaspring::telemetry
