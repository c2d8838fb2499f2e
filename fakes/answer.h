#ifndef FAKES_ANSWER_H_
#define FAKES_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaspring::fakes {

/// @brief One message of a chat.
struct Message {
  std::string role;
  std::string content;
  bool operator==(const Message&) const = default;
};

/// @brief Number of whitespace-separated words; the fakes count one token per word.
std::uint64_t CountWords(std::string_view text);

/// @brief Number of tokens of a prompt: the number of words in all message contents.
std::uint64_t CountPromptTokens(const std::vector<Message>& messages);

/// @brief The words that the fake engine generates: a deterministic function of the message list.
///
/// The last word is "end-" followed by 8 hexadecimal digits, also when `max_tokens` limits the
/// answer, so that a truncated answer is never equal to a valid shorter one. Empty if `max_tokens`
/// is 0.
std::vector<std::string> AnswerWords(const std::vector<Message>& messages,
                                     std::uint64_t max_tokens);

/// @brief Number of words of the answer without a `max_tokens` limit.
std::uint64_t FullAnswerLength(const std::vector<Message>& messages);

/// @brief Joins the words with single spaces, as in the content of the assistant message.
std::string JoinWords(const std::vector<std::string>& words);

/// @brief Key of a message list in the prefix cache: a hash chain over the messages. `previous` is
/// the key of the list without its last message, or empty if `message` is the first one.
std::string ExtendPrefix(std::string_view previous, const Message& message);

}  // namespace acaciaspring::fakes

#endif  // FAKES_ANSWER_H_
