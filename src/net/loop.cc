#include <glog/logging.h>
#include <uv.h>

#include <csignal>
#include <deque>

#include "acaciaspring/net.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

namespace {

// Closing handles takes a few iterations. More iterations than this mean that a handle is leaked.
constexpr int kMaxCloseIterations = 1000;

struct TimerState {
  uv_timer_t handle{};
  Loop* loop = nullptr;
  std::function<void()> callback;
  bool repeats = false;
  /// Keeps the state alive until libuv has closed the handle.
  std::shared_ptr<TimerState> self;

  void Close() {
    if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&handle)) == 0) {
      uv_close(reinterpret_cast<uv_handle_t*>(&handle), [](uv_handle_t* closed) {
        const std::shared_ptr<TimerState> state =
            std::move(static_cast<TimerState*>(closed->data)->self);
      });
    }
  }
};

void OnTimer(uv_timer_t* handle) {
  const std::shared_ptr<TimerState> state = static_cast<TimerState*>(handle->data)->self;
  if (!state->repeats) {
    state->Close();
  }
  state->loop->RunGuarded(state->callback);
}

struct SignalWatcher {
  uv_signal_t handle{};
  Loop* loop = nullptr;
  std::function<void()> callback;
};

std::uint64_t ToMilliseconds(Duration duration) {
  const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return rounded_up > 0 ? static_cast<std::uint64_t>(rounded_up) : 0;
}

Timer StartTimer(Loop& owner, Duration delay, bool repeats, std::function<void()> callback) {
  uv_loop_t* loop = owner.raw();
  auto state = std::make_shared<TimerState>();
  state->loop = &owner;
  state->callback = std::move(callback);
  state->repeats = repeats;
  state->self = state;
  state->handle.data = state.get();
  // libuv caches the time at the start of an iteration. Without the update, a timer that is started
  // late in a long iteration fires too early.
  uv_update_time(loop);
  uv_timer_init(loop, &state->handle);
  const std::uint64_t delay_ms = ToMilliseconds(delay);
  uv_timer_start(&state->handle, OnTimer, delay_ms,
                 repeats ? std::max<std::uint64_t>(delay_ms, 1) : 0);
  return Timer([weak = std::weak_ptr<TimerState>(state)] {
    if (const auto timer = weak.lock()) {
      timer->Close();
    }
  });
}

}  // namespace

Timer& Timer::operator=(Timer&& other) noexcept {
  if (this != &other) {
    Cancel();
    cancel_ = std::exchange(other.cancel_, nullptr);
  }
  return *this;
}

void Timer::Cancel() {
  if (const auto cancel = std::exchange(cancel_, nullptr)) {
    cancel();
  }
}

struct Loop::Impl {
  uv_loop_t loop{};
  uv_idle_t idle{};
  bool stopped = false;
  std::deque<std::function<void()>> posted;
  std::vector<std::unique_ptr<SignalWatcher>> signals;
  std::function<void(const std::exception&)> on_error;

  bool RunGuarded(const std::function<void()>& callback) const {
    if (!on_error) {
      callback();
      return true;
    }
    try {
      callback();
      return true;
    } catch (const std::exception& error) {
      on_error(error);
      return false;
    }
  }

  void RunPosted() {
    // Callbacks posted from within a posted callback run in the next iteration.
    std::deque<std::function<void()>> calls;
    calls.swap(posted);
    uv_idle_stop(&idle);
    for (const auto& call : calls) {
      RunGuarded(call);
    }
  }
};

Loop::Loop() : impl_(std::make_unique<Impl>()) {
  // Writing to a connection that the peer has closed must return an error, not raise a signal.
  std::signal(SIGPIPE, SIG_IGN);
  ThrowIfSocketError(uv_loop_init(&impl_->loop), "cannot create an event loop");
  uv_idle_init(&impl_->loop, &impl_->idle);
  impl_->idle.data = impl_.get();
}

Loop::~Loop() {
  uv_close(reinterpret_cast<uv_handle_t*>(&impl_->idle), nullptr);
  for (const auto& watcher : impl_->signals) {
    uv_close(reinterpret_cast<uv_handle_t*>(&watcher->handle), nullptr);
  }
  uv_walk(
      &impl_->loop,
      [](uv_handle_t* handle, void*) {
        // Timers of h2o have no data; they belong to objects that are being closed already.
        if (handle->type == UV_TIMER && handle->data != nullptr &&
            reinterpret_cast<uv_timer_t*>(handle)->timer_cb == OnTimer) {
          static_cast<TimerState*>(handle->data)->Close();
        }
      },
      nullptr);
  int iterations = 0;
  while (uv_loop_close(&impl_->loop) == UV_EBUSY) {
    if (++iterations > kMaxCloseIterations) {
      LOG(ERROR) << "event loop destroyed while handles are still open";
      // Leak the loop, because libuv still refers to it.
      static_cast<void>(impl_.release());
      return;
    }
    uv_run(&impl_->loop, UV_RUN_NOWAIT);
  }
}

void Loop::Run() {
  impl_->stopped = false;
  while (!impl_->stopped && uv_run(&impl_->loop, UV_RUN_ONCE) != 0) {
  }
}

void Loop::Stop() {
  // h2o runs the loop once more while it disposes of a context, which would reset the flag of
  // libuv.
  impl_->stopped = true;
  uv_stop(&impl_->loop);
}

MonotonicTime Loop::Now() const {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime Loop::WallNow() {
  return std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
}

BootTime Loop::BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return BootTime(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                       std::chrono::nanoseconds(now.tv_nsec)));
}

Timer Loop::After(Duration delay, std::function<void()> callback) {
  return StartTimer(*this, delay, /*repeats=*/false, std::move(callback));
}

Timer Loop::Every(Duration period, std::function<void()> callback) {
  return StartTimer(*this, period, /*repeats=*/true, std::move(callback));
}

void Loop::Post(std::function<void()> callback) {
  impl_->posted.push_back(std::move(callback));
  uv_idle_start(&impl_->idle, [](uv_idle_t* idle) { static_cast<Impl*>(idle->data)->RunPosted(); });
}

void Loop::OnSignal(int signal_number, std::function<void()> callback) {
  auto watcher = std::make_unique<SignalWatcher>();
  watcher->loop = this;
  watcher->callback = std::move(callback);
  watcher->handle.data = watcher.get();
  ThrowIfSocketError(uv_signal_init(&impl_->loop, &watcher->handle),
                     "cannot create a signal handle");
  uv_signal_t* handle = &watcher->handle;
  impl_->signals.push_back(std::move(watcher));
  // Signal handles alone must not keep Run() from returning.
  uv_unref(reinterpret_cast<uv_handle_t*>(handle));
  const auto on_signal = [](uv_signal_t* raised, int) {
    const auto* raised_watcher = static_cast<SignalWatcher*>(raised->data);
    raised_watcher->loop->RunGuarded(raised_watcher->callback);
  };
  ThrowIfSocketError(uv_signal_start(handle, on_signal, signal_number), "cannot handle signal");
}

void Loop::OnError(std::function<void(const std::exception&)> handler) {
  impl_->on_error = std::move(handler);
}

bool Loop::RunGuarded(const std::function<void()>& callback) {
  return impl_->RunGuarded(callback);
}

uv_loop_s* Loop::raw() {
  return &impl_->loop;
}

}  // namespace acaciaspring::net
