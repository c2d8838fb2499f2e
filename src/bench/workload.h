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
  /// Part of the utilisation of a normal day.
  double load = 0;
  int min_turns = 1;
  int max_turns = 1;
  /// Tokens of the manual or system prompt, and how many different ones there are.
  std::uint32_t shared_tokens = 0;
  int shared_variants = 1;
  double mean_new_tokens = 0;
  double mean_output = 0;
  /// Between two turns the program waits for a tool, or for its user (not counted as latency).
  double mean_pause_s = 0;
  bool pause_is_user = false;
};

struct Deployment {
  std::string name;
  std::vector<ClassSpec> classes;
  int organisations = 5;
  int endpoints = 12;
};

Deployment MillTicketDesk();
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
  PrefixId shared;
  std::uint32_t shared_tokens = 0;
  std::vector<Turn> turns;
};

enum class Workload : std::uint8_t {
  kNormal,
  kLeastUrgentFlood,
  kMostUrgentFlood,
  kEndpointLoss,
  kOrganisationFlood,
  /// 85 % of what the policy completes at saturation, which overloads least-loaded routing.
  kBusyDay,
  /// A busy day with little cache memory and pauses of four times the length.
  kTightMemory,
};
inline constexpr Workload kWorkloads[] = {
    Workload::kNormal,       Workload::kLeastUrgentFlood,  Workload::kMostUrgentFlood,
    Workload::kEndpointLoss, Workload::kOrganisationFlood, Workload::kBusyDay,
    Workload::kTightMemory};
std::string_view WorkloadName(Workload workload);

/// @brief The organisation that floods in kOrganisationFlood.
inline constexpr int kFloodingOrganisation = 0;

struct Horizon {
  double warm_up_s = 200;
  double measured_s = 400;
  double drain_s = 200;
  double end_of_arrivals() const { return warm_up_s + measured_s; }
  double end() const { return end_of_arrivals() + drain_s; }
};

/// @brief Draws programs of one class; the same seed gives the same programs.
ProgramSpec DrawProgram(const Deployment& deployment,
                        std::size_t priority_class,
                        std::uint64_t number,
                        std::mt19937_64& random);

/// @brief All programs of a run in order of arrival. `capacity` is the number of programs per
/// second that the deployment completes if it serves only that class.
std::vector<ProgramSpec> GeneratePrograms(const Deployment& deployment,
                                          Workload workload,
                                          const std::vector<double>& capacity,
                                          const Horizon& horizon,
                                          std::uint64_t seed);

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_WORKLOAD_H_
