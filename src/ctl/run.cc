#include <fstream>
#include <iomanip>
#include <sstream>

#include "acaciaspring/config.h"
#include "src/ctl/request.h"

namespace acaciaspring::ctl {

namespace {

std::string ToCompactJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value ToJson(const config::Document& document) {
  Json::Value value;
  std::istringstream(config::CanonicalText(document)) >> value;
  return value;
}

/// @brief Runs one command. Has one call operator for each command type.
class CommandRunner {
 public:
  CommandRunner(const Options& options, std::ostream& out, std::ostream& err)
      : options_(options), out_(out), err_(err) {}

  ExitCode operator()(const Check& command) {
    const config::Document document = config::LoadDocument(command.folder);
    out_ << command.folder << ": " << document.organisations.size() << " organisations, "
         << document.priority_classes.size() << " priority classes, " << document.endpoints.size()
         << " endpoints, " << document.services.size() << " services\n";
    return ExitCode::kOk;
  }

  ExitCode operator()(const Diff& command) {
    const config::Document desired = config::LoadDocument(command.folder);
    const Response response = SendRequest(options_, "GET", "/v1/admin/config", "");
    if (response.status != 200) {
      return ReportFailure(response);
    }
    config::Document current;
    if (response.document["revision"].asUInt64() > 0) {
      current = config::ParseDocument(ToCompactJson(response.document["document"]));
    }
    out_ << "revision in force: " << response.document["revision"].asUInt64() << "\n";
    for (const config::Change& change : config::Diff(current, desired)) {
      out_ << change.key_path << ": " << ValueOrAbsent(change.old_value) << " -> "
           << ValueOrAbsent(change.new_value) << "\n";
    }
    return ExitCode::kOk;
  }

  ExitCode operator()(const Apply& command) {
    const config::Document desired = config::LoadDocument(command.folder);
    Json::Value body;
    body["document"] = ToJson(desired);
    if (command.base.has_value()) {
      body["base"] = Json::UInt64(command.base->value());
    } else {
      const Response current = SendRequest(options_, "GET", "/v1/admin/config", "");
      if (current.status != 200) {
        return ReportFailure(current);
      }
      body["base"] = current.document["revision"];
    }
    const Response response =
        SendRequest(options_, "POST", "/v1/admin/config", ToCompactJson(body));
    if (std::holds_alternative<net::HttpInterrupted>(response.result) || response.status == 504) {
      err_ << "outcome unknown: the change may still take effect; see `status`\n";
      return ExitCode::kOutcomeUnknown;
    }
    if (response.status == 409) {
      err_ << "conflict: revision " << response.document["revision"].asUInt64()
           << " is in force and is not the base of the change; nothing was changed\n";
      return ExitCode::kConflict;
    }
    if (response.status != 200) {
      return ReportFailure(response);
    }
    out_ << "accepted: revision " << response.document["revision"].asUInt64() << "\n";
    return ExitCode::kOk;
  }

  ExitCode operator()(const Status&) {
    const Response response = SendRequest(options_, "GET", "/v1/admin/status", "");
    if (response.status != 200) {
      return ReportFailure(response);
    }
    if (options_.json) {
      out_ << response.document.toStyledString();
      return ExitCode::kOk;
    }
    out_ << std::left << std::setw(16) << "DAEMON" << std::setw(10) << "STATE" << std::setw(16)
         << "ZONE" << std::setw(10) << "REVISION" << std::setw(8) << "SHARDS" << std::setw(6)
         << "LOG" << std::setw(8) << "HOME"
         << "ENTRY\n";
    for (const Json::Value& member : response.document["members"]) {
      PrintMember(member, response.document["daemons"]);
    }
    PrintEndpoints(response.document["daemons"]);
    return ExitCode::kOk;
  }

  ExitCode operator()(const Programs& command) {
    const std::string target =
        command.include_ended ? "/v1/admin/programs?ended=1" : "/v1/admin/programs";
    const Response response = SendRequest(options_, "GET", target, "");
    if (response.status != 200) {
      return ReportFailure(response);
    }
    if (options_.json) {
      out_ << response.document.toStyledString();
      return ExitCode::kOk;
    }
    out_ << std::left << std::setw(34) << "PROGRAM" << std::setw(14) << "ORGANISATION"
         << std::setw(12) << "CLASS" << std::setw(7) << "TURNS" << std::setw(12) << "SPENT"
         << "BUDGET\n";
    for (const Json::Value& program : response.document["programs"]) {
      out_ << std::setw(34) << program["program"].asString() << std::setw(14)
           << program["organisation"].asString() << std::setw(12) << program["class"].asString()
           << std::setw(7) << program["turns"].asUInt64() << std::setw(12)
           << program["spent_tokens"].asUInt64() << program["budget_tokens"].asUInt64() << "\n";
    }
    out_ << "total: " << response.document["total"].asUInt64() << "\n";
    return ExitCode::kOk;
  }

  ExitCode operator()(const Entries&) {
    const Response response = SendRequest(options_, "GET", "/v1/entries", "");
    if (response.status != 200) {
      return ReportFailure(response);
    }
    for (const Json::Value& entry : response.document["entries"]) {
      out_ << entry["address"].asString() << " " << entry["zone"].asString() << "\n";
    }
    return ExitCode::kOk;
  }

  ExitCode operator()(const Explain& command) {
    std::vector<std::string> lines;
    for (const std::string& path : command.log_files) {
      std::ifstream file(path);
      if (!file) {
        err_ << "cannot read " << path << "\n";
        return ExitCode::kInvalid;
      }
      for (std::string line; std::getline(file, line);) {
        lines.push_back(std::move(line));
      }
    }
    return ExplainRequest(command.request_id, lines, out_);
  }

  ExitCode operator()(const Drain&) {
    const Response response = SendRequest(options_, "POST", "/v1/admin/drain", "");
    if (response.status != 202) {
      return ReportFailure(response);
    }
    out_ << "draining " << options_.server.ToString() << "\n";
    return ExitCode::kOk;
  }

 private:
  static std::string ValueOrAbsent(const std::string& value) {
    return value.empty() ? "(absent)" : value;
  }

  ExitCode ReportFailure(const Response& response) {
    if (!std::holds_alternative<net::HttpFinished>(response.result)) {
      err_ << "no response from " << options_.server.ToString() << "\n";
    } else {
      err_ << "HTTP " << response.status << ": " << ToCompactJson(response.document) << "\n";
    }
    return ExitCode::kFailed;
  }

  void PrintMember(const Json::Value& member, const Json::Value& daemons) {
    out_ << std::setw(16) << member["daemon"].asString() << std::setw(10)
         << member["state"].asString() << std::setw(16) << member["zone"].asString();
    for (const Json::Value& daemon : daemons) {
      if (daemon["daemon"] != member["daemon"]) {
        continue;
      }
      out_ << std::setw(10) << daemon["revision"].asUInt64() << std::setw(8)
           << daemon["owned_shards"].asUInt64() << std::setw(6)
           << (daemon["log"]["available"].asBool() ? "up" : "down") << std::setw(8)
           << daemon["home_calls"].asUInt64() << daemon["entry_calls"].asUInt64();
    }
    out_ << "\n";
  }

  void PrintEndpoints(const Json::Value& daemons) {
    out_ << "\n"
         << std::setw(32) << "ENDPOINT" << std::setw(16) << "DISPATCHER" << std::setw(10)
         << "AVAILABLE" << std::setw(8) << "QUEUED"
         << "RUNNING\n";
    for (const Json::Value& daemon : daemons) {
      for (const std::string& id : daemon["endpoints"].getMemberNames()) {
        const Json::Value& endpoint = daemon["endpoints"][id];
        out_ << std::setw(32) << id << std::setw(16) << daemon["daemon"].asString() << std::setw(10)
             << (endpoint["available"].asBool() ? "yes" : "no") << std::setw(8)
             << endpoint["queued"].asUInt64() << endpoint["running"].asUInt64() << "\n";
      }
    }
  }

  const Options& options_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace

ExitCode Run(const Command& command, const Options& options, std::ostream& out, std::ostream& err) {
  try {
    return std::visit(CommandRunner(options, out, err), command);
  } catch (const config::ConfigError& error) {
    err << error.what() << "\n";
    return ExitCode::kInvalid;
  }
}

}  // namespace acaciaspring::ctl
