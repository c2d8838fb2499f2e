#include "src/bench/workload.h"

#include <algorithm>
#include <cmath>

namespace acaciaspring::bench {
namespace {

constexpr double kUtilisation = 0.85;

PriorityClassPolicy Policy(const char* name, std::uint32_t rank, double share, int target_ms) {
  return {.id = PriorityClassId(name),
          .rank = rank,
          .minimum_share = share,
          .first_token_target = std::chrono::milliseconds(target_ms)};
}

std::uint32_t DrawTokens(double mean, std::mt19937_64& random) {
  // A lognormal with sigma 0.6: most turns are near the mean, a few are several times as long.
  constexpr double kSigma = 0.6;
  std::lognormal_distribution<double> any(std::log(mean) - kSigma * kSigma / 2, kSigma);
  return static_cast<std::uint32_t>(std::clamp(any(random), 1.0, 16 * mean));
}

double Rate(const Deployment& deployment,
            Workload workload,
            const std::vector<double>& capacity,
            std::size_t c) {
  const bool least = c + 1 == deployment.classes.size();
  if (workload == Workload::kLeastUrgentFlood && least) {
    return 3 * capacity[c];
  }
  if (workload == Workload::kMostUrgentFlood && c == 0) {
    return 2 * capacity[c];
  }
  return kUtilisation * deployment.classes[c].load * capacity[c];
}

}  // namespace

Deployment MillTicketDesk() {
  return {.name = "mill",
          .classes = {{.policy = Policy("alert", 0, 0, 1200),
                       .load = 0.1,
                       .min_turns = 1,
                       .max_turns = 3,
                       .shared_tokens = 800,
                       .mean_new_tokens = 300,
                       .mean_output = 60,
                       .mean_pause_s = 0.5},
                      {.policy = Policy("chat", 1, 0.25, 1200),
                       .load = 0.3,
                       .min_turns = 3,
                       .max_turns = 10,
                       .shared_tokens = 1500,
                       .mean_new_tokens = 250,
                       .mean_output = 150,
                       .mean_pause_s = 12,
                       .pause_is_user = true},
                      {.policy = Policy("dispatch", 2, 0.15, 5000),
                       .load = 0.6,
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
          .classes = {{.policy = Policy("chat", 0, 0, 1200),
                       .load = 0.5,
                       .min_turns = 4,
                       .max_turns = 12,
                       .shared_tokens = 3000,
                       .shared_variants = 2,
                       .mean_new_tokens = 350,
                       .mean_output = 150,
                       .mean_pause_s = 10,
                       .pause_is_user = true},
                      {.policy = Policy("follow-up", 1, 0.2, 5000),
                       .load = 0.5,
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
  const auto pick = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  ProgramSpec program;
  program.id = ProgramId(deployment.name + "-" + std::to_string(number));
  program.priority_class = priority_class;
  program.organisation = pick(0, deployment.organisations - 1);
  const int variant = pick(1, spec.shared_variants);
  program.shared = PrefixId(1000 * (priority_class + 1) + static_cast<std::uint64_t>(variant));
  program.shared_tokens = spec.shared_tokens;
  program.turns.resize(static_cast<std::size_t>(pick(spec.min_turns, spec.max_turns)));
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
  const auto add = [&](std::size_t c, double rate, double from, std::uint64_t stream, int org) {
    std::mt19937_64 random(Hash64(std::to_string(stream), seed));
    std::exponential_distribution<double> gap(rate);
    for (double at = from + gap(random); at < horizon.end_of_arrivals(); at += gap(random)) {
      programs.push_back(DrawProgram(deployment, c, ++number, random));
      programs.back().start_s = at;
      for (Turn& turn : programs.back().turns) {
        turn.pause_s *= workload == Workload::kTightMemory ? 4 : 1;
      }
      if (org >= 0) {
        programs.back().organisation = org;
      }
    }
  };
  for (std::size_t c = 0; c < deployment.classes.size(); ++c) {
    const double normal = Rate(deployment, Workload::kNormal, capacity, c);
    add(c, normal, 0, c, -1);
    // The flood comes on top from the end of the warm-up, so that the other programs are the same.
    const double extra = Rate(deployment, workload, capacity, c) - normal;
    if (extra > 0) {
      add(c, extra, horizon.warm_up_s, 100 + c, -1);
    }
  }
  if (workload == Workload::kOrganisationFlood) {
    const std::size_t c = deployment.classes.size() - 1;
    add(c, 3 * capacity[c], horizon.warm_up_s, 200, kFloodingOrganisation);
  }
  std::ranges::stable_sort(programs, {}, &ProgramSpec::start_s);
  return programs;
}

}  // namespace acaciaspring::bench
