#include "src/bench/workload.h"

#include <algorithm>
#include <cmath>

namespace acaciaspring::bench {
namespace {

// Utilisation of the deployment in the normal workload.
constexpr double kNormalUtilisation = 0.85;

PriorityClassPolicy MakePolicy(const char* name, std::uint32_t rank, double share, int target_ms) {
  return {.id = PriorityClassId(name),
          .rank = rank,
          .minimum_share = share,
          .first_token_target = std::chrono::milliseconds(target_ms)};
}

std::uint32_t DrawTokens(double mean, std::mt19937_64& random) {
  // Log-normal with sigma 0.6: most turns are near the mean, and a few are several times as long.
  constexpr double kSigma = 0.6;
  std::lognormal_distribution<double> distribution(std::log(mean) - kSigma * kSigma / 2, kSigma);
  return static_cast<std::uint32_t>(std::clamp(distribution(random), 1.0, 16 * mean));
}

double ArrivalRate(const Deployment& deployment,
                   Workload workload,
                   const std::vector<double>& capacity,
                   std::size_t class_index) {
  const bool is_least_urgent = class_index + 1 == deployment.classes.size();
  if (workload == Workload::kLeastUrgentFlood && is_least_urgent) {
    return 3 * capacity[class_index];
  }
  if (workload == Workload::kMostUrgentFlood && class_index == 0) {
    return 2 * capacity[class_index];
  }
  return kNormalUtilisation * deployment.classes[class_index].load_share * capacity[class_index];
}

}  // namespace

Deployment MillTicketDesk() {
  return {.name = "mill",
          .classes = {{.policy = MakePolicy("alert", 0, 0, 1200),
                       .load_share = 0.1,
                       .min_turns = 1,
                       .max_turns = 3,
                       .shared_tokens = 800,
                       .mean_new_tokens = 300,
                       .mean_output = 60,
                       .mean_pause_s = 0.5},
                      {.policy = MakePolicy("chat", 1, 0.25, 1200),
                       .load_share = 0.3,
                       .min_turns = 3,
                       .max_turns = 10,
                       .shared_tokens = 1500,
                       .mean_new_tokens = 250,
                       .mean_output = 150,
                       .mean_pause_s = 12,
                       .pause_is_user_time = true},
                      {.policy = MakePolicy("dispatch", 2, 0.15, 5000),
                       .load_share = 0.6,
                       .min_turns = 15,
                       .max_turns = 45,
                       .shared_tokens = 12'000,
                       .shared_variants = 6,
                       .mean_new_tokens = 500,
                       .mean_output = 90,
                       .mean_pause_s = 1.5}}};
}

Deployment SaddleFitting() {
  return {.name = "saddle",
          .classes = {{.policy = MakePolicy("chat", 0, 0, 1200),
                       .load_share = 0.5,
                       .min_turns = 4,
                       .max_turns = 12,
                       .shared_tokens = 3000,
                       .shared_variants = 2,
                       .mean_new_tokens = 350,
                       .mean_output = 150,
                       .mean_pause_s = 10,
                       .pause_is_user_time = true},
                      {.policy = MakePolicy("follow-up", 1, 0.2, 5000),
                       .load_share = 0.5,
                       .min_turns = 10,
                       .max_turns = 30,
                       .shared_tokens = 6000,
                       .shared_variants = 4,
                       .mean_new_tokens = 600,
                       .mean_output = 120,
                       .mean_pause_s = 2}}};
}

std::string_view WorkloadName(Workload workload) {
  switch (workload) {
    case Workload::kNormal:
      return "normal";
    case Workload::kLeastUrgentFlood:
      return "least-urgent-flood";
    case Workload::kMostUrgentFlood:
      return "most-urgent-flood";
    case Workload::kEndpointLoss:
      return "endpoint-loss";
    case Workload::kOrganisationFlood:
      return "organisation-flood";
    case Workload::kBusyDay:
      return "busy-day";
    case Workload::kTightMemory:
      return "tight-memory";
  }
  return "";
}

ProgramSpec DrawProgram(const Deployment& deployment,
                        std::size_t priority_class,
                        std::uint64_t number,
                        std::mt19937_64& random) {
  const ClassSpec& spec = deployment.classes[priority_class];
  const auto draw_int = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  ProgramSpec program;
  program.id = ProgramId(deployment.name + "-" + std::to_string(number));
  program.priority_class = priority_class;
  program.organisation = draw_int(0, deployment.organisations - 1);
  const int variant = draw_int(1, spec.shared_variants);
  program.shared_prefix =
      PrefixId(1000 * (priority_class + 1) + static_cast<std::uint64_t>(variant));
  program.shared_tokens = spec.shared_tokens;
  program.turns.resize(static_cast<std::size_t>(draw_int(spec.min_turns, spec.max_turns)));
  for (Turn& turn : program.turns) {
    turn.new_tokens = DrawTokens(spec.mean_new_tokens, random);
    turn.output = DrawTokens(spec.mean_output, random);
    turn.pause_s = std::exponential_distribution<double>(1 / spec.mean_pause_s)(random);
  }
  return program;
}

std::vector<ProgramSpec> GeneratePrograms(const Deployment& deployment,
                                          Workload workload,
                                          const std::vector<double>& capacity,
                                          const Horizon& horizon,
                                          std::uint64_t seed) {
  std::vector<ProgramSpec> programs;
  std::uint64_t number = 0;
  const auto add = [&](std::size_t class_index, double rate, double begin_s,
                       std::uint64_t random_stream, int organisation) {
    std::mt19937_64 random(Hash64(std::to_string(random_stream), seed));
    std::exponential_distribution<double> interarrival_s(rate);
    for (double start_s = begin_s + interarrival_s(random); start_s < horizon.end_of_arrivals();
         start_s += interarrival_s(random)) {
      programs.push_back(DrawProgram(deployment, class_index, ++number, random));
      programs.back().start_s = start_s;
      for (Turn& turn : programs.back().turns) {
        turn.pause_s *= workload == Workload::kTightMemory ? 4 : 1;
      }
      if (organisation >= 0) {
        programs.back().organisation = organisation;
      }
    }
  };
  for (std::size_t class_index = 0; class_index < deployment.classes.size(); ++class_index) {
    const double normal_rate = ArrivalRate(deployment, Workload::kNormal, capacity, class_index);
    add(class_index, normal_rate, 0, class_index, -1);
    // The programs of a flood are added from the end of the warm-up and drawn separately, so that
    // all other programs are the same as in the normal workload.
    const double flood_rate =
        ArrivalRate(deployment, workload, capacity, class_index) - normal_rate;
    if (flood_rate > 0) {
      add(class_index, flood_rate, horizon.warm_up_s, 100 + class_index, -1);
    }
  }
  if (workload == Workload::kOrganisationFlood) {
    const std::size_t class_index = deployment.classes.size() - 1;
    add(class_index, 3 * capacity[class_index], horizon.warm_up_s, 200, kFloodingOrganisation);
  }
  std::ranges::stable_sort(programs, {}, &ProgramSpec::start_s);
  return programs;
}

}  // namespace acaciaspring::bench
