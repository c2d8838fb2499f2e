#ifndef ACACIASPRING_SRC_MAIN_COMMAND_LINE_H_
#define ACACIASPRING_SRC_MAIN_COMMAND_LINE_H_

#include <boost/program_options.hpp>
#include <iostream>
#include <string_view>
#include <variant>

namespace acaciaspring {

inline constexpr int kUsageError = 2;
inline constexpr int kRuntimeError = 1;

/// @brief Returns the parsed options, or an exit status if the program must exit at once: 0 after
/// printing the description for `--help`, kUsageError after printing a parse error. The description
/// must declare the option `help`.
inline std::variant<boost::program_options::variables_map, int> ParseCommandLine(
    int argc,
    char** argv,
    std::string_view program,
    const boost::program_options::options_description& description) {
  boost::program_options::variables_map values;
  try {
    boost::program_options::store(
        boost::program_options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    boost::program_options::notify(values);
  } catch (const boost::program_options::error& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return kUsageError;
  }
  return values;
}

}  // namespace acaciaspring

#endif  // ACACIASPRING_SRC_MAIN_COMMAND_LINE_H_
