#include "src/net/deferred.h"

#include <utility>

namespace acaciaspring::net {

namespace {

struct DeferredCall {
  uv_idle_t handle;
  std::function<void()> callback;
};

}  // namespace

void RunAtEndOfIteration(uv_loop_t* loop, std::function<void()> callback) {
  auto* call = new DeferredCall{.handle = {}, .callback = std::move(callback)};
  uv_idle_init(loop, &call->handle);
  call->handle.data = call;
  uv_close(reinterpret_cast<uv_handle_t*>(&call->handle), [](uv_handle_t* handle) {
    const std::unique_ptr<DeferredCall> owned(static_cast<DeferredCall*>(handle->data));
    owned->callback();
  });
}

void ReleaseAfterClose(uv_loop_t* loop, std::shared_ptr<void> object) {
  // libuv runs the close callbacks of one iteration in reverse order, so the first call may run
  // before the handles inside the object are closed. The second call runs one iteration later.
  RunAtEndOfIteration(loop, [loop, object = std::move(object)]() mutable {
    RunAtEndOfIteration(loop, [object = std::move(object)] {});
  });
}

}  // namespace acaciaspring::net
