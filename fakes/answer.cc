#include "fakes/answer.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "acaciaspring/base.h"

namespace acaciaspring::fakes {

namespace {

constexpr std::uint64_t kMinAnswerWords = 8;
constexpr std::uint64_t kAnswerLengthCount = 25;

constexpr std::array<std::string_view, 32> kVocabulary = {
    "rice",  "mill",    "ticket", "saddle", "order", "part",  "belt",    "sieve",
    "motor", "visit",   "fit",    "tree",   "girth", "panel", "leather", "stock",
    "check", "replace", "book",   "date",   "time",  "price", "deposit", "horse",
    "back",  "width",   "hull",   "grain",  "bran",  "feed",  "screen",  "valve"};

std::string CanonicalText(const Message& message) {
  return message.role + ":" + message.content + "\n";
}

std::string HashMessages(const std::vector<Message>& messages) {
  std::string text;
  for (const Message& message : messages) {
    text += CanonicalText(message);
  }
  return HashHex(text);
}

std::uint64_t AnswerLength(const std::string& hash) {
  return kMinAnswerWords + Hash64(hash) % kAnswerLengthCount;
}

}  // namespace

std::uint64_t CountWords(std::string_view text) {
  std::uint64_t words = 0;
  bool inside = false;
  for (const char character : text) {
    const bool space = std::isspace(static_cast<unsigned char>(character)) != 0;
    words += (!space && !inside) ? 1 : 0;
    inside = !space;
  }
  return words;
}

std::uint64_t CountPromptTokens(const std::vector<Message>& messages) {
  std::uint64_t words = 0;
  for (const Message& message : messages) {
    words += CountWords(message.content);
  }
  return words;
}

std::vector<std::string> AnswerWords(const std::vector<Message>& messages,
                                     std::uint64_t max_tokens) {
  const std::string hash = HashMessages(messages);
  const std::uint64_t count = std::min(max_tokens, AnswerLength(hash));
  std::vector<std::string> words;
  words.reserve(count);
  for (std::uint64_t index = 0; index + 1 < count; ++index) {
    const std::uint64_t value = Hash64(hash, index);
    // Without the number, two different answers could share long sequences of words.
    words.push_back(std::string(kVocabulary.at(value % kVocabulary.size())) +
                    std::to_string(value / kVocabulary.size() % 1000));
  }
  if (count > 0) {
    words.push_back("end-" + hash.substr(0, 8));
  }
  return words;
}

std::uint64_t FullAnswerLength(const std::vector<Message>& messages) {
  return AnswerLength(HashMessages(messages));
}

std::string JoinWords(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += text.empty() ? "" : " ";
    text += word;
  }
  return text;
}

std::string ExtendPrefix(std::string_view previous, const Message& message) {
  return HashHex(std::string(previous) + CanonicalText(message));
}

}  // namespace acaciaspring::fakes
