#include "src/gateway/request_fingerprint.h"

#include <array>
#include <cstdio>

#include "acaciaspring/wire.h"

namespace acaciaspring::gateway {

RequestFingerprint MakeFingerprint(std::string_view key, const RequestContent& content) {
  std::string data;
  data.reserve(content.body.size() + 256);
  for (const std::string_view part :
       {content.credentials, content.method, content.host, content.target, content.body}) {
    // The length keeps the parts apart.
    data += std::to_string(part.size());
    data += ':';
    data += part;
  }
  return RequestFingerprint(wire::KeyedHash64(key, data));
}

std::string ToString(RequestFingerprint fingerprint) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(fingerprint.value()));
  return text.data();
}

}  // namespace acaciaspring::gateway
