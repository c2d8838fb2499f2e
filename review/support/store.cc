#include <json/json.h>
#include <openssl/evp.h>

#include <algorithm>

#include "review/support/stand_ins.h"

namespace review {

namespace {

namespace fakes = acaciaspring::fakes;

constexpr std::size_t kMaxReadBytes = std::size_t{1} << 20;

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>(value >> shift & 0xffU));
  }
  return out;
}

std::vector<std::string> SplitRecords(std::string_view body) {
  std::vector<std::string> records;
  while (body.size() >= 4) {
    std::size_t size = 0;
    for (const char byte : body.substr(0, 4)) {
      size = size << 8 | static_cast<unsigned char>(byte);
    }
    records.emplace_back(body.substr(4, size));
    body.remove_prefix(std::min(body.size(), 4 + size));
  }
  return records;
}

std::string Base64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::uint64_t Number(const net::HttpRequest& request, std::string_view name) {
  const std::string text(net::FindQueryParameter(request, name));
  return text.empty() ? 0 : std::stoull(text);
}

std::string Text(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value ParseBody(const std::string& text) {
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  std::string errors;
  reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  return value;
}

}  // namespace

Store::Store(net::Loop& loop, Record& record, StoreOptions options)
    : loop_(loop), record_(record), options_(options) {
  server_ = std::make_unique<net::HttpServer>(
      loop_,
      net::HttpServerOptions{.listen = {.ip = "127.0.0.1", .port = 0},
                             .max_body_bytes = std::size_t{16} << 20},
      [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
        const Answer answer = down_ ? Answer{.status = 503} : Handle(request);
        const std::uint64_t id = next_timer_++;
        timers_[id] = loop_.After(options_.answer_delay, [this, id, answer, responder] {
          const net::Timer done = std::move(timers_[id]);
          timers_.erase(id);
          responder->Respond(answer.status, {{"content-type", "application/json"}}, answer.body);
        });
      });
}

void Store::SetDown(bool down) {
  down_ = down;
  record_.Write(down ? "store: down, answers 503" : "store: up");
}

Store::Answer Store::Handle(const net::HttpRequest& request) {
  if (request.path == "/-/log-append") {
    return Append(request);
  }
  if (request.path == "/-/log-read") {
    return Read(request);
  }
  if (request.path == "/-/log-newest") {
    return ReadNewest(request);
  }
  if (request.path == "/-/log-trim") {
    return Trim(request);
  }
  if (request.path == "/-/log-join") {
    return Join(request);
  }
  if (request.path == "/-/log-leave") {
    return Leave(request);
  }
  return {.status = 404};
}

Store::Partition& Store::Find(const net::HttpRequest& request) {
  return partitions_[{std::string(net::FindQueryParameter(request, "topic")),
                      static_cast<std::uint32_t>(Number(request, "part"))}];
}

void Store::Expire(Partition& partition) {
  const MonotonicTime now = loop_.Now();
  while (!partition.ends.empty() && now - partition.ends.front().second > options_.retention) {
    partition.log.TrimBefore(partition.ends.front().first);
    partition.ends.pop_front();
  }
}

Store::Answer Store::Append(const net::HttpRequest& request) {
  fakes::StoreAppend append{.at = {}, .producer = {}, .records = SplitRecords(request.body)};
  std::size_t total = 0;
  std::size_t largest = 0;
  for (const std::string& record : append.records) {
    total += record.size();
    largest = std::max(largest, record.size());
  }
  if (total > options_.call_bytes || largest > options_.record_bytes) {
    record_.Write("store: append of " + std::to_string(total) + " bytes refused, the limit is " +
                  std::to_string(options_.call_bytes));
    return {.status = 413};
  }
  if (!net::FindQueryParameter(request, "at").empty()) {
    append.at = Number(request, "at");
  }
  if (const auto producer = net::FindQueryParameter(request, "producer"); !producer.empty()) {
    append.producer = {.name = std::string(producer),
                       .epoch = Number(request, "epoch"),
                       .sequence = Number(request, "sequence")};
  }
  Partition& partition = Find(request);
  Expire(partition);
  const std::uint64_t former_end = partition.log.end();
  const fakes::StoreAppendResult result = partition.log.Append(append);
  Json::Value body;
  if (const auto* appended = std::get_if<fakes::StoreAppended>(&result)) {
    if (partition.log.end() > former_end) {
      partition.ends.emplace_back(partition.log.end(), loop_.Now());
      RememberKeys(std::string(net::FindQueryParameter(request, "topic")), appended->offset,
                   append.records);
      LogNotes(append.records);
    }
    body["offset"] = Json::UInt64(appended->offset);
    body["end"] = Json::UInt64(appended->end);
    return {.body = Text(body)};
  }
  if (const auto* other = std::get_if<fakes::StoreNotAtEnd>(&result)) {
    body["end"] = Json::UInt64(other->end);
    return {.status = 412, .body = Text(body)};
  }
  if (const auto* gap = std::get_if<fakes::StoreSequenceGap>(&result)) {
    body["why"] = "seq";
    body["sequence"] = Json::UInt64(gap->expected);
    return {.status = 409, .body = Text(body)};
  }
  body["why"] = "fenced";
  return {.status = 409, .body = Text(body)};
}

void Store::RememberKeys(const std::string& topic,
                         std::uint64_t offset,
                         const std::vector<std::string>& records) {
  if (!topic.starts_with("keyed.")) {
    return;
  }
  for (const std::string& record : records) {
    const std::size_t key_size = static_cast<unsigned char>(record.at(0));
    const std::string key = record.substr(1, key_size);
    const std::string value = record.substr(std::min(record.size(), 1 + key_size));
    if (value.empty()) {
      newest_[topic].erase(key);
    } else {
      newest_[topic][key] = {value, offset};
    }
    ++offset;
  }
}

void Store::LogNotes(const std::vector<std::string>& records) {
  constexpr std::string_view kNote = "note ";
  for (const std::string& record : records) {
    const std::size_t at = record.find(kNote);
    if (at != std::string::npos) {
      record_.Write("store: record of turn " + record.substr(at + kNote.size(), 16) + " appended");
    }
  }
}

void Store::WriteKey(const std::string& topic, const std::string& key, const std::string& value) {
  const std::vector<std::string> records = {std::string(1, static_cast<char>(key.size())) + key +
                                            value};
  Partition& partition = partitions_[{topic, 0}];
  const std::uint64_t offset = partition.log.end();
  partition.log.Append({.at = {}, .producer = {}, .records = records});
  partition.ends.emplace_back(partition.log.end(), loop_.Now());
  RememberKeys(topic, offset, records);
}

Store::Answer Store::Read(const net::HttpRequest& request) {
  Partition& partition = Find(request);
  Expire(partition);
  const std::uint64_t from = Number(request, "from");
  if (from < partition.log.first()) {
    Json::Value body;
    body["first"] = Json::UInt64(partition.log.first());
    return {.status = 410, .body = Text(body)};
  }
  std::string body = BigEndian(partition.log.end(), 8) + BigEndian(partition.log.first(), 8);
  for (std::uint64_t offset = from; offset < partition.log.end() && body.size() < kMaxReadBytes;
       ++offset) {
    const std::string& record = partition.log.At(offset);
    body += BigEndian(record.size(), 4) + record;
  }
  return {.body = body};
}

Store::Answer Store::ReadNewest(const net::HttpRequest& request) {
  const std::string topic(net::FindQueryParameter(request, "topic"));
  Json::Value body;
  body["items"] = Json::arrayValue;
  for (const auto& [key, entry] : newest_[topic]) {
    Json::Value item;
    item["key"] = key;
    item["value"] = Base64(entry.first);
    item["offset"] = Json::UInt64(entry.second);
    body["items"].append(item);
  }
  body["more"] = false;
  body["end"] = Json::UInt64(Find(request).log.end());
  return {.body = Text(body)};
}

Store::Answer Store::Trim(const net::HttpRequest& request) {
  const Json::Value body = ParseBody(request.body);
  partitions_[{body["topic"].asString(), body["part"].asUInt()}].log.TrimBefore(
      body["before"].asUInt64());
  return {.body = "{}"};
}

Store::Answer Store::Join(const net::HttpRequest& request) {
  const Json::Value body = ParseBody(request.body);
  std::vector<fakes::StorePartitionId> partitions;
  for (const Json::Value& topic : body["topics"]) {
    for (std::uint32_t part = 0; part < options_.partitions_per_topic; ++part) {
      partitions.emplace_back(topic.asString(), part);
    }
  }
  const auto joined = groups_[body["group"].asString()].Join(
      body["member"].asString(), body["generation"].asUInt64(),
      std::chrono::milliseconds(body["ttl_ms"].asInt64()), partitions, loop_.Now());
  Json::Value answer;
  answer["generation"] = Json::UInt64(joined.generation);
  answer["parts"] = Json::arrayValue;
  for (const auto& [topic, part] : joined.partitions) {
    Json::Value row;
    row.append(topic);
    row.append(part);
    row.append(0);
    answer["parts"].append(row);
  }
  return {.body = Text(answer)};
}

Store::Answer Store::Leave(const net::HttpRequest& request) {
  const Json::Value body = ParseBody(request.body);
  groups_[body["group"].asString()].Leave(body["member"].asString());
  return {.body = "{}"};
}

}  // namespace review
