#ifndef ACACIASPRING_SRC_NET_HTTP_RESPONDER_H_
#define ACACIASPRING_SRC_NET_HTTP_RESPONDER_H_

#include <functional>
#include <memory>
#include <string>

#include "acaciaspring/net.h"
#include "src/net/h2o.h"

namespace acaciaspring::net {

/// @brief The answer to one request of an h2o connection. h2o owns the request; the responder
/// forgets it when h2o disposes of it, so it may be kept for any time.
class H2oResponder : public HttpResponder, public std::enable_shared_from_this<H2oResponder> {
 public:
  H2oResponder(Loop& loop, h2o_req_t* request);

  void Start(int status, const Headers& headers) override;
  void Write(std::string_view data) override;
  void End() override;
  void Abort() override;
  void Respond(int status, const Headers& headers, std::string_view body) override;
  std::size_t pending_bytes() const override;
  bool closed() const override;
  void OnClosed(std::function<void()> callback) override;

  /// @brief Called when h2o disposes of the request.
  void OnDisposed();
  /// @brief Breaks the connection when the caller has closed it, or has not read for `io_timeout`.
  /// h2o does not read from a connection while a request is being answered.
  void CheckConnection(Duration io_timeout);
  /// @brief Breaks the connection without telling the owner of the answer.
  void Abandon();

 private:
  struct Generator {
    h2o_generator_t base;
    H2oResponder* responder;
  };

  /// @brief SIZE_MAX stands for a length that is not known yet.
  void SetHead(int status, const Headers& headers, std::size_t content_length);
  void Flush();
  void OnProceed();
  void Lose();
  void BreakConnection();
  int FileDescriptor() const;

  Loop& loop_;
  h2o_req_t* request_;
  Generator generator_;
  std::function<void()> on_closed_;
  /// Bytes that the caller wrote while a send was in progress.
  std::string pending_;
  /// Bytes that h2o refers to until it asks for more.
  std::string sending_;
  MonotonicTime send_started_;
  bool head_only_ = false;
  bool started_ = false;
  bool ended_ = false;
  bool in_flight_ = false;
  bool final_sent_ = false;
  bool lost_ = false;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_RESPONDER_H_
