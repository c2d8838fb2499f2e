#include "src/gateway/credentials.h"

#include <string>
#include <utility>
#include <vector>

namespace acaciaspring::gateway {

namespace {

// The configuration is read twice a second.
constexpr Duration kConfirmationRetryAfter = std::chrono::milliseconds(250);

/// @brief Removes all headers of the name and returns their values.
std::vector<std::string> TakeHeaders(net::Headers& headers, const std::string& name) {
  std::vector<std::string> values;
  std::erase_if(headers, [&](auto& header) {
    if (header.first != name) {
      return false;
    }
    values.push_back(std::move(header.second));
    return true;
  });
  return values;
}

void PrefixIds(ProgramContext& program, const std::string& prefix) {
  program.id_prefix = prefix;
  program.program = ProgramId(prefix + program.program.value());
  if (!program.session.empty()) {
    program.session = SessionId(prefix + program.session.value());
  }
  if (!program.previous_turn.empty()) {
    program.previous_turn = ledger::TurnId(prefix + program.previous_turn.value());
  }
}

}  // namespace

std::optional<HttpError> Authorise(const Context& context,
                                   const Route& route,
                                   CallerRequest& request,
                                   std::uint32_t& priority) {
  const HeaderNames& names = context.options.headers;
  const std::vector<std::string> keys = TakeHeaders(request.headers, names.caller_key);
  TakeHeaders(request.headers, names.organisation);
  const organisations::KeyDecision decision = context.caller_keys.Admit(keys, net::Loop::BootNow());
  const auto* holds = std::get_if<organisations::KeyHolds>(&decision);
  if (holds == nullptr && !route.open) {
    return std::holds_alternative<organisations::KeyRefused>(decision)
               ? HttpError{.status = 401,
                           .reason = std::string(ToString(NotRunReason::kKeyRefused))}
               : HttpError{.status = 503,
                           .reason = std::string(ToString(NotRunReason::kKeyUnconfirmed)),
                           .retry_after = kConfirmationRetryAfter};
  }
  OrganisationId organisation;
  if (holds != nullptr) {
    organisation = holds->credential.organisation;
    request.headers.emplace_back(names.organisation, organisation.value());
    const organisations::Organisation* known = context.caller_keys.Find(organisation);
    priority = known->priority.value_or(priority);
  }
  if (holds != nullptr && !route.open) {
    request.credential = holds->credential;
  }
  if (request.program) {
    PrefixIds(*request.program, organisations::IdPrefix(organisation));
  }
  return std::nullopt;
}

}  // namespace acaciaspring::gateway
