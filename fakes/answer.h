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

/// @brief Number of whitespace-separated words.
std::uint64_t CountWords(std::string_view text);

/// @brief Number of tokens of a prompt: the words of all contents.
std::uint64_t CountPromptTokens(const std::vector<Message>& messages);

/// @brief The words that the fake engine answers; a function of the whole message list.
///
/// The last word is "end-" and 8 hexadecimal digits, also when `max_tokens` shortens the answer,
/// so a prefix of an answer is never a valid answer. Empty when `max_tokens` is 0.
std::vector<std::string> AnswerWords(const std::vector<Message>& messages,
                                     std::uint64_t max_tokens);

/// @brief Number of words of the answer when no limit shortens it.
std::uint64_t FullAnswerLength(const std::vector<Message>& messages);

/// @brief Words joined by single spaces: the content of the assistant's message.
std::string JoinWords(const std::vector<std::string>& words);

/// @brief Identity of a message list of which `previous` is the list without its last message
/// (empty for the first message). Keys of the prefix cache.
std::string ExtendPrefix(std::string_view previous, const Message& message);

}  // namespace acaciaspring::fakes

#endif  // FAKES_ANSWER_H_
