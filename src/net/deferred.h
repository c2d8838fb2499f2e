#ifndef ACACIASPRING_SRC_NET_DEFERRED_H_
#define ACACIASPRING_SRC_NET_DEFERRED_H_

#include <uv.h>

#include <functional>
#include <memory>

namespace acaciaspring::net {

/// @brief Runs `callback` at the end of the loop iteration, also while the loop is being destroyed.
void RunAtEndOfIteration(uv_loop_t* loop, std::function<void()> callback);

/// @brief Releases `object` after all handles that are closing at the time of the call have been
/// closed. libuv accesses the memory of a handle until then.
void ReleaseAfterClose(uv_loop_t* loop, std::shared_ptr<void> object);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_DEFERRED_H_
