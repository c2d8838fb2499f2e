#include <memory>

#include "fakes/fake_engine.h"

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  fakes::EngineOptions options;
  po::options_description description("fake_engine");
  auto add = description.add_options();
  add("concurrency", po::value(&options.batch.concurrency),
      "maximum number of requests in the batch");
  add("prefill-tokens-per-second", po::value(&options.batch.prefill_tokens_per_second),
      "prompt tokens computed per second, shared by all requests");
  add("decode-tokens-per-second", po::value(&options.batch.decode_tokens_per_second),
      "tokens generated per second by each request");
  add("kv-capacity-tokens", po::value(&options.kv_capacity_tokens),
      "capacity of the KV cache in tokens");
  add("models", po::value(&options.models), "served models, comma-separated");
  add("check-fencing", po::bool_switch(&options.check_fencing),
      "refuse orders with a lower fence than the current one");
  add("can-resume", po::bool_switch(&options.can_resume), "accept requests with resume_from");
  add("load-lag-ms", po::value(&options.load_lag_ms), "maximum age of the load report");
  add("events-lag-ms", po::value(&options.events_lag_ms),
      "delay until a cache event becomes visible");
  add("step-ms", po::value(&options.step_ms), "interval between batch steps");
  return fakes::RunFake(
      argc, argv, description,
      [&options](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeEngine>(loop, listen, options);
      });
}
