#include "src/gateway/request_fingerprint.h"

#include <array>
#include <cstdio>

#include "acaciaspring/wire.h"

namespace acaciaspring::gateway {

namespace {

RequestFingerprint MakeFingerprint(std::string_view key,
                                   std::string_view kind,
                                   const RequestContent& content,
                                   std::string_view body) {
  std::string data;
  data.reserve(body.size() + 256);
  for (const std::string_view part :
       {kind, content.credentials, content.method, content.host, content.target, body}) {
    // The length keeps the parts apart.
    data += std::to_string(part.size());
    data += ':';
    data += part;
  }
  return RequestFingerprint(wire::KeyedHash64(key, data));
}

}  // namespace

RequestFingerprints MakeFingerprints(std::string_view key,
                                     const RequestContent& content,
                                     const ShorterSizes& shorter_sizes) {
  RequestFingerprints fingerprints{
      .whole = MakeFingerprint(key, "whole", content, content.body),
      .start = MakeFingerprint(key, "start", content, content.body.substr(0, kStartBytes)),
      .body_bytes = content.body.size()};
  if (shorter_sizes && content.body.size() > kStartBytes) {
    for (const std::uint64_t bytes : shorter_sizes(fingerprints.start)) {
      if (bytes < content.body.size()) {
        fingerprints.shorter.push_back(
            {.request = MakeFingerprint(key, "whole", content, content.body.substr(0, bytes)),
             .body_bytes = bytes});
      }
    }
  }
  return fingerprints;
}

Shortener MakeShortener(const std::string& key, const RequestContent& content) {
  if (content.body.size() <= kStartBytes || content.body.size() > kMaxRememberedBytes) {
    return nullptr;
  }
  return [key, credentials = std::string(content.credentials), method = std::string(content.method),
          host = std::string(content.host), target = std::string(content.target),
          body = std::string(content.body)](std::uint64_t body_bytes) {
    const RequestContent kept{
        .credentials = credentials, .method = method, .host = host, .target = target};
    return MakeFingerprint(key, "whole", kept, std::string_view(body).substr(0, body_bytes));
  };
}

std::string ToString(RequestFingerprint fingerprint) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(fingerprint.value()));
  return text.data();
}

}  // namespace acaciaspring::gateway
