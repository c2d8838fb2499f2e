#include <glog/logging.h>

#include <utility>

#include "src/net/peer_stream.h"
#include "src/net/socket_address.h"

namespace acaciaspring::net {

namespace {

class PeerHandle : public PeerConnection {
 public:
  explicit PeerHandle(std::shared_ptr<PeerStream> stream) : stream_(std::move(stream)) {}
  ~PeerHandle() override { stream_->CloseWithoutCallback(); }
  using PeerConnection::Send;
  void Send(MessageStreamId stream, std::string_view payload) override {
    stream_->Send(stream, payload);
  }
  void SendDeferred(DeferredMessage message) override { stream_->SendDeferred(std::move(message)); }
  void Withdraw(MessageStreamId stream) override { stream_->Withdraw(stream); }
  void Close() override { stream_->Close(); }
  bool open() const override { return stream_->open(); }
  std::size_t pending_bytes() const override { return stream_->pending_bytes(); }
  std::size_t undelivered_bytes() const override { return stream_->undelivered_bytes(); }

 private:
  std::shared_ptr<PeerStream> stream_;
};

}  // namespace

PeerConnectionPtr MakePeerHandle(std::shared_ptr<PeerStream> stream) {
  return std::make_shared<PeerHandle>(std::move(stream));
}

PeerConnectionPtr ConnectPeer(Loop& loop,
                              const Address& address,
                              const std::string& cluster_key,
                              PeerCallbacks callbacks,
                              PeerResources& resources) {
  auto stream =
      std::make_shared<PeerStream>(loop, PeerStream::Role::kInitiator, cluster_key, resources);
  stream->SetCallbacks(std::move(callbacks));
  stream->Connect(address);
  return MakePeerHandle(std::move(stream));
}

struct PeerListener::Impl {
  Loop& loop;
  std::string cluster_key;
  OnAccept on_accept;
  PeerResources& resources;
  std::unique_ptr<uv_tcp_t> listener;

  void OnConnection(int status) {
    if (status < 0) {
      LOG(WARNING) << "cannot accept a peer connection: " << uv_strerror(status);
      return;
    }
    auto stream =
        std::make_shared<PeerStream>(loop, PeerStream::Role::kAcceptor, cluster_key, resources);
    if (!stream->Accept(reinterpret_cast<uv_stream_t*>(listener.get()))) {
      return;
    }
    // The callback may destroy this listener and its members, so call a copy.
    const OnAccept accept = on_accept;
    PeerStream& accepted = *stream;
    const PeerConnectionPtr handle = MakePeerHandle(stream);
    accepted.SetCallbacks(accept(handle));
  }
};

PeerListener::PeerListener(Loop& loop,
                           const Address& listen,
                           std::string cluster_key,
                           OnAccept on_accept,
                           PeerResources& resources)
    : impl_(new Impl{.loop = loop,
                     .cluster_key = std::move(cluster_key),
                     .on_accept = std::move(on_accept),
                     .resources = resources,
                     .listener = std::make_unique<uv_tcp_t>()}) {
  uv_tcp_init(loop.raw(), impl_->listener.get());
  impl_->listener->data = impl_.get();
  try {
    Listen(*impl_->listener, listen, [](uv_stream_t* stream, int status) {
      static_cast<Impl*>(stream->data)->OnConnection(status);
    });
  } catch (const Error&) {
    CloseAndDelete(impl_->listener.release());
    throw;
  }
}

PeerListener::~PeerListener() {
  CloseAndDelete(impl_->listener.release());
}

Address PeerListener::address() const {
  return BoundAddress(*impl_->listener);
}

}  // namespace acaciaspring::net
