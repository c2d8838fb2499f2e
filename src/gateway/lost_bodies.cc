#include "src/gateway/lost_bodies.h"

namespace acaciaspring::gateway {

namespace {

// With kMaxRememberedBytes of each, at most 4 MB.
constexpr std::size_t kMaxBodies = 64;

}  // namespace

void LostBodies::Add(LostBody body) {
  if (body.shorten == nullptr) {
    return;
  }
  bodies_.push_back(std::move(body));
  if (bodies_.size() > kMaxBodies) {
    bodies_.pop_front();
  }
}

std::vector<LostBody> LostBodies::LongerForms(const LostRequest& shorter) const {
  std::vector<LostBody> longer;
  if (shorter.body_bytes <= kStartBytes) {
    return longer;
  }
  for (const LostBody& body : bodies_) {
    if (body.lost.start == shorter.start && body.lost.body_bytes > shorter.body_bytes &&
        body.shorten(shorter.body_bytes) == shorter.request) {
      longer.push_back(body);
    }
  }
  return longer;
}

}  // namespace acaciaspring::gateway
