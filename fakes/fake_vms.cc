// Fake of the platform's list of VMs. Changes become visible after a configurable lag.

#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include "fakes/fake_http_server.h"

namespace acaciaspring::fakes {

namespace {

constexpr std::size_t kMaxRetainedLists = 1000;

bool IsVmList(const Json::Value& list) {
  if (!list.isArray()) {
    return false;
  }
  for (const Json::Value& vm : list) {
    if (!vm.isObject()) {
      return false;
    }
    for (const char* field : {"vm", "address", "zone", "state"}) {
      if (!vm[field].isString()) {
        return false;
      }
    }
    if (vm["state"] != "live" && vm["state"] != "leaving") {
      return false;
    }
  }
  return true;
}

class FakeVms {
 public:
  FakeVms(net::Loop& loop, const net::Address& listen, std::chrono::milliseconds lag)
      : lag_(lag), server_(loop, listen, {"lag_ms"}) {
    lists_.emplace_back(loop.Now(), Json::Value(Json::arrayValue));
    server_.Route("GET", "/vms", [this](const Call& call) { ListVms(call); });
    server_.Route("POST", "/vms", [this](const Call& call) { SetVms(call); });
  }

 private:
  void ListVms(const Call& call) {
    const auto lag = lag_ + std::chrono::milliseconds(server_.faults().Value("lag_ms"));
    const MonotonicTime visible_until = server_.loop().Now() - lag;
    const Json::Value* list = &lists_.front().second;
    for (const auto& [time, candidate] : lists_) {
      if (time <= visible_until) {
        list = &candidate;
      }
    }
    RespondJson(call.responder, 200, *list);
  }

  void SetVms(const Call& call) {
    std::optional<Json::Value> list = ParseJson(call.request.body);
    if (!list || !IsVmList(*list)) {
      RespondError(call.responder, 400, "invalid_body",
                   "body must be an array of {vm, address, zone, state: live or leaving}");
      return;
    }
    server_.Count("changes");
    lists_.emplace_back(server_.loop().Now(), std::move(*list));
    if (lists_.size() > kMaxRetainedLists) {
      lists_.pop_front();
    }
    RespondJson(call.responder, 200, Json::Value(Json::objectValue));
  }

  std::chrono::milliseconds lag_;
  std::deque<std::pair<MonotonicTime, Json::Value>> lists_;
  FakeHttpServer server_;
};

}  // namespace

}  // namespace acaciaspring::fakes

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  int lag_ms = 0;
  po::options_description description("fake_vms");
  description.add_options()("lag-ms", po::value(&lag_ms),
                            "delay until a change of the list becomes visible");
  return fakes::RunFake(
      argc, argv, description,
      [&lag_ms](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeVms>(loop, listen, std::chrono::milliseconds(lag_ms));
      });
}
