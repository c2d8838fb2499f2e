#ifndef ACACIASPRING_SRC_CTL_REQUEST_H_
#define ACACIASPRING_SRC_CTL_REQUEST_H_

#include <json/json.h>

#include <string>

#include "acaciaspring/ctl.h"

namespace acaciaspring::ctl {

/// @brief HTTP response of a daemon. `document` is null unless the body is JSON.
struct Response {
  net::HttpResult result;
  int status = 0;
  Json::Value document;
};

/// @brief Sends one request with the operator key and waits for the response.
Response SendRequest(const Options& options,
                     const std::string& method,
                     const std::string& target,
                     const std::string& body);

}  // namespace acaciaspring::ctl

#endif  // ACACIASPRING_SRC_CTL_REQUEST_H_
