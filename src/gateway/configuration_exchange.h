#ifndef ACACIASPRING_SRC_GATEWAY_CONFIGURATION_EXCHANGE_H_
#define ACACIASPRING_SRC_GATEWAY_CONFIGURATION_EXCHANGE_H_

#include <functional>
#include <string>
#include <unordered_map>

#include "src/gateway/context.h"
#include "src/gateway/peer_links.h"

namespace acaciaspring::gateway {

/// @brief Functions that the exchange needs from the daemon.
struct ConfigurationExchangeHandlers {
  std::function<PeerLinks*()> links = {};
  /// The document of the current configuration.
  std::function<std::string()> document = {};
  std::function<void(Configuration)> apply = {};
};

/// @brief Asks other daemons whether the configuration is the newest one while the store does not
/// answer, and answers their queries.
class ConfigurationExchange {
 public:
  ConfigurationExchange(Context& context, ConfigurationExchangeHandlers handlers)
      : context_(context), handlers_(std::move(handlers)) {}

  void Start();
  /// @brief The current configuration was the newest one at some time after `asked_at`.
  void Confirm(BootTime asked_at);
  /// @brief Returns false if the message is of another kind.
  bool OnMessage(const PeerMessage& message, const ReplyFunction& reply);

 private:
  void Ask();
  void Answer(const ConfigurationQuery& query, const ReplyFunction& reply) const;
  void OnReply(const ConfigurationReply& reply);
  bool ApplyDocument(const ConfigurationReply& reply);
  /// @brief Logs when keys can no longer be accepted, and when they can again.
  void LogState();

  Context& context_;
  ConfigurationExchangeHandlers handlers_;
  net::Timer timer_;
  ExchangeId last_id_;
  /// When the queries that may still be answered were sent.
  std::unordered_map<ExchangeId, BootTime> asked_at_;
  bool confirmed_ = true;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CONFIGURATION_EXCHANGE_H_
