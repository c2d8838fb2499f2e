#include "acaciaspring/organisations.h"

namespace acaciaspring::organisations {

std::string IdPrefix(const OrganisationId& organisation) {
  // The separator is escaped in the name, so that no two pairs of organisation and id look alike.
  std::string prefix;
  for (const char c : organisation.value()) {
    if (c == '/' || c == '%') {
      prefix += c == '/' ? "%2F" : "%25";
    } else {
      prefix += c;
    }
  }
  return prefix + "/";
}

}  // namespace acaciaspring::organisations
