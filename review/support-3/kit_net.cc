#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <sstream>
#include <stdexcept>

#include "review/support-3/kit.h"

namespace review {

namespace {

const Clock::time_point kStart = Clock::now();

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), ::tolower);
  return text;
}

sockaddr_in ToSocket(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

Ms Elapsed() {
  return std::chrono::duration_cast<Ms>(Clock::now() - kStart);
}

void Sleep(Ms duration) {
  std::this_thread::sleep_for(duration);
}

void SleepUntil(Ms since_start) {
  std::this_thread::sleep_until(kStart + since_start);
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const auto ms = Elapsed().count();
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(ms) / 1000);
  file_ << time << line << std::endl;
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

Connection::~Connection() {
  close(fd_);
}

void Connection::SetTimeout(Ms timeout) {
  const timeval value{.tv_sec = timeout.count() / 1000, .tv_usec = timeout.count() % 1000 * 1000};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

bool Connection::Write(const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t count = send(fd_, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::Fill() {
  char bytes[65536];
  const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Connection::ReadLine(std::string& line) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Connection::ReadBytes(std::size_t count, std::string& out) {
  while (buffer_.size() < count) {
    if (!Fill()) {
      return false;
    }
  }
  out.append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

bool Connection::ReadHead(Message& message) {
  message = {};
  std::string line;
  if (!ReadLine(message.first_line)) {
    return false;
  }
  while (ReadLine(line)) {
    if (line.empty()) {
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') {
      ++begin;
    }
    message.headers.emplace_back(Lower(line.substr(0, colon)), line.substr(begin));
  }
  return false;
}

bool Connection::ReadBody(Message& message, const std::function<void()>& on_data) {
  std::string line;
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    while (true) {
      if (!ReadLine(line)) {
        return false;
      }
      const std::size_t size = std::stoul(line, nullptr, 16);
      if (size == 0) {
        return ReadLine(line);
      }
      if (!ReadBytes(size, message.body) || !ReadLine(line)) {
        return false;
      }
      if (on_data) {
        on_data();
      }
    }
  }
  const std::string length = message.Header("content-length");
  return length.empty() || ReadBytes(std::stoul(length), message.body);
}

bool Connection::ReadRequest(Message& message) {
  return ReadHead(message) && ReadBody(message);
}

ConnectionPtr Connect(const std::string& address, Ms timeout) {
  const std::size_t colon = address.rfind(':');
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in target =
      ToSocket(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
  auto connection = std::make_shared<Connection>(fd);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
    pollfd wait{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeout.count())) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

Listener::Listener(const std::string& ip, int port, Handler handler) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = ToSocket(ip, port);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), size) != 0 || listen(fd, 512) != 0) {
    throw std::runtime_error("cannot listen on " + ip);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
  std::thread([fd, handler = std::move(handler)] {
    while (true) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        Sleep(Ms(1));
        continue;
      }
      const int one = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([handler, connection = std::make_shared<Connection>(accepted)] {
        handler(connection);
      }).detach();
    }
  }).detach();
}

std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

std::string MakeFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return path;
}

std::string FreeSubnet() {
  std::mt19937_64 random(std::random_device{}());
  for (int attempt = 0; attempt < 50; ++attempt) {
    const std::string subnet =
        "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
    bool free = true;
    for (int host = 10; host < 18 && free; ++host) {
      for (const int port : {8149, 8141, 8143, 7380, 9464}) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = ToSocket(subnet + "." + std::to_string(host), port);
        free = free && bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
      }
    }
    if (free) {
      return subnet;
    }
  }
  throw std::runtime_error("no free loopback addresses");
}

bool TroubleWanted() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Answer Send(const std::string& address, const Request& request, ConnectionPtr* kept) {
  const auto started = Clock::now();
  Answer answer;
  const auto finish = [&](const std::string& reason) {
    answer.took = std::chrono::duration_cast<Ms>(Clock::now() - started);
    answer.reason = reason;
    return answer;
  };
  ConnectionPtr connection = kept == nullptr ? nullptr : *kept;
  if (connection == nullptr) {
    connection = Connect(address, Ms(1000));
  }
  if (kept != nullptr) {
    *kept = nullptr;
  }
  if (connection == nullptr) {
    return finish("no connection");
  }
  connection->SetTimeout(request.deadline);
  std::ostringstream head;
  head << request.method << " " << request.path
       << " HTTP/1.1\r\nHost: h\r\nAcaciaspring-Request-Id: " << request.id
       << "\r\nAcaciaspring-Deadline-Ms: " << request.deadline.count() << "\r\n";
  for (const auto& [name, value] : request.headers) {
    head << name << ": " << value << "\r\n";
  }
  if (request.method == "POST") {
    head << "Content-Length: " << request.body.size() << "\r\n";
  }
  head << "\r\n";
  if (!connection->Write(head.str() + request.body)) {
    return finish("cannot send");
  }
  Message message;
  if (!connection->ReadHead(message)) {
    return finish("closed or silent without an answer");
  }
  answer.status = std::stoi(message.first_line.substr(9, 3));
  answer.headers = message.headers;
  answer.server_stamp = message.Header("acaciaspring-server-stamp");
  answer.complete = connection->ReadBody(message);
  answer.body = message.body;
  if (kept != nullptr && answer.complete && Lower(message.Header("connection")) != "close") {
    *kept = connection;
  }
  return finish(answer.complete ? "complete" : "cut");
}

std::vector<std::string> Lookup(const std::string& directory) {
  std::vector<std::string> addresses;
  const auto connection = Connect(directory, Ms(1000));
  if (connection == nullptr) {
    return addresses;
  }
  connection->SetTimeout(Ms(1000));
  Message message;
  if (!connection->Write("GET /-/lookup?name=h&region=r&zone=z0 HTTP/1.1\r\nHost: d\r\n\r\n") ||
      !connection->ReadHead(message) || message.first_line.find(" 200") == std::string::npos ||
      !connection->ReadBody(message)) {
    return addresses;
  }
  // {"addresses":["IP:PORT",...],"ttl_s":1}
  const std::size_t begin = message.body.find('[');
  const std::size_t end = message.body.find(']');
  std::string list = message.body.substr(begin + 1, end - begin - 1);
  std::replace(list.begin(), list.end(), ',', ' ');
  std::replace(list.begin(), list.end(), '"', ' ');
  std::istringstream words(list);
  for (std::string word; words >> word;) {
    addresses.push_back(word);
  }
  return addresses;
}

}  // namespace review
