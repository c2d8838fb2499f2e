// List of VMs that lags behind the changes.

#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include "fakes/fake_http_server.h"

namespace acaciaspring::fakes {

namespace {

constexpr std::size_t kKeptLists = 1000;

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
      : lag_(lag), service_(loop, listen, {"lag_ms"}) {
    lists_.emplace_back(loop.Now(), Json::Value(Json::arrayValue));
    service_.Route("GET", "/vms", [this](const Call& call) { List(call); });
    service_.Route("POST", "/vms", [this](const Call& call) { Set(call); });
  }

 private:
  void List(const Call& call) {
    const auto lag = lag_ + std::chrono::milliseconds(service_.faults().Value("lag_ms"));
    const MonotonicTime visible = service_.loop().Now() - lag;
    const Json::Value* list = &lists_.front().second;
    for (const auto& [time, candidate] : lists_) {
      if (time <= visible) {
        list = &candidate;
      }
    }
    RespondJson(call.responder, 200, *list);
  }

  void Set(const Call& call) {
    std::optional<Json::Value> list = ParseJson(call.request.body);
    if (!list || !IsVmList(*list)) {
      RespondError(call.responder, 400, "invalid_body",
                   "a list of {vm, address, zone, state: live or leaving} is required");
      return;
    }
    service_.Count("changes");
    lists_.emplace_back(service_.loop().Now(), std::move(*list));
    if (lists_.size() > kKeptLists) {
      lists_.pop_front();
    }
    RespondJson(call.responder, 200, Json::Value(Json::objectValue));
  }

  std::chrono::milliseconds lag_;
  std::deque<std::pair<MonotonicTime, Json::Value>> lists_;
  FakeHttpServer service_;
};

}  // namespace

}  // namespace acaciaspring::fakes

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  int lag_ms = 0;
  po::options_description description("fake_vms");
  description.add_options()("lag-ms", po::value(&lag_ms), "age of the list");
  return fakes::RunFake(
      argc, argv, description,
      [&lag_ms](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeVms>(loop, listen, std::chrono::milliseconds(lag_ms));
      });
}
