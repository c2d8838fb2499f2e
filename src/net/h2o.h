#ifndef ACACIASPRING_SRC_NET_H2O_H_
#define ACACIASPRING_SRC_NET_H2O_H_

#include <h2o.h>

#include <string_view>

namespace acaciaspring::net {

inline std::string_view ToStringView(h2o_iovec_t text) {
  return {text.base, text.len};
}

inline h2o_iovec_t ToIovec(std::string_view text) {
  return h2o_iovec_init(text.data(), text.size());
}

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_H2O_H_
