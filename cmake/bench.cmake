# Benchmarks.
file(GLOB bench_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/bench/*.cc)
acaciaspring_program(acaciaspring_policy_bench SOURCES src/main/policy_bench.cc ${bench_sources}
  DEPENDS acaciaspring_scheduling acaciaspring_routing)
acaciaspring_program(decision_bench SOURCES src/main/decision_bench.cc
  DEPENDS acaciaspring_scheduling acaciaspring_routing acaciaspring_gateway benchmark::benchmark)
acaciaspring_program(capacity_bench SOURCES src/main/capacity_bench.cc DEPENDS acaciaspring_journal acaciaspring_placement)
