#include <boost/test/unit_test.hpp>

#include "acaciaspring/organisations.h"

namespace acaciaspring::organisations {

namespace {

constexpr Duration kBound = std::chrono::seconds(5);
constexpr Duration kTick = std::chrono::milliseconds(1);

BootTime At(double seconds) {
  return BootTime(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

Organisation Make(const std::string& id, const std::vector<std::string>& keys) {
  Organisation organisation{.id = OrganisationId(id)};
  for (const std::string& key : keys) {
    organisation.keys.push_back(FingerprintOf(key));
  }
  return organisation;
}

CallerKeys MakeKeys(std::optional<Duration> bound = kBound) {
  CallerKeys keys({.withdrawal_bound = bound});
  keys.SetOrganisations(ConfigurationVersion(1), {Make("mill", {"a", "b"}), Make("fit", {"c"})});
  return keys;
}

template <class Expected>
bool Is(const KeyDecision& decision) {
  return std::holds_alternative<Expected>(decision);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(caller_keys)

// Guards against requests that run for another organisation than the one that holds the key.
BOOST_AUTO_TEST_CASE(key_names_its_organisation) {
  CallerKeys keys = MakeKeys();
  keys.Confirm(At(10));
  const KeyDecision decision = keys.Admit({"c"}, At(10));
  BOOST_REQUIRE(Is<KeyHolds>(decision));
  BOOST_TEST(std::get<KeyHolds>(decision).credential.organisation == OrganisationId("fit"));
}

// Guards against refusals for good by a daemon that has not yet read a newer configuration.
BOOST_AUTO_TEST_CASE(unknown_key_is_refused_only_if_the_configuration_is_the_newest) {
  CallerKeys keys = MakeKeys();
  BOOST_TEST(Is<KeyUnconfirmed>(keys.Admit({"x"}, At(10))));
  keys.Confirm(At(10));
  BOOST_TEST(Is<KeyRefused>(keys.Admit({"x"}, At(10.5))));
  BOOST_TEST(Is<KeyUnconfirmed>(keys.Admit({"x"}, At(11))));
}

// Guards against keys that are guessed from an empty or ambiguous header.
BOOST_AUTO_TEST_CASE(missing_empty_repeated_and_large_keys_are_refused) {
  CallerKeys keys = MakeKeys();
  keys.Confirm(At(10));
  BOOST_TEST(Is<KeyRefused>(keys.Admit({}, At(10))));
  BOOST_TEST(Is<KeyRefused>(keys.Admit({""}, At(10))));
  BOOST_TEST(Is<KeyRefused>(keys.Admit({"a", "a"}, At(10))));
  BOOST_TEST(Is<KeyRefused>(keys.Admit({std::string(16 << 10, 'a')}, At(10))));
}

// Guards against service of a withdrawn key by a daemon that does not hear of the withdrawal.
BOOST_AUTO_TEST_CASE(key_is_accepted_only_while_its_confirmation_is_younger_than_the_bound) {
  CallerKeys keys = MakeKeys();
  BOOST_TEST(Is<KeyUnconfirmed>(keys.Admit({"a"}, At(10))));
  keys.Confirm(At(10));
  BOOST_TEST(Is<KeyHolds>(keys.Admit({"a"}, At(15) - kTick)));
  BOOST_TEST(Is<KeyUnconfirmed>(keys.Admit({"a"}, At(15))));
}

// Guards against an earlier reply that arrives late and takes the confirmation back.
BOOST_AUTO_TEST_CASE(older_confirmation_does_not_replace_a_newer_one) {
  CallerKeys keys = MakeKeys();
  keys.Confirm(At(10));
  keys.Confirm(At(8));
  BOOST_TEST(Is<KeyHolds>(keys.Admit({"a"}, At(14))));
}

// Guards against a confirmation of the former configuration that counts for the next one.
BOOST_AUTO_TEST_CASE(newer_configuration_needs_its_own_confirmation) {
  CallerKeys keys = MakeKeys();
  keys.Confirm(At(10));
  keys.SetOrganisations(ConfigurationVersion(2), {Make("mill", {"a"})});
  BOOST_TEST(Is<KeyUnconfirmed>(keys.Admit({"a"}, At(10))));
}

// Guards against calls that waited in a queue and run after their key was withdrawn.
BOOST_AUTO_TEST_CASE(waiting_call_is_refused_once_its_key_is_withdrawn) {
  CallerKeys keys = MakeKeys();
  keys.Confirm(At(10));
  const Credential credential = std::get<KeyHolds>(keys.Admit({"b"}, At(10))).credential;
  BOOST_TEST(Is<KeyHolds>(keys.Check(credential, At(11))));
  keys.SetOrganisations(ConfigurationVersion(2), {Make("mill", {"a"}), Make("fit", {"c"})});
  keys.Confirm(At(11));
  BOOST_TEST(Is<KeyRefused>(keys.Check(credential, At(11))));
}

// Guards against a key that moved to another organisation while its call waited.
BOOST_AUTO_TEST_CASE(waiting_call_is_refused_once_its_key_belongs_to_another_organisation) {
  CallerKeys keys = MakeKeys();
  keys.Confirm(At(10));
  const Credential credential = std::get<KeyHolds>(keys.Admit({"b"}, At(10))).credential;
  keys.SetOrganisations(ConfigurationVersion(2), {Make("mill", {"a"}), Make("fit", {"b", "c"})});
  keys.Confirm(At(11));
  BOOST_TEST(Is<KeyRefused>(keys.Check(credential, At(11))));
}

// Guards against refusals by an owner that learns of a new key later than the receiving daemon.
BOOST_AUTO_TEST_CASE(owner_accepts_a_key_of_a_newer_configuration) {
  CallerKeys keys = MakeKeys();
  keys.Confirm(At(10));
  const Credential credential{.organisation = OrganisationId("new"),
                              .key = FingerprintOf("n"),
                              .version = ConfigurationVersion(2)};
  BOOST_TEST(Is<KeyHolds>(keys.Check(credential, At(10))));
}

// Guards against deployments without a bound that stop when the store is away.
BOOST_AUTO_TEST_CASE(without_a_bound_keys_need_no_confirmation) {
  CallerKeys keys = MakeKeys(std::nullopt);
  BOOST_TEST(!keys.needs_confirmation());
  BOOST_TEST(Is<KeyHolds>(keys.Admit({"a"}, At(1000))));
}

// Guards against ids of two organisations that read alike once they are prefixed.
BOOST_AUTO_TEST_CASE(prefixed_ids_of_different_organisations_differ) {
  const auto scoped = [](const std::string& organisation, const std::string& id) {
    return IdPrefix(OrganisationId(organisation)) + id;
  };
  BOOST_TEST(scoped("a", "b/c") != scoped("a/b", "c"));
  BOOST_TEST(scoped("a%2Fb", "c") != scoped("a/b", "c"));
  BOOST_TEST(scoped("", "a/b") != scoped("a", "b"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::organisations
