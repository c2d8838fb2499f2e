#include "fakes/fake_engine.h"

#include <glog/logging.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

namespace acaciaspring::fakes {

namespace {

Json::Value ChainToJson(const BlockChain& chain) {
  Json::Value list(Json::arrayValue);
  for (const CacheBlock& block : chain) {
    Json::Value entry;
    entry["prefix"] = block.prefix;
    entry["tokens"] = static_cast<Json::UInt64>(block.tokens);
    list.append(entry);
  }
  return list;
}

BlockChain ParseChain(const Json::Value& list) {
  BlockChain chain;
  for (const Json::Value& entry : list) {
    chain.push_back({entry["prefix"].asString(), entry["tokens"].asUInt64()});
  }
  return chain;
}

// Program named in the body of a KV request. If there is none, responds with an error and returns
// an empty string.
std::string ParseProgram(const Call& call) {
  const std::optional<Json::Value> body = ParseJson(call.request.body);
  std::string program = body && body->isObject() ? body->get("program", "").asString() : "";
  if (program.empty()) {
    RespondError(call.responder, 400, "invalid_body", "body must be a JSON object with a program");
  }
  return program;
}

}  // namespace

FakeEngine::FakeEngine(net::Loop& loop, const net::Address& listen, const EngineOptions& options)
    : options_(options),
      cache_(options.kv_capacity_tokens,
             [this](PrefixCache::Change change, const CacheBlock& block) {
               const bool stored = change == PrefixCache::Change::kStored;
               events_.Add({.sequence = 0,
                            .time = server_.loop().Now(),
                            .kind = stored ? "stored" : "evicted",
                            .prefix = block.prefix,
                            .tokens = block.tokens,
                            .program = current_program_},
                           server_.faults().Consume("drop_events"));
             }),
      holds_(cache_),
      batch_(
          options.batch,
          cache_,
          {.on_tokens = [this](RequestId id, std::uint64_t count) { SendTokens(id, count); },
           .on_finished = [this](RequestId id, const Usage& usage) { FinishStream(id, usage); }}),
      orders_({.fence = 0, .model = options.models, .adapter = "", .version = "", .role = ""}),
      server_(loop,
              listen,
              {"crash", "cut_after_tokens", "drop_events", "events_lag_ms", "ignore_fencing",
               "leaving", "load_lag_ms"}) {
  AddRoutes();
  server_.OnFaultsChanged([this] { HandleFaultsChanged(); });
  server_.OnStats([this](Json::Value& stats) { AddStats(stats); });
}

void FakeEngine::AddRoutes() {
  server_.Route("POST", "/v1/chat/completions",
                [this](const Call& call) { StartCompletion(call); });
  server_.Route("GET", "/load", [this](const Call& call) { RespondLoad(call); });
  server_.Route("GET", "/kv/holds",
                [this](const Call& call) { RespondJson(call.responder, 200, holds_.ToJson()); });
  server_.Route("POST", "/kv/release", [this](const Call& call) { ReleaseHold(call); });
  server_.Route("POST", "/kv/export", [this](const Call& call) { ExportHold(call); });
  server_.Route("POST", "/kv/import", [this](const Call& call) { ImportHold(call); });
  server_.Route("GET", "/cache/events", [this](const Call& call) {
    const std::int64_t lag = options_.events_lag_ms + server_.faults().Value("events_lag_ms");
    RespondJson(call.responder, 200,
                events_.Read(QueryNumber(call.request, "from", 1), server_.loop().Now(),
                             std::chrono::milliseconds(lag)));
  });
  server_.Route("POST", "/orders", [this](const Call& call) { ApplyOrder(call); });
  server_.Route("GET", "/orders", [this](const Call& call) {
    RespondJson(call.responder, 200, ToJson(orders_.current()));
  });
}

void FakeEngine::RespondLoad(const Call& call) {
  const MonotonicTime now = server_.loop().Now();
  const Duration lag =
      std::chrono::milliseconds(options_.load_lag_ms + server_.faults().Value("load_lag_ms"));
  if (load_sample_.isNull() || now - load_sampled_at_ >= lag) {
    load_sampled_at_ = now;
    load_sample_["running"] = static_cast<Json::UInt64>(batch_.running());
    load_sample_["waiting"] = static_cast<Json::UInt64>(batch_.waiting());
    load_sample_["kv_used"] = static_cast<Json::UInt64>(cache_.used());
    load_sample_["kv_capacity"] = static_cast<Json::UInt64>(cache_.capacity());
    load_sample_["leaving"] = leaving_;
    load_sample_["sampled_at_ms"] =
        static_cast<Json::Int64>(net::Loop::WallNow().time_since_epoch().count());
  }
  RespondJson(call.responder, 200, load_sample_);
}

void FakeEngine::ReleaseHold(const Call& call) {
  const std::string program = ParseProgram(call);
  if (program.empty()) {
    return;
  }
  const std::optional<std::uint64_t> tokens = holds_.Release(program);
  if (!tokens) {
    RespondError(call.responder, 404, "no_hold", "the program has no KV hold");
    return;
  }
  Json::Value body;
  body["released"] = static_cast<Json::UInt64>(*tokens);
  RespondJson(call.responder, 200, body);
}

void FakeEngine::ExportHold(const Call& call) {
  const std::string program = ParseProgram(call);
  if (program.empty()) {
    return;
  }
  const std::optional<BlockChain> chain = holds_.Export(program);
  if (!chain) {
    RespondError(call.responder, 404, "no_hold", "the program has no KV hold");
    return;
  }
  Json::Value body;
  body["program"] = program;
  body["tokens"] = static_cast<Json::UInt64>(CountTokens(*chain));
  body["blocks"] = ChainToJson(*chain);
  RespondJson(call.responder, 200, body);
}

void FakeEngine::ImportHold(const Call& call) {
  const std::string program = ParseProgram(call);
  if (program.empty()) {
    return;
  }
  const std::optional<Json::Value> body = ParseJson(call.request.body);
  const std::optional<BlockChain> chain = body->isMember("blocks")
                                              ? std::optional(ParseChain((*body)["blocks"]))
                                              : holds_.FindExported(program);
  if (!chain) {
    RespondError(call.responder, 404, "no_export", "the program has no exported KV cache");
    return;
  }
  current_program_ = program;
  if (!holds_.Import(program, *chain)) {
    RespondError(call.responder, 409, "kv_full", "the KV cache is full");
    return;
  }
  Json::Value response;
  response["tokens"] = static_cast<Json::UInt64>(CountTokens(*chain));
  RespondJson(call.responder, 200, response);
}

void FakeEngine::ApplyOrder(const Call& call) {
  const std::optional<Json::Value> body = ParseJson(call.request.body);
  if (!body || !body->isObject()) {
    RespondError(call.responder, 400, "invalid_body", "body must be a JSON object");
    return;
  }
  const bool check = options_.check_fencing && !server_.faults().IsOn("ignore_fencing");
  if (!orders_.Apply(ParseOrder(*body), check)) {
    server_.Count("orders_refused");
    RespondError(call.responder, 409, "old_fence", "an order with a higher fence has been applied");
    return;
  }
  server_.Count("orders");
  RespondJson(call.responder, 200, ToJson(orders_.current()));
}

void FakeEngine::HandleFaultsChanged() {
  if (server_.faults().IsOn("crash")) {
    LOG(WARNING) << "exiting immediately: fault switch crash is on";
    google::FlushLogFiles(google::GLOG_INFO);
    std::_Exit(1);
  }
  const bool leaving = server_.faults().IsOn("leaving");
  if (leaving && !leaving_) {
    leaving_since_ = server_.loop().Now();
  }
  leaving_ = leaving;
}

void FakeEngine::AddStats(Json::Value& stats) const {
  stats["running"] = static_cast<Json::UInt64>(batch_.running());
  stats["waiting"] = static_cast<Json::UInt64>(batch_.waiting());
  stats["prefill_tokens_computed"] = static_cast<Json::UInt64>(batch_.prefill_tokens_computed());
  stats["cached_tokens"] = static_cast<Json::UInt64>(batch_.cached_tokens());
  stats["kv_used"] = static_cast<Json::UInt64>(cache_.used());
}

}  // namespace acaciaspring::fakes
