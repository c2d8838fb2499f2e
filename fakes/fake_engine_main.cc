#include <memory>

#include "fakes/fake_engine.h"

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  fakes::EngineOptions options;
  po::options_description description("fake_engine");
  auto add = description.add_options();
  add("concurrency", po::value(&options.batch.concurrency), "requests that run at the same time");
  add("prefill-tokens-per-second", po::value(&options.batch.prefill_tokens_per_second),
      "prompt tokens computed per second, shared by all requests");
  add("decode-tokens-per-second", po::value(&options.batch.decode_tokens_per_second),
      "tokens generated per second by each request");
  add("kv-capacity-tokens", po::value(&options.kv_capacity_tokens), "KV memory");
  add("models", po::value(&options.models), "models served, comma-separated");
  add("check-fencing", po::bool_switch(&options.check_fencing), "refuse orders with an old fence");
  add("can-resume", po::bool_switch(&options.can_resume), "accept resume_from");
  add("load-lag-ms", po::value(&options.load_lag_ms), "largest age of the load report");
  add("events-lag-ms", po::value(&options.events_lag_ms), "delay of the cache events");
  add("step-ms", po::value(&options.step_ms), "length of a batch step");
  return fakes::RunFake(
      argc, argv, description,
      [&options](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeEngine>(loop, listen, options);
      });
}
