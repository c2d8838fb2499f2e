#include <json/json.h>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

namespace {

std::string ToJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

// Returns the text between the brackets of a JSON array.
std::string_view ArrayElements(std::string_view array) {
  const std::size_t begin = array.find('[');
  const std::size_t end = array.rfind(']');
  if (begin == std::string_view::npos || end == std::string_view::npos || end <= begin + 1) {
    return "";
  }
  return array.substr(begin + 1, end - begin - 1);
}

// Appends array elements to `out`, an unfinished JSON array that starts with a bracket.
void AppendElements(std::string& out, std::string_view elements) {
  if (elements.find_first_not_of(" \t\r\n") == std::string_view::npos) {
    return;
  }
  if (out.size() > 1) {
    out.push_back(',');
  }
  out.append(elements);
}

}  // namespace

std::string ComposePrompt(const journal::Program& program, const std::string& messages) {
  std::string prompt = "[";
  for (const journal::Turn& turn : program.turns) {
    AppendElements(prompt, ArrayElements(turn.messages));
    AppendElements(prompt,
                   "{\"role\":\"assistant\",\"content\":" + ToJson(Json::Value(turn.answer)) + "}");
  }
  AppendElements(prompt, ArrayElements(messages));
  prompt.push_back(']');
  return prompt;
}

std::string HistoryAsJson(const journal::Program& program) {
  return "{\"messages\":" + ComposePrompt(program, "[]") + "}";
}

std::string CreationAsJson(const ProgramId& id) {
  Json::Value out;
  out["program"] = id.value();
  return ToJson(out);
}

std::string DescriptionAsJson(const ProgramId& id, const journal::Program& program) {
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
  return ToJson(out);
}

}  // namespace acaciaspring::program
