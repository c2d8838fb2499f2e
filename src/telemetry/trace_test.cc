#include <json/json.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <sstream>

#include "acaciaspring/telemetry.h"
#include "src/net/test_support.h"

namespace acaciaspring::telemetry {

namespace {

constexpr const char* kTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const SpanTime kStart{std::chrono::seconds(1000)};
const SpanTime kEnd{std::chrono::milliseconds(1000250)};

Json::Value ParseJson(const std::string& text) {
  Json::Value value;
  std::istringstream in(text);
  in >> value;
  return value;
}

const Json::Value& GetSpans(const Json::Value& request) {
  return request["resourceSpans"][0]["scopeSpans"][0]["spans"];
}

/// @brief A collector that responds with a fixed status and records the request bodies.
class FakeCollector {
 public:
  FakeCollector(net::Loop& loop, int status)
      : server_(loop,
                net::HttpServerOptions{.listen = net::kAnyLoopbackPort},
                [this, status](const net::HttpRequest& request,
                               const net::HttpResponderPtr& responder) {
                  bodies_.push_back(request.body);
                  path_ = request.path;
                  if (hold_responses_) {
                    held_responders_.push_back(responder);
                  } else {
                    responder->Respond(status, {{"content-type", "application/json"}}, "{}");
                  }
                }) {}
  net::Address address() const { return server_.address(); }
  const std::vector<std::string>& bodies() const { return bodies_; }
  const std::string& path() const { return path_; }
  void HoldResponses() { hold_responses_ = true; }
  void SendHeldResponses() {
    for (const net::HttpResponderPtr& responder : std::exchange(held_responders_, {})) {
      responder->Respond(200, {}, "{}");
    }
  }

 private:
  std::vector<std::string> bodies_;
  std::string path_;
  bool hold_responses_ = false;
  std::vector<net::HttpResponderPtr> held_responders_;
  net::HttpServer server_;
};

void FinishSpans(Tracer& tracer, int count) {
  for (int index = 0; index < count; ++index) {
    tracer.Finish(Tracer::Start("s", std::nullopt, kStart), kEnd);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(traceparent_round_trip) {
  const auto context = ParseTraceparent(kTraceparent);
  BOOST_REQUIRE(context.has_value());
  BOOST_TEST(context->sampled);
  BOOST_TEST(ToHex(context->trace) == "0af7651916cd43dd8448eb211c80319c");
  BOOST_TEST(ToHex(context->span) == "b7ad6b7169203331");
  BOOST_TEST(FormatTraceparent(*context) == kTraceparent);
}

// Guards against a malformed header from a caller that is accepted as a trace context. An invalid
// header must start a new trace.
BOOST_AUTO_TEST_CASE(malformed_traceparent_is_rejected) {
  const std::string valid = kTraceparent;
  std::vector<std::string> malformed = {
      "",
      "00",
      "ff" + valid.substr(2),
      "0A" + valid.substr(2),
      "00-00000000000000000000000000000000-b7ad6b7169203331-01",
      "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
      "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
      valid + "-more",
      valid + "x",
      "01" + valid.substr(2) + "x",
      "01" + valid.substr(2) + "-" + std::string(10000, 'x'),
      std::string(55, '-'),
      std::string(55, '\0'),
  };
  for (std::size_t size = 0; size < valid.size(); ++size) {
    malformed.push_back(valid.substr(0, size));
    std::string corrupted = valid;
    corrupted[size] = 'g';
    malformed.push_back(corrupted);
  }
  for (const std::string& text : malformed) {
    BOOST_TEST(!ParseTraceparent(text).has_value(), text);
  }
  // Later versions may append fields.
  BOOST_TEST(ParseTraceparent("01" + valid.substr(2) + "-more").has_value());
}

BOOST_AUTO_TEST_CASE(child_continues_the_trace) {
  const auto context = ParseTraceparent(kTraceparent);
  const Span child = Tracer::Start("child", context, kStart);
  BOOST_TEST((child.context.trace == context->trace));
  BOOST_TEST((child.parent.value() == context->span));
  BOOST_TEST((child.context.span != context->span));
  std::set<SpanId> ids;
  std::set<TraceId> traces;
  for (int index = 0; index < 1000; ++index) {
    const Span root = Tracer::Start("root", std::nullopt, kStart);
    BOOST_TEST(!root.parent.has_value());
    ids.insert(root.context.span);
    traces.insert(root.context.trace);
  }
  BOOST_TEST(ids.size() == 1000U);
  BOOST_TEST(traces.size() == 1000U);
}

BOOST_AUTO_TEST_CASE(spans_are_formatted_as_otlp_json) {
  Span span = Tracer::Start("call", ParseTraceparent(kTraceparent), kStart);
  span.end = kEnd;
  span.status = SpanStatus::kError;
  span.status_message = "refused";
  span.attributes = {
      {"text", std::string("v")}, {"number", std::int64_t{-5}}, {"ratio", 0.5}, {"flag", true}};
  TracerOptions options;
  options.instance = "daemon-1";
  const Json::Value request = ParseJson(FormatOtlpJson(options, {span}));
  const Json::Value& json = GetSpans(request)[0];
  BOOST_TEST(json["traceId"].asString() == "0af7651916cd43dd8448eb211c80319c");
  BOOST_TEST(json["parentSpanId"].asString() == "b7ad6b7169203331");
  BOOST_TEST(json["startTimeUnixNano"].asString() == "1000000000000");
  BOOST_TEST(json["endTimeUnixNano"].asString() == "1000250000000");
  BOOST_TEST(json["status"]["code"].asInt() == 2);
  BOOST_TEST(json["attributes"][0]["value"]["stringValue"].asString() == "v");
  BOOST_TEST(json["attributes"][1]["value"]["intValue"].asString() == "-5");
  BOOST_TEST(json["attributes"][2]["value"]["doubleValue"].asDouble() == 0.5);
  BOOST_TEST(json["attributes"][3]["value"]["boolValue"].asBool());
  const Json::Value& resource = request["resourceSpans"][0]["resource"]["attributes"];
  BOOST_TEST(resource[0]["key"].asString() == "service.name");
  BOOST_TEST(resource[1]["value"]["stringValue"].asString() == "daemon-1");
}

// Guards against unbounded text from callers in the export, and against invalid UTF-8 by truncation
// within a character.
BOOST_AUTO_TEST_CASE(long_text_is_truncated) {
  TracerOptions options;
  options.max_text_bytes = 4;
  options.max_attributes = 1;
  Span span = Tracer::Start("abc\xc3\xa9", std::nullopt, kStart);
  span.attributes = {{"longer", std::string("\xe6\xbc\xa2\xe5\xad\x97")}, {"second", true}};
  const Json::Value request = ParseJson(FormatOtlpJson(options, {span}));
  const Json::Value& json = GetSpans(request)[0];
  BOOST_TEST(json["name"].asString() == "abc");
  BOOST_TEST(json["attributes"].size() == 1U);
  BOOST_TEST(json["attributes"][0]["key"].asString() == "long");
  BOOST_TEST(json["attributes"][0]["value"]["stringValue"].asString() == "\xe6\xbc\xa2");
  BOOST_TEST(json["droppedAttributesCount"].asInt() == 1);
}

BOOST_AUTO_TEST_CASE(spans_above_queue_capacity_are_dropped_and_counted) {
  TracerOptions options;
  options.max_queued_spans = 3;
  Tracer tracer(options, FileSink{"/nonexistent/directory/spans"});
  FinishSpans(tracer, 5);
  BOOST_TEST(tracer.queued() == 3U);
  BOOST_TEST(tracer.counters().dropped == 2U);
  tracer.Flush();
  BOOST_TEST(tracer.counters().dropped == 5U);
  BOOST_TEST(tracer.counters().failed_batches == 1U);
}

BOOST_AUTO_TEST_CASE(unsampled_spans_and_spans_without_sink_are_not_queued) {
  Tracer file_tracer(TracerOptions{}, FileSink{"/nonexistent/directory/spans"});
  const auto unsampled =
      ParseTraceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00");
  file_tracer.Finish(Tracer::Start("s", unsampled, kStart), kEnd);
  BOOST_TEST(file_tracer.queued() == 0U);
  Tracer discarding_tracer(TracerOptions{}, NoSink{});
  FinishSpans(discarding_tracer, 2);
  BOOST_TEST(discarding_tracer.queued() == 0U);
  BOOST_TEST(discarding_tracer.counters().dropped == 0U);
}

BOOST_AUTO_TEST_CASE(file_sink_writes_one_document_per_line) {
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() /
      ("acaciaspring-spans-" + ToHex(Tracer::Start("", std::nullopt, kStart).context.span));
  TracerOptions options;
  options.max_batch_spans = 2;
  Tracer tracer(options, FileSink{path.string()});
  FinishSpans(tracer, 3);
  tracer.Flush();
  tracer.Flush();
  std::ifstream in(path);
  std::vector<std::size_t> sizes;
  for (std::string line; std::getline(in, line);) {
    sizes.push_back(GetSpans(ParseJson(line)).size());
  }
  std::filesystem::remove(path);
  BOOST_TEST(sizes == (std::vector<std::size_t>{2, 1}), boost::test_tools::per_element());
  BOOST_TEST(tracer.counters().exported == 3U);
}

BOOST_AUTO_TEST_CASE(collector_receives_one_batch_at_a_time) {
  net::Loop loop;
  FakeCollector collector(loop, 200);
  collector.HoldResponses();
  net::HttpClient client(loop, {});
  TracerOptions options;
  options.max_batch_spans = 2;
  Tracer tracer(options, CollectorSink{&client, collector.address()});
  FinishSpans(tracer, 3);
  tracer.Flush();
  net::RunUntil(loop, [&] { return collector.bodies().size() == 1; });
  tracer.Flush();
  BOOST_TEST(tracer.queued() == 1U);
  collector.SendHeldResponses();
  net::RunUntil(loop, [&] { return tracer.counters().exported == 2; });
  tracer.Flush();
  net::RunUntil(loop, [&] { return collector.bodies().size() == 2; });
  collector.SendHeldResponses();
  net::RunUntil(loop, [&] { return tracer.counters().exported == 3; });
  BOOST_TEST(collector.path() == "/v1/traces");
  BOOST_TEST(GetSpans(ParseJson(collector.bodies()[0])).size() == 2U);
}

BOOST_AUTO_TEST_CASE(batch_rejected_by_the_collector_is_counted) {
  net::Loop loop;
  FakeCollector collector(loop, 503);
  net::HttpClient client(loop, {});
  Tracer tracer(TracerOptions{}, CollectorSink{&client, collector.address()});
  FinishSpans(tracer, 2);
  tracer.Flush();
  net::RunUntil(loop, [&] { return tracer.counters().failed_batches == 1; });
  BOOST_TEST(tracer.counters().dropped == 2U);
  BOOST_TEST(tracer.counters().exported == 0U);
}

// Guards against use after free when the collector responds after the tracer is destroyed.
BOOST_AUTO_TEST_CASE(destruction_cancels_the_batch_in_progress) {
  net::Loop loop;
  FakeCollector collector(loop, 200);
  collector.HoldResponses();
  net::HttpClient client(loop, {});
  {
    Tracer tracer(TracerOptions{}, CollectorSink{&client, collector.address()});
    FinishSpans(tracer, 1);
    tracer.Flush();
    net::RunUntil(loop, [&] { return collector.bodies().size() == 1; });
  }
  collector.SendHeldResponses();
  bool done = false;
  const net::Timer timer = loop.After(std::chrono::milliseconds(20), [&] { done = true; });
  net::RunUntil(loop, [&] { return done; });
  BOOST_TEST(done);
}

}  // namespace acaciaspring::telemetry
