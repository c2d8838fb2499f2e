#ifndef ACACIASPRING_SRC_BENCH_WORKLOAD_H_
#define ACACIASPRING_SRC_BENCH_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/routing.h"
#include "acaciaspring/scheduling.h"

namespace acaciaspring::bench {

/// @brief One kind of program of a deployment; each kind has its own priority class.
struct ClassSpec {
  PriorityClassPolicy policy;
  /// Share of the class in the utilisation of the normal workload.
  double load_share = 0;
  int min_turns = 1;
  int max_turns = 1;
  /// Length in tokens and number of the different prefixes (manual or system prompt) that programs
  /// of the class share.
  std::uint32_t shared_tokens = 0;
  int shared_variants = 1;
  double mean_new_tokens = 0;
  double mean_output = 0;
  /// Mean pause between two turns, in which the program waits for a tool or for its user. Pauses
  /// for the user do not count as latency.
  double mean_pause_s = 0;
  bool pause_is_user_time = false;
};

struct Deployment {
  std::string name;
  std::vector<ClassSpec> classes;
  int organisations = 5;
  int endpoints = 12;
};

/// @brief Ticket desk of a mill: short alerts, chats with users and long dispatch programs.
Deployment MillTicketDesk();
/// @brief Saddle fitting: chats with users and longer follow-up programs.
Deployment SaddleFitting();

struct Turn {
  std::uint32_t new_tokens = 0;
  std::uint32_t output = 1;
  double pause_s = 0;
};

struct ProgramSpec {
  ProgramId id;
  std::size_t priority_class = 0;
  int organisation = 0;
  double start_s = 0;
  PrefixId shared_prefix;
  std::uint32_t shared_tokens = 0;
  std::vector<Turn> turns;
};

enum class Workload : std::uint8_t {
  kNormal,
  kLeastUrgentFlood,
  kMostUrgentFlood,
  kEndpointLoss,
  kOrganisationFlood,
  /// 85 % of the rate that the policy completes at saturation, which overloads least-loaded
  /// routing.
  kBusyDay,
  /// The busy day with less KV memory and pauses four times as long.
  kTightMemory,
};
inline constexpr Workload kWorkloads[] = {
    Workload::kNormal,       Workload::kLeastUrgentFlood,  Workload::kMostUrgentFlood,
    Workload::kEndpointLoss, Workload::kOrganisationFlood, Workload::kBusyDay,
    Workload::kTightMemory};
std::string_view WorkloadName(Workload workload);

/// @brief Organisation that sends the additional programs of kOrganisationFlood.
inline constexpr int kFloodingOrganisation = 0;

/// @brief Durations of the phases of a run. Programs arrive during the warm-up and the measured
/// phase.
struct Horizon {
  double warm_up_s = 200;
  double measured_s = 400;
  double drain_s = 200;
  double end_of_arrivals() const { return warm_up_s + measured_s; }
  double end() const { return end_of_arrivals() + drain_s; }
};

/// @brief Draws a program of the class; the same state of `random` gives the same program.
ProgramSpec DrawProgram(const Deployment& deployment,
                        std::size_t priority_class,
                        std::uint64_t number,
                        std::mt19937_64& random);

/// @brief Draws all programs of a run in order of arrival. `capacity` is, by class, the number of
/// programs per second that the deployment completes if it serves only that class.
std::vector<ProgramSpec> GeneratePrograms(const Deployment& deployment,
                                          Workload workload,
                                          const std::vector<double>& capacity,
                                          const Horizon& horizon,
                                          std::uint64_t seed);

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_WORKLOAD_H_
