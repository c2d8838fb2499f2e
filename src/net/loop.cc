#include <glog/logging.h>
#include <uv.h>

#include <csignal>
#include <deque>

#include "acaciaspring/net.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

namespace {

// Closing handles takes a few iterations; more than this means that something is still open.
constexpr int kMaxDrainIterations = 1000;

struct TimerState {
  uv_timer_t handle{};
  std::function<void()> callback;
  bool repeats = false;
  /// Keeps the state until libuv has closed the handle.
  std::shared_ptr<TimerState> self;

  void Close() {
    if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&handle)) == 0) {
      uv_close(reinterpret_cast<uv_handle_t*>(&handle), [](uv_handle_t* closed) {
        const std::shared_ptr<TimerState> last =
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
  state->callback();
}

struct SignalWatch {
  uv_signal_t handle{};
  std::function<void()> callback;
};

std::uint64_t ToMilliseconds(Duration duration) {
  const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return rounded_up > 0 ? static_cast<std::uint64_t>(rounded_up) : 0;
}

Timer StartTimer(uv_loop_t* loop, Duration delay, bool repeats, std::function<void()> callback) {
  auto state = std::make_shared<TimerState>();
  state->callback = std::move(callback);
  state->repeats = repeats;
  state->self = state;
  state->handle.data = state.get();
  // The cached time of the loop is that of the start of the iteration; without the update a timer
  // set late in a long iteration fires too early.
  uv_update_time(loop);
  uv_timer_init(loop, &state->handle);
  const std::uint64_t delay_ms = ToMilliseconds(delay);
  uv_timer_start(&state->handle, OnTimer, delay_ms,
                 repeats ? std::max<std::uint64_t>(delay_ms, 1) : 0);
  return Timer([weak = std::weak_ptr<TimerState>(state)] {
    if (const auto live = weak.lock()) {
      live->Close();
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
  std::deque<std::function<void()>> posted;
  std::vector<std::unique_ptr<SignalWatch>> signals;

  void RunPosted() {
    // Calls posted from within a posted call run in the next iteration.
    std::deque<std::function<void()>> calls;
    calls.swap(posted);
    uv_idle_stop(&idle);
    for (const auto& call : calls) {
      call();
    }
  }
};

Loop::Loop() : impl_(std::make_unique<Impl>()) {
  // A write to a connection that the other side has closed must be an error code, not a signal.
  std::signal(SIGPIPE, SIG_IGN);
  CheckSocket(uv_loop_init(&impl_->loop), "cannot create an event loop");
  uv_idle_init(&impl_->loop, &impl_->idle);
  impl_->idle.data = impl_.get();
}

Loop::~Loop() {
  uv_close(reinterpret_cast<uv_handle_t*>(&impl_->idle), nullptr);
  for (const auto& watch : impl_->signals) {
    uv_close(reinterpret_cast<uv_handle_t*>(&watch->handle), nullptr);
  }
  uv_walk(
      &impl_->loop,
      [](uv_handle_t* handle, void*) {
        // Timers of h2o carry no data; they belong to objects that are being closed.
        if (handle->type == UV_TIMER && handle->data != nullptr &&
            reinterpret_cast<uv_timer_t*>(handle)->timer_cb == OnTimer) {
          static_cast<TimerState*>(handle->data)->Close();
        }
      },
      nullptr);
  int iterations = 0;
  while (uv_loop_close(&impl_->loop) == UV_EBUSY) {
    if (++iterations > kMaxDrainIterations) {
      LOG(ERROR) << "the event loop is destroyed while handles are open";
      // libuv still refers to the loop.
      static_cast<void>(impl_.release());
      return;
    }
    uv_run(&impl_->loop, UV_RUN_NOWAIT);
  }
}

void Loop::Run() {
  uv_run(&impl_->loop, UV_RUN_DEFAULT);
}

void Loop::Stop() {
  uv_stop(&impl_->loop);
}

MonotonicTime Loop::Now() const {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime Loop::WallNow() {
  return std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
}

Timer Loop::After(Duration delay, std::function<void()> callback) {
  return StartTimer(&impl_->loop, delay, /*repeats=*/false, std::move(callback));
}

Timer Loop::Every(Duration period, std::function<void()> callback) {
  return StartTimer(&impl_->loop, period, /*repeats=*/true, std::move(callback));
}

void Loop::Post(std::function<void()> callback) {
  impl_->posted.push_back(std::move(callback));
  uv_idle_start(&impl_->idle, [](uv_idle_t* idle) { static_cast<Impl*>(idle->data)->RunPosted(); });
}

void Loop::OnSignal(int signal_number, std::function<void()> callback) {
  auto watch = std::make_unique<SignalWatch>();
  watch->callback = std::move(callback);
  watch->handle.data = watch.get();
  CheckSocket(uv_signal_init(&impl_->loop, &watch->handle), "cannot watch a signal");
  uv_signal_t* handle = &watch->handle;
  impl_->signals.push_back(std::move(watch));
  // A loop that has nothing but signals to wait for ends.
  uv_unref(reinterpret_cast<uv_handle_t*>(handle));
  const auto on_signal = [](uv_signal_t* raised, int) {
    static_cast<SignalWatch*>(raised->data)->callback();
  };
  CheckSocket(uv_signal_start(handle, on_signal, signal_number), "cannot watch a signal");
}

uv_loop_s* Loop::raw() {
  return &impl_->loop;
}

}  // namespace acaciaspring::net
