#include <algorithm>
#include <cctype>
#include <sstream>

#include "review/support-3/kit.h"

namespace review {

namespace {

constexpr std::size_t kCallBytes = 2097152;
constexpr std::size_t kRecordBytes = 262144;
constexpr std::size_t kRecentAppends = 5;

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::istringstream pairs(target.substr(mark + 1));
  for (std::string pair; std::getline(pairs, pair, '&');) {
    const std::size_t equals = pair.find('=');
    std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
    std::string decoded;
    for (std::size_t i = 0; i < value.size(); ++i) {
      if (value[i] == '%' && i + 2 < value.size()) {
        decoded.push_back(static_cast<char>(std::stoi(value.substr(i + 1, 2), nullptr, 16)));
        i += 2;
      } else {
        decoded.push_back(value[i]);
      }
    }
    query[pair.substr(0, equals)] = decoded;
  }
  return query;
}

std::uint64_t Number(const std::map<std::string, std::string>& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() || found->second.empty() ? 0 : std::stoull(found->second);
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>(value >> shift & 0xffU));
  }
  return out;
}

std::string Base64(const std::string& bytes) {
  constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out.push_back(i + j > bytes.size() ? '=' : kAlphabet[group >> (18 - 6 * j) & 63U]);
    }
  }
  return out;
}

/// @brief The text behind "name": in a flat JSON object that a daemon wrote.
std::string JsonField(const std::string& json, const std::string& name) {
  const std::size_t found = json.find("\"" + name + "\":");
  if (found == std::string::npos) {
    return "";
  }
  std::size_t begin = found + name.size() + 3;
  if (json[begin] == '"') {
    // Written by jsoncpp, which escapes a slash in no setting used here.
    std::string text;
    for (++begin; json[begin] != '"'; ++begin) {
      if (json[begin] == '\\') {
        ++begin;
      }
      text.push_back(json[begin]);
    }
    return text;
  }
  if (json[begin] == '[') {
    return json.substr(begin + 1, json.find(']', begin) - begin - 1);
  }
  std::size_t end = begin;
  while (end < json.size() && (std::isdigit(static_cast<unsigned char>(json[end])) != 0)) {
    ++end;
  }
  return json.substr(begin, end - begin);
}

}  // namespace

Store::Store(StoreOptions options, Record& record)
    : options_(options), record_(record), random_(std::random_device{}()) {}

std::string Store::AddressFor(int daemon) {
  listeners_.push_back(std::make_unique<Listener>(
      "127.0.0.1", 0,
      [this, daemon](const ConnectionPtr& connection) { Serve(daemon, connection); }));
  return listeners_.back()->address();
}

void Store::SetFate(std::function<CallFate(int, const std::string&)> fate) {
  const std::lock_guard lock(mutex_);
  fate_ = std::move(fate);
}

void Store::BeSlow(double most, Ms duration) {
  const std::lock_guard lock(mutex_);
  slowness_ = most;
  slow_until_ = Clock::now() + duration;
}

std::chrono::duration<double, std::milli> Store::AnswerTime() {
  const double factor = Clock::now() < slow_until_
                            ? std::uniform_real_distribution<double>(1, slowness_)(random_)
                            : 1;
  return factor * options_.latency;
}

void Store::CutAnswers(int daemon, Ms duration) {
  const std::lock_guard lock(mutex_);
  answers_cut_until_[daemon] = Clock::now() + duration;
}

Clock::time_point Store::ArrivalOfAnswer(int daemon, Clock::time_point now) {
  const auto cut = answers_cut_until_.find(daemon);
  if (cut == answers_cut_until_.end() || cut->second <= now) {
    return now;
  }
  for (const Ms repeat : {Ms(200), Ms(600), Ms(1400), Ms(3000), Ms(6200)}) {
    if (now + repeat >= cut->second) {
      return now + repeat;
    }
  }
  return cut->second;
}

void Store::Serve(int daemon, const ConnectionPtr& connection) {
  Message message;
  bool opened = false;
  {
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    opened = ArrivalOfAnswer(daemon, now) == now;
  }
  if (!opened) {
    // TCP repeats the handshake after one second, which is too late for the daemons.
    while (connection->ReadRequest(message)) {
    }
    return;
  }
  while (connection->ReadRequest(message)) {
    std::istringstream words(message.first_line);
    std::string method;
    std::string target;
    words >> method >> target;
    const std::string path = target.substr(0, target.find('?'));
    CallFate fate = CallFate::kServe;
    {
      const std::lock_guard lock(mutex_);
      ++counts_[path];
      fate = fate_ ? fate_(daemon, path) : CallFate::kServe;
    }
    if (fate == CallFate::kReset) {
      return;
    }
    if (fate == CallFate::kSilent) {
      Sleep(Ms(30'000));
      return;
    }
    Response response;
    std::chrono::duration<double, std::milli> takes{};
    {
      const std::lock_guard lock(mutex_);
      takes = AnswerTime();
      response = fate == CallFate::kRefuse ? Response{.status = 503, .body = "{}"}
                                           : Handle(method, target, message.body);
    }
    std::this_thread::sleep_for(takes);
    Clock::time_point arrival;
    {
      const std::lock_guard lock(mutex_);
      arrival = ArrivalOfAnswer(daemon, Clock::now());
    }
    std::this_thread::sleep_until(arrival);
    if (fate == CallFate::kLoseAnswer) {
      // "A channel on which a response is lost returns nothing further."
      while (connection->ReadRequest(message)) {
      }
      return;
    }
    std::ostringstream head;
    head << "HTTP/1.1 " << response.status << " S\r\nContent-Type: " << response.type
         << "\r\nContent-Length: " << response.body.size() << "\r\n\r\n";
    if (!connection->Write(head.str() + response.body)) {
      return;
    }
  }
}

Store::Response Store::Handle(const std::string& method,
                              const std::string& target,
                              const std::string& body) {
  const std::string path = target.substr(0, target.find('?'));
  const auto query = ParseQuery(target);
  if (method == "POST" && path == "/-/log-append") {
    return Append(query, body);
  }
  if (method == "GET" && path == "/-/log-read") {
    return Read(query);
  }
  if (method == "GET" && path == "/-/log-newest") {
    return Newest(query);
  }
  if (method == "POST" && path == "/-/log-trim") {
    Partition& partition = Find(JsonField(body, "topic"), std::stoi(JsonField(body, "part")));
    const std::uint64_t before = std::stoull(JsonField(body, "before"));
    while (partition.first < before && !partition.records.empty()) {
      partition.records.pop_front();
      ++partition.first;
    }
    return {.status = 200, .body = "{}"};
  }
  if (method == "POST" && path == "/-/log-join") {
    return Join(body);
  }
  if (method == "POST" && path == "/-/log-leave") {
    ExpireMembers();
    if (members_.erase(JsonField(body, "member")) > 0) {
      Deal();
      MoveReleased();
    }
    return {.status = 200, .body = "{}"};
  }
  return {.status = 404, .body = "{}"};
}

Store::Partition& Store::Find(const std::string& topic, int part) {
  Partition& partition = partitions_[{topic, part}];
  const auto oldest = Clock::now() - std::chrono::duration_cast<Clock::duration>(
                                         std::chrono::duration<double>(options_.retain_s));
  while (!partition.records.empty() && partition.records.front().at < oldest) {
    partition.records.pop_front();
    ++partition.first;
  }
  return partition;
}

Store::Response Store::Append(const std::map<std::string, std::string>& query,
                              const std::string& body) {
  const std::string& topic = query.at("topic");
  Partition& partition = Find(topic, static_cast<int>(Number(query, "part")));
  std::vector<std::string> records;
  for (std::size_t at = 0; at + 4 <= body.size();) {
    std::size_t size = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      size = size << 8 | static_cast<unsigned char>(body[at + i]);
    }
    records.push_back(body.substr(at + 4, size));
    at += 4 + size;
  }
  if (body.size() > kCallBytes || std::any_of(records.begin(), records.end(), [](const auto& r) {
        return r.size() > kRecordBytes;
      })) {
    return {.status = 413, .body = "{}"};
  }
  if (query.contains("at") && Number(query, "at") != partition.end()) {
    return {.status = 412, .body = "{\"end\":" + std::to_string(partition.end()) + "}"};
  }
  const auto reply = [](const Appended& appended) {
    return Response{.status = 200,
                    .body = "{\"offset\":" + std::to_string(appended.offset) +
                            ",\"end\":" + std::to_string(appended.end) + "}"};
  };
  Producer* producer = nullptr;
  if (query.contains("producer")) {
    producer = &partition.producers[query.at("producer")];
    const std::uint64_t epoch = Number(query, "epoch");
    const std::uint64_t sequence = Number(query, "sequence");
    if (epoch < producer->epoch) {
      return {.status = 409, .body = "{\"why\":\"fenced\"}"};
    }
    if (epoch > producer->epoch) {
      *producer = {.epoch = epoch, .next = sequence, .recent = {}};
    }
    if (records.empty()) {
      return reply({.offset = partition.end(), .end = partition.end()});
    }
    if (const auto repeat = producer->recent.find(sequence); repeat != producer->recent.end()) {
      return reply(repeat->second);
    }
    if (sequence != producer->next) {
      return {.status = 409,
              .body = "{\"why\":\"seq\",\"sequence\":" + std::to_string(producer->next) + "}"};
    }
  }
  Appended appended{.offset = partition.end(), .end = partition.end() + records.size()};
  for (std::string& record : records) {
    if (topic.starts_with("keyed.")) {
      ApplyKeyed(topic, record, partition.end());
    }
    partition.records.push_back({.bytes = std::move(record), .at = Clock::now()});
  }
  if (producer != nullptr) {
    producer->recent[producer->next++] = appended;
    if (producer->recent.size() > kRecentAppends) {
      producer->recent.erase(producer->recent.begin());
    }
  }
  return reply(appended);
}

void Store::ApplyKeyed(const std::string& topic, const std::string& record, std::uint64_t offset) {
  const std::size_t size = static_cast<unsigned char>(record.at(0));
  const std::string key = record.substr(1, size);
  if (record.size() <= 1 + size) {
    newest_[topic].erase(key);
  } else {
    newest_[topic][key] = {record.substr(1 + size), offset};
  }
}

Store::Response Store::Read(const std::map<std::string, std::string>& query) {
  Partition& partition = Find(query.at("topic"), static_cast<int>(Number(query, "part")));
  const std::uint64_t from = Number(query, "from");
  if (from < partition.first) {
    return {.status = 410, .body = "{\"first\":" + std::to_string(partition.first) + "}"};
  }
  const std::size_t most = (query.contains("max_kb") ? Number(query, "max_kb") : 1024) * 1024;
  std::string body = BigEndian(partition.end(), 8) + BigEndian(partition.first, 8);
  for (std::uint64_t at = from; at < partition.end() && body.size() < most; ++at) {
    const std::string& bytes = partition.records[at - partition.first].bytes;
    body += BigEndian(bytes.size(), 4) + bytes;
  }
  return {.status = 200, .body = std::move(body), .type = "application/octet-stream"};
}

Store::Response Store::Newest(const std::map<std::string, std::string>& query) {
  const std::string& topic = query.at("topic");
  std::ostringstream body;
  body << "{\"items\":[";
  bool first = true;
  for (const auto& [key, entry] : newest_[topic]) {
    body << (first ? "" : ",") << "{\"key\":\"" << key << "\",\"value\":\"" << Base64(entry.first)
         << "\",\"offset\":" << entry.second << "}";
    first = false;
  }
  body << "],\"more\":false,\"end\":" << Find(topic, 0).end() << "}";
  return {.status = 200, .body = body.str()};
}

void Store::ExpireMembers() {
  const auto now = Clock::now();
  if (std::erase_if(members_, [&](const auto& entry) { return entry.second.expires < now; }) > 0) {
    Deal();
    MoveReleased();
  }
}

void Store::Deal() {
  ++generation_;
  std::vector<std::string> names;
  for (const auto& [name, member] : members_) {
    names.push_back(name);
  }
  // "Partitions are distributed evenly": what a member has beyond its share moves, nothing else,
  // unless all are dealt anew.
  const std::uint64_t shift = rotation_;
  std::map<std::string, std::size_t> load;
  if (names.empty()) {
    for (auto& [id, assignment] : assignments_) {
      assignment.target.clear();
    }
    return;
  }
  const std::size_t most = (assignments_.size() + names.size() - 1) / names.size();
  std::vector<Assignment*> all;
  for (auto& [id, assignment] : assignments_) {
    all.push_back(&assignment);
  }
  std::shuffle(all.begin(), all.end(), random_);
  std::vector<Assignment*> homeless;
  for (Assignment* assignment : all) {
    if (shift == 0 && members_.contains(assignment->target) && load[assignment->target] < most) {
      ++load[assignment->target];
    } else {
      homeless.push_back(assignment);
    }
  }
  for (Assignment* assignment : homeless) {
    auto least = std::min_element(names.begin(), names.end(),
                                  [&](const auto& a, const auto& b) { return load[a] < load[b]; });
    if (shift != 0) {
      // Dealt anew: to another member than before.
      for (std::size_t i = 0; i < names.size() && *least == assignment->target; ++i) {
        least = names.begin() + static_cast<std::ptrdiff_t>((shift + i) % names.size());
      }
    }
    assignment->target = *least;
    ++load[*least];
  }
  rotation_ = 0;
}

void Store::MoveReleased() {
  for (auto& [id, assignment] : assignments_) {
    const auto owner = members_.find(assignment.owner);
    const bool released = owner == members_.end() || owner->second.generation >= generation_;
    if (assignment.owner != assignment.target && released) {
      assignment.owner = assignment.target;
    }
  }
}

Store::Response Store::Join(const std::string& body) {
  ExpireMembers();
  const std::string member = JsonField(body, "member");
  bool changed = !members_.contains(member);
  std::istringstream topics(JsonField(body, "topics"));
  for (std::string topic; std::getline(topics, topic, ',');) {
    topic = topic.substr(1, topic.size() - 2);
    for (int part = 0; part < options_.parts; ++part) {
      changed = assignments_.try_emplace({topic, part}).second || changed;
    }
  }
  members_[member] = {.expires = Clock::now() + Ms(std::stoll(JsonField(body, "ttl_ms"))),
                      .generation = std::stoull(JsonField(body, "generation"))};
  if (changed) {
    Deal();
  }
  MoveReleased();
  std::ostringstream reply;
  reply << "{\"generation\":" << generation_ << ",\"parts\":[";
  bool first = true;
  for (const auto& [id, assignment] : assignments_) {
    if (assignment.owner == member && assignment.target == member) {
      reply << (first ? "" : ",") << "[\"" << id.first << "\"," << id.second << ",0]";
      first = false;
    }
  }
  reply << "]}";
  return {.status = 200, .body = reply.str()};
}

void Store::WriteKey(const std::string& topic, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Partition& partition = Find(topic, 0);
  std::string record(1, static_cast<char>(key.size()));
  record += key + value;
  ApplyKeyed(topic, record, partition.end());
  partition.records.push_back({.bytes = record, .at = Clock::now()});
}

std::string Store::OwnerOf(const std::string& topic, int part) {
  const std::lock_guard lock(mutex_);
  ExpireMembers();
  const auto found = assignments_.find({topic, part});
  return found == assignments_.end() ? "" : found->second.owner;
}

std::string Store::OwnerOfRecord(const std::string& text) {
  const std::lock_guard lock(mutex_);
  ExpireMembers();
  for (const auto& [id, partition] : partitions_) {
    const auto assignment = assignments_.find(id);
    if (assignment == assignments_.end()) {
      continue;
    }
    for (const Stored& record : partition.records) {
      if (record.bytes.find(text) != std::string::npos) {
        return assignment->second.owner;
      }
    }
  }
  return "";
}

void Store::Rebalance() {
  const std::lock_guard lock(mutex_);
  ++rotation_;
  Deal();
}

std::map<std::string, int> Store::CallCounts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace review
