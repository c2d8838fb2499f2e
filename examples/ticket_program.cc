// Example caller of the HTTP API: gets the list of entries, creates a program, makes two model
// calls, places a parts order and repeats it with the same idempotency key, and ends the program.
// Prints the time and result of each step.

#include <json/json.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>

#include "acaciaspring/net.h"

namespace {

namespace net = acaciaspring::net;
namespace options = boost::program_options;

constexpr std::size_t kMaxAnswerBytes = std::size_t{1} << 20;

class ApiClient {
 public:
  ApiClient(net::Address entry, std::string key) : entry_(std::move(entry)), key_(std::move(key)) {}

  net::HttpReply Call(const std::string& method,
                      const std::string& target,
                      const std::string& idempotency_key,
                      const std::string& body) {
    net::HttpClientRequest request;
    request.server = entry_;
    request.method = method;
    request.target = target;
    request.headers = {{"authorization", "Bearer " + key_}, {"idempotency-key", idempotency_key}};
    request.body = body;
    net::HttpReply reply;
    const auto call =
        net::Fetch(client_, std::move(request), kMaxAnswerBytes, [&](net::HttpReply answer) {
          reply = std::move(answer);
          loop_.Stop();
        });
    loop_.Run();
    return reply;
  }

  void SetEntry(net::Address entry) { entry_ = std::move(entry); }

 private:
  net::Loop loop_;
  net::HttpClient client_{loop_, {}};
  net::Address entry_;
  std::string key_;
};

class Timeline {
 public:
  void Print(const std::string& step, const std::string& text) const {
    const std::chrono::duration<double, std::milli> elapsed = Clock::now() - start_;
    std::cout << std::fixed << std::setprecision(1) << std::setw(8) << elapsed.count() << " ms  "
              << std::left << std::setw(14) << step << std::right << text << "\n";
  }

 private:
  using Clock = std::chrono::steady_clock;
  Clock::time_point start_ = Clock::now();
};

Json::Value Parse(const std::string& text) {
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
  return value;
}

/// @brief Concatenates the contents of all chat-completion chunks of an event stream.
std::string JoinText(const std::string& stream) {
  std::string text;
  std::size_t position = 0;
  while ((position = stream.find("data: {", position)) != std::string::npos) {
    const std::size_t end = stream.find('\n', position);
    const Json::Value chunk = Parse(stream.substr(position + 6, end - position - 6));
    text += chunk["choices"][0]["delta"]["content"].asString();
    position = end;
  }
  return text;
}

bool Succeeded(const net::HttpReply& reply) {
  const auto* finished = std::get_if<net::HttpFinished>(&reply.result);
  return finished != nullptr && finished->status == 200;
}

std::string ChatBody(const std::string& model, const std::string& question) {
  Json::Value body;
  body["model"] = model;
  body["max_tokens"] = 64;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = question;
  return body.toStyledString();
}

int RunProgram(const std::string& entry, const std::string& key, const std::string& model) {
  const Timeline timeline;
  ApiClient client(net::ParseAddress(entry), key);
  const Json::Value entries = Parse(client.Call("GET", "/v1/entries", "", "").body);
  timeline.Print("entries", std::to_string(entries["entries"].size()) + " entries, valid for " +
                                entries["ttl_ms"].asString() + " ms");
  client.SetEntry(net::ParseAddress(entries["entries"][0]["address"].asString()));

  const std::string ticket =
      "ticket-" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
  const net::HttpReply created =
      client.Call("POST", "/v1/programs", ticket, R"({"class":"dispatch","budget_tokens":100000})");
  const std::string path = "/v1/programs/" + Parse(created.body)["program"].asString();
  timeline.Print("program", created.body);

  const net::HttpReply first = client.Call("POST", path + "/chat/completions", "turn-1",
                                           ChatBody(model, "Huller 3 jams. What should I check?"));
  timeline.Print("model call", JoinText(first.body));
  const std::string order = R"({"part":"huller roller","quantity":2})";
  const net::HttpReply ordered = client.Call("POST", path + "/tools/parts-order", "order-1", order);
  timeline.Print("parts order", ordered.body);
  const net::HttpReply repeated =
      client.Call("POST", path + "/tools/parts-order", "order-1", order);
  timeline.Print("same key", repeated.body);
  const net::HttpReply second = client.Call("POST", path + "/chat/completions", "turn-2",
                                            ChatBody(model, "The rollers are ordered. What now?"));
  timeline.Print("model call", JoinText(second.body));
  timeline.Print("state", client.Call("GET", path, "", "").body);
  const net::HttpReply ended = client.Call("DELETE", path, "end", "");
  timeline.Print("end", ended.body);
  const bool succeeded = Succeeded(created) && Succeeded(first) && Succeeded(ordered) &&
                         Succeeded(second) && Succeeded(ended) && ordered.body == repeated.body;
  std::cout << (succeeded ? "the ticket program finished\n" : "the ticket program FAILED\n");
  return succeeded ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description("ticket_program: an example caller.\n\nOptions");
  description.add_options()("help,h", "print this text")(
      "entry", options::value<std::string>()->default_value("127.0.0.1:8001"), "any daemon")(
      "key", options::value<std::string>()->default_value("hinokuni-example-key-0001"),
      "organisation key")("model", options::value<std::string>()->default_value("mill-triage"),
                          "model to call");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    return RunProgram(values["entry"].as<std::string>(), values["key"].as<std::string>(),
                      values["model"].as<std::string>());
  } catch (const std::exception& error) {
    std::cerr << "ticket_program: " << error.what() << "\n";
    return 2;
  }
}
