#include <uv.h>

#include <utility>

#include "acaciaspring/net.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

/// @brief The libuv handles, which outlive the check until they are closed.
struct ConnectCheck::Handles {
  uv_tcp_t socket{};
  uv_connect_t request{};
  /// Null after the check has ended.
  ConnectCheck* check = nullptr;
};

ConnectCheck::ConnectCheck(Loop& loop, const Address& address, Duration timeout, OnDone on_done)
    : on_done_(std::move(on_done)), handles_(std::make_unique<Handles>().release()) {
  const sockaddr_in socket_address = ToSocketAddress(address);
  handles_->check = this;
  uv_tcp_init(loop.raw(), &handles_->socket);
  handles_->socket.data = handles_;
  handles_->request.data = handles_;
  timer_ = loop.After(timeout, [this] { Finish(ConnectResult::kNoAnswer); });
  const auto on_connected = [](uv_connect_t* request, int status) {
    const auto* handles = static_cast<Handles*>(request->data);
    if (handles->check != nullptr) {
      handles->check->Finish(status == 0                 ? ConnectResult::kAccepted
                             : status == UV_ECONNREFUSED ? ConnectResult::kRefused
                                                         : ConnectResult::kNoAnswer);
    }
  };
  if (uv_tcp_connect(&handles_->request, &handles_->socket,
                     reinterpret_cast<const sockaddr*>(&socket_address), on_connected) != 0) {
    timer_ = loop.After(Duration(0), [this] { Finish(ConnectResult::kNoAnswer); });
  }
}

ConnectCheck::~ConnectCheck() {
  CloseHandles();
}

void ConnectCheck::CloseHandles() {
  if (Handles* handles = std::exchange(handles_, nullptr)) {
    handles->check = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&handles->socket), [](uv_handle_t* closed) {
      const std::unique_ptr<Handles> owned(static_cast<Handles*>(closed->data));
    });
  }
}

void ConnectCheck::Finish(ConnectResult result) {
  timer_.Cancel();
  CloseHandles();
  // The callback may delete the check.
  const OnDone on_done = std::exchange(on_done_, nullptr);
  on_done(result);
}

}  // namespace acaciaspring::net
