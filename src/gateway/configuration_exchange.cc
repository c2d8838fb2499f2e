#include "src/gateway/configuration_exchange.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace acaciaspring::gateway {

namespace {

// Service has to go on within half a second of the first confirmation that any daemon has.
constexpr Duration kAskPeriod = std::chrono::milliseconds(200);
// The store is read twice a second; after two reads without an answer other daemons are asked.
constexpr Duration kMaxAgeWithoutAsking = std::chrono::milliseconds(1200);
// With a third of the daemons cut off from the store, three rounds fail once in 700 times.
constexpr std::size_t kDaemonsAsked = 2;
// Replies to earlier queries would confirm little more than an older time.
constexpr Duration kReplyTimeout = std::chrono::seconds(5);

}  // namespace

void ConfigurationExchange::Start() {
  timer_ = context_.loop.Every(kAskPeriod, [this] { Ask(); });
}

void ConfigurationExchange::Confirm(BootTime asked_at) {
  context_.caller_keys.Confirm(asked_at);
  LogState();
}

void ConfigurationExchange::LogState() {
  const auto& keys = context_.caller_keys;
  if (!keys.needs_confirmation()) {
    return;
  }
  const auto age = keys.Age(net::Loop::BootNow());
  const bool confirmed = age && *age < *keys.options().withdrawal_bound;
  if (std::exchange(confirmed_, confirmed) != confirmed) {
    context_.events.Write(
        confirmed ? "keys_confirmed" : "keys_unconfirmed",
        {{"version", static_cast<std::int64_t>(keys.version().value())},
         {"age_ms",
          age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1}});
  }
}

void ConfigurationExchange::Ask() {
  LogState();
  PeerLinks* links = handlers_.links();
  const BootTime now = net::Loop::BootNow();
  const auto age = context_.caller_keys.Age(now);
  if (links == nullptr || !context_.caller_keys.needs_confirmation() ||
      (age && *age < kMaxAgeWithoutAsking)) {
    return;
  }
  std::erase_if(asked_at_, [&](const auto& entry) { return now - entry.second > kReplyTimeout; });
  const std::vector<DaemonId> open = links->OpenPeers();
  std::vector<DaemonId> chosen;
  std::sample(open.begin(), open.end(), std::back_inserter(chosen), kDaemonsAsked, context_.random);
  for (const DaemonId& daemon : chosen) {
    const ExchangeId id = ++last_id_;
    if (links->Send(daemon, ConfigurationQuery{.exchange = id,
                                               .version = context_.caller_keys.version()})) {
      asked_at_[id] = now;
    }
  }
}

bool ConfigurationExchange::OnMessage(const PeerMessage& message, const ReplyFunction& reply) {
  if (const auto* query = std::get_if<ConfigurationQuery>(&message)) {
    Answer(*query, reply);
    return true;
  }
  if (const auto* answer = std::get_if<ConfigurationReply>(&message)) {
    OnReply(*answer);
    return true;
  }
  return false;
}

void ConfigurationExchange::Answer(const ConfigurationQuery& query,
                                   const ReplyFunction& reply) const {
  const auto age = context_.caller_keys.Age(net::Loop::BootNow());
  if (!age) {
    return;
  }
  const ConfigurationVersion version = context_.caller_keys.version();
  reply(ConfigurationReply{
      .exchange = query.exchange,
      .version = version,
      .age_us = age->count(),
      .document = query.version < version ? handlers_.document() : std::string()});
}

void ConfigurationExchange::OnReply(const ConfigurationReply& reply) {
  const auto asked = asked_at_.find(reply.exchange);
  if (asked == asked_at_.end() || reply.age_us < 0) {
    return;
  }
  const BootTime confirmed_at = asked->second - Duration(reply.age_us);
  asked_at_.erase(asked);
  if (reply.version > context_.caller_keys.version() && !ApplyDocument(reply)) {
    return;
  }
  if (reply.version == context_.caller_keys.version()) {
    Confirm(confirmed_at);
  }
}

bool ConfigurationExchange::ApplyDocument(const ConfigurationReply& reply) {
  const ParseConfiguration& parse = context_.options.parse_configuration;
  if (!parse || reply.document.empty()) {
    return false;
  }
  try {
    Configuration configuration = parse(reply.document);
    if (configuration.version != reply.version) {
      return false;
    }
    handlers_.apply(std::move(configuration));
  } catch (const Error& error) {
    LOG(ERROR) << "a configuration received from another daemon is invalid: " << error.what();
    return false;
  }
  return true;
}

}  // namespace acaciaspring::gateway
