#include "fakes/fake_store.h"

#include <openssl/evp.h>

#include <algorithm>

namespace acaciaspring::fakes {

namespace {

constexpr std::string_view kKeyedPrefix = "keyed.";
constexpr std::size_t kMaxReadBytes = std::size_t{1} << 20;
// Limits of one append and of one record.
constexpr std::size_t kMaxCallBytes = std::size_t{2} << 20;
constexpr std::size_t kMaxRecordBytes = std::size_t{256} << 10;

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

StorePartitionId PartitionOf(const Call& call) {
  return {std::string(net::FindQueryParameter(call.request, "topic")),
          static_cast<std::uint32_t>(QueryNumber(call.request, "part", 0))};
}

void AnswerAppend(const net::HttpResponderPtr& responder, const StoreAppendResult& result) {
  Json::Value body;
  std::visit(Overloaded{[&](const StoreAppended& appended) {
                          body["offset"] = Json::UInt64(appended.offset);
                          body["end"] = Json::UInt64(appended.end);
                          RespondJson(responder, 200, body);
                        },
                        [&](const StoreNotAtEnd& other) {
                          body["end"] = Json::UInt64(other.end);
                          RespondJson(responder, 412, body);
                        },
                        [&](const StoreFenced&) {
                          body["why"] = "fenced";
                          RespondJson(responder, 409, body);
                        },
                        [&](const StoreSequenceGap& gap) {
                          body["why"] = "seq";
                          body["sequence"] = Json::UInt64(gap.expected);
                          RespondJson(responder, 409, body);
                        }},
             result);
}

}  // namespace

FakeStore::FakeStore(net::Loop& loop, const net::Address& listen, const StoreOptions& options)
    : options_(options),
      server_(loop, listen, {"lose_answers", "late_ms", "silent", "away_percent", "away_salt"}) {
  const auto route = [this](const char* method, const char* path,
                            void (FakeStore::*handler)(const Call&)) {
    server_.Route(method, path, [this, handler](const Call& call) {
      if (server_.faults().IsOn("silent")) {
        server_.LeaveUnanswered(call.responder);
        return;
      }
      (this->*handler)(call);
    });
  };
  route("POST", "/-/log-append", &FakeStore::Append);
  route("GET", "/-/log-read", &FakeStore::Read);
  route("GET", "/-/log-newest", &FakeStore::ReadNewest);
  route("POST", "/-/log-trim", &FakeStore::Trim);
  route("POST", "/-/log-join", &FakeStore::Join);
  route("POST", "/-/log-leave", &FakeStore::Leave);
}

void FakeStore::WriteKey(const std::string& topic,
                         const std::string& key,
                         const std::string& value) {
  std::string record(1, static_cast<char>(key.size()));
  Execute(topic, 0, {.at = {}, .producer = {}, .records = {record + key + value}});
}

void FakeStore::DropHistory(const std::string& topic) {
  StorePartition& partition = partitions_[{topic, 0}];
  partition.TrimBefore(partition.end());
}

void FakeStore::ReassignPartitions() {
  for (auto& [name, group] : groups_) {
    group.ReassignPartitions();
  }
}

StoreAppendResult FakeStore::Execute(const std::string& topic,
                                     std::uint32_t part,
                                     const StoreAppend& append) {
  const StoreAppendResult result = partitions_[{topic, part}].Append(append);
  const auto* appended = std::get_if<StoreAppended>(&result);
  if (appended != nullptr && topic.starts_with(kKeyedPrefix)) {
    std::uint64_t offset = appended->offset;
    for (const std::string& record : append.records) {
      const std::size_t key_size = static_cast<unsigned char>(record.at(0));
      const std::string key = record.substr(1, key_size);
      const std::string value = record.substr(std::min(record.size(), 1 + key_size));
      if (value.empty()) {
        newest_values_[topic].erase(key);
      } else {
        newest_values_[topic][key] = {value, offset};
      }
      ++offset;
    }
  }
  return result;
}

bool FakeStore::RefuseIfUnavailable(const Call& call) {
  const auto percent = static_cast<std::uint64_t>(server_.faults().Value("away_percent"));
  const auto salt = static_cast<std::uint64_t>(server_.faults().Value("away_salt"));
  const auto [topic, part] = PartitionOf(call);
  if (topic.starts_with(kKeyedPrefix) ||
      Hash64(topic + "/" + std::to_string(part), salt) % 100 >= percent) {
    return false;
  }
  RespondError(call.responder, 503, "unavailable",
               "partition unavailable (fault switch away_percent)");
  return true;
}

void FakeStore::Append(const Call& call) {
  if (RefuseIfUnavailable(call)) {
    return;
  }
  const net::HttpRequest& request = call.request;
  StoreAppend append{.at = {}, .producer = {}, .records = SplitRecords(request.body)};
  if (request.body.size() > kMaxCallBytes ||
      std::any_of(append.records.begin(), append.records.end(),
                  [](const std::string& record) { return record.size() > kMaxRecordBytes; })) {
    RespondError(call.responder, 413, "too_large", "append exceeds the size limits");
    return;
  }
  if (!net::FindQueryParameter(request, "at").empty()) {
    append.at = QueryNumber(request, "at", 0);
  }
  if (const auto producer = net::FindQueryParameter(request, "producer"); !producer.empty()) {
    append.producer = {.name = std::string(producer),
                       .epoch = QueryNumber(request, "epoch", 0),
                       .sequence = QueryNumber(request, "sequence", 0)};
  }
  const auto [topic, part] = PartitionOf(call);
  const auto lost_percent = static_cast<std::uint64_t>(server_.faults().Value("lose_answers"));
  if (append_count_++ % 100 < lost_percent) {
    const auto execute = [this, topic = topic, part = part, append] {
      Execute(topic, part, append);
    };
    const std::int64_t late_ms = server_.faults().Value("late_ms");
    if (late_ms > 0) {
      server_.After(std::chrono::milliseconds(late_ms), execute);
    } else {
      execute();
    }
    server_.LeaveUnanswered(call.responder);
    return;
  }
  AnswerAppend(call.responder, Execute(topic, part, append));
}

void FakeStore::Read(const Call& call) {
  if (RefuseIfUnavailable(call)) {
    return;
  }
  const StorePartition& partition = partitions_[PartitionOf(call)];
  const std::uint64_t from = QueryNumber(call.request, "from", 0);
  if (from < partition.first()) {
    Json::Value body;
    body["first"] = Json::UInt64(partition.first());
    RespondJson(call.responder, 410, body);
    return;
  }
  std::string body = BigEndian(partition.end(), 8) + BigEndian(partition.first(), 8);
  for (std::uint64_t offset = from; offset < partition.end() && body.size() < kMaxReadBytes;
       ++offset) {
    const std::string& record = partition.At(offset);
    body += BigEndian(record.size(), 4) + record;
  }
  call.responder->Respond(200, {{"content-type", "application/octet-stream"}}, body);
}

void FakeStore::ReadNewest(const Call& call) {
  const std::string topic(net::FindQueryParameter(call.request, "topic"));
  Json::Value body;
  body["items"] = Json::arrayValue;
  for (const auto& [key, entry] : newest_values_[topic]) {
    Json::Value item;
    item["key"] = key;
    item["value"] = Base64(entry.first);
    item["offset"] = Json::UInt64(entry.second);
    body["items"].append(item);
  }
  body["more"] = false;
  body["end"] = Json::UInt64(partitions_[{topic, 0}].end());
  RespondJson(call.responder, 200, body);
}

void FakeStore::Trim(const Call& call) {
  const auto body = ParseJson(call.request.body);
  if (!body || !(*body)["topic"].isString()) {
    RespondError(call.responder, 400, "bad_request", "the body needs a topic");
    return;
  }
  partitions_[{(*body)["topic"].asString(), (*body)["part"].asUInt()}].TrimBefore(
      (*body)["before"].asUInt64());
  RespondJson(call.responder, 200, Json::objectValue);
}

void FakeStore::Join(const Call& call) {
  const auto body = ParseJson(call.request.body);
  if (!body || !(*body)["group"].isString() || !(*body)["topics"].isArray()) {
    RespondError(call.responder, 400, "bad_request",
                 "the body needs a group and an array of topics");
    return;
  }
  std::vector<StorePartitionId> partitions;
  for (const Json::Value& topic : (*body)["topics"]) {
    for (std::uint32_t part = 0; part < options_.partitions_per_topic; ++part) {
      partitions.emplace_back(topic.asString(), part);
    }
  }
  const StoreGroup::JoinResult joined = groups_[(*body)["group"].asString()].Join(
      (*body)["member"].asString(), (*body)["generation"].asUInt64(),
      std::chrono::milliseconds((*body)["ttl_ms"].asInt64()), partitions, server_.loop().Now());
  Json::Value response;
  response["generation"] = Json::UInt64(joined.generation);
  response["parts"] = Json::arrayValue;
  for (const auto& [topic, part] : joined.partitions) {
    Json::Value row;
    row.append(topic);
    row.append(part);
    row.append(0);
    response["parts"].append(row);
  }
  RespondJson(call.responder, 200, response);
}

void FakeStore::Leave(const Call& call) {
  const auto body = ParseJson(call.request.body);
  if (!body || !(*body)["group"].isString()) {
    RespondError(call.responder, 400, "bad_request", "the body needs a group");
    return;
  }
  groups_[(*body)["group"].asString()].Leave((*body)["member"].asString());
  RespondJson(call.responder, 200, Json::objectValue);
}

}  // namespace acaciaspring::fakes
