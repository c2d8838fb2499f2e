#include <json/json.h>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

namespace {

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

// The content of a JSON array without its brackets.
std::string_view Elements(std::string_view array) {
  const std::size_t begin = array.find('[');
  const std::size_t end = array.rfind(']');
  if (begin == std::string_view::npos || end == std::string_view::npos || end <= begin + 1) {
    return "";
  }
  return array.substr(begin + 1, end - begin - 1);
}

void AppendElement(std::string& out, std::string_view element) {
  if (element.find_first_not_of(" \t\r\n") == std::string_view::npos) {
    return;
  }
  if (out.size() > 1) {
    out.push_back(',');
  }
  out.append(element);
}

}  // namespace

std::string ComposePrompt(const journal::Program& program, const std::string& messages) {
  std::string prompt = "[";
  for (const journal::Turn& turn : program.turns) {
    AppendElement(prompt, Elements(turn.messages));
    AppendElement(prompt,
                  "{\"role\":\"assistant\",\"content\":" + Write(Json::Value(turn.answer)) + "}");
  }
  AppendElement(prompt, Elements(messages));
  prompt.push_back(']');
  return prompt;
}

std::string HistoryAsJson(const journal::Program& program) {
  return "{\"messages\":" + ComposePrompt(program, "[]") + "}";
}

std::string CreatedAsJson(const ProgramId& id) {
  Json::Value out;
  out["program"] = id.value();
  return Write(out);
}

std::string DescribeAsJson(const ProgramId& id, const journal::Program& program) {
  Json::Value out;
  out["program"] = id.value();
  out["class"] = program.priority_class.value();
  out["budget_tokens"] = Json::UInt64(program.budget.value());
  out["spent_tokens"] = Json::UInt64(program.spent.value());
  out["authorised_tokens"] = Json::UInt64(program.authorised.value());
  out["reserved_tokens"] = Json::UInt64(program.reserved.value());
  out["calls"] = program.call_count;
  out["max_calls"] = program.max_calls;
  out["turns"] = program.turn_count.value();
  out["parent"] = program.parent.value();
  out["ended"] = program.ended;
  return Write(out);
}

}  // namespace acaciaspring::program
