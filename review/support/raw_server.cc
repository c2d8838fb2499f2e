#include "review/support/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

#include "review/support/stand_ins.h"

namespace review {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string HeaderValue(const std::string& request, const std::string& name) {
  const std::size_t at = request.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t start = at + name.size() + 4;
  return request.substr(start, request.find("\r\n", start) - start);
}

bool IsComplete(const std::string& request) {
  const std::size_t head = request.find(kHeadEnd);
  if (head == std::string::npos) {
    return false;
  }
  const std::string length = HeaderValue(request, "content-length");
  return request.size() >= head + kHeadEnd.size() + (length.empty() ? 0 : std::stoull(length));
}

}  // namespace

RawServer::RawServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener_, 64) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Serve(); });
}

RawServer::~RawServer() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
}

void RawServer::Serve() {
  while (!stopping_) {
    const int connection = accept(listener_, nullptr, nullptr);
    if (connection < 0) {
      continue;
    }
    // Ends a wait for the next request, so that the destructor does not wait for callers.
    const timeval limit{.tv_sec = 2, .tv_usec = 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    while (AnswerOne(connection)) {
    }
    close(connection);
  }
}

bool RawServer::AnswerOne(int connection) {
  std::string request;
  std::array<char, 4096> buffer{};
  while (!IsComplete(request)) {
    const ssize_t size = recv(connection, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return false;
    }
    request.append(buffer.data(), static_cast<std::size_t>(size));
  }
  const RawAnswer answer = handler_(request, HeaderValue(request, "acaciaspring-request-id"));
  send(connection, answer.bytes.data(), answer.bytes.size(), MSG_NOSIGNAL);
  if (answer.reset) {
    const linger abort{.l_onoff = 1, .l_linger = 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  }
  return answer.keep;
}

}  // namespace review
