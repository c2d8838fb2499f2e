#ifndef ACACIASPRING_SRC_NET_HTTP_RESPONDER_H_
#define ACACIASPRING_SRC_NET_HTTP_RESPONDER_H_

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "acaciaspring/net.h"
#include "src/net/h2o.h"

namespace acaciaspring::net {

/// @brief HttpResponder for a request on an h2o connection. h2o owns the request; the responder
/// clears its pointer when h2o disposes of the request, so it may outlive the request.
class H2oResponder : public HttpResponder, public std::enable_shared_from_this<H2oResponder> {
 public:
  /// @brief `stream` is the connection of the request. `keep_alive` tells when the head is sent
  /// whether the connection may stay open.
  H2oResponder(Loop& loop,
               h2o_req_t* request,
               const uv_stream_t* stream,
               std::shared_ptr<const bool> keep_alive);

  void Start(int status, const Headers& headers) override;
  void Write(std::string_view data) override;
  void End() override;
  void Abort() override;
  void Respond(int status, const Headers& headers, std::string_view body) override;
  std::size_t pending_bytes() const override;
  std::size_t buffered_bytes() const override;
  std::uint64_t delivered_bytes() override;
  void Discard() override { AbortWithoutCallback(); }
  bool closed() const override;
  void OnClosed(std::function<void()> callback) override;

  /// @brief Called when h2o disposes of the request.
  void OnDisposed();
  /// @brief Closes the connection if the client has closed it or has read nothing for `io_timeout`.
  /// h2o cannot detect a close itself, because it does not read from a connection while a request
  /// is being processed.
  void CheckConnection(Duration io_timeout);
  /// @brief True if the whole response was handed to h2o and the connection was not broken off.
  bool complete() const { return final_sent_ && !connection_lost_ && !stalled_; }
  /// @brief Closes the connection without calling the OnClosed callback.
  void AbortWithoutCallback();

 private:
  struct Generator {
    h2o_generator_t base;
    H2oResponder* responder;
  };

  /// @brief `content_length` is SIZE_MAX for a response of unknown length.
  void SetHead(int status, const Headers& headers, std::size_t content_length);
  void Flush();
  void OnProceed();
  void HandleConnectionLoss();
  void AbortConnection();
  /// @brief Ends the connection so that the response cannot be taken for a complete one.
  void Disconnect();
  int FileDescriptor() const;
  /// @brief Bytes handed to h2o that the client has not acknowledged.
  std::size_t UnacknowledgedBytes() const;

  Loop& loop_;
  /// Null after h2o has disposed of the request; `stream_` is valid until then.
  h2o_req_t* request_;
  const uv_stream_t* stream_;
  std::shared_ptr<const bool> keep_alive_;
  Generator generator_;
  std::function<void()> on_closed_;
  /// Bytes to be sent that are not yet handed to h2o.
  std::string pending_;
  /// Bytes handed to h2o, which accesses them until it asks for more.
  std::string sending_;
  /// Start of the send in flight, or the last time when the client had acknowledged more of it.
  MonotonicTime progress_at_;
  std::size_t unacknowledged_at_progress_ = 0;
  std::uint64_t handed_over_bytes_ = 0;
  std::uint64_t delivered_bytes_ = 0;
  bool head_only_ = false;
  bool started_ = false;
  bool ended_ = false;
  bool head_sent_ = false;
  bool in_flight_ = false;
  bool final_sent_ = false;
  bool connection_lost_ = false;
  /// The client did not read for too long.
  bool stalled_ = false;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_RESPONDER_H_
