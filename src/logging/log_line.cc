#include "logging/log_line.h"

#include <algorithm>
#include <array>

namespace clementinerill {
namespace {

bool IsControlCharacter(char c) noexcept {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == 0x7f;
}

bool NeedsQuotes(char c) noexcept {
  const auto byte = static_cast<unsigned char>(c);
  return IsControlCharacter(c) || byte > 0x7f || c == ' ' || c == '"' ||
         c == '=' || c == '\\';
}

void AppendEscapedControl(std::string& text, char c) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(c);
  switch (c) {
    case '\n':
      text += "\\n";
      return;
    case '\r':
      text += "\\r";
      return;
    case '\t':
      text += "\\t";
      return;
    default:
      text += "\\x";
      text += kDigits[byte >> 4U];
      text += kDigits[byte & 0xfU];
  }
}

}  // namespace

std::string EscapeFieldValue(std::string_view value) {
  if (!value.empty() && std::none_of(value.begin(), value.end(), NeedsQuotes)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (IsControlCharacter(c)) {
      AppendEscapedControl(quoted, c);
      continue;
    }
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c;
  }
  return quoted + "\"";
}

std::string FormatLogLine(std::string_view component,
                          std::string_view message,
                          const LogFields& fields) {
  std::string line(component);
  line += ": ";
  for (const char c : message) {
    if (IsControlCharacter(c)) {
      AppendEscapedControl(line, c);
    } else {
      line += c;
    }
  }
  for (const LogField& field : fields) {
    line.append(" ").append(field.key_).append("=");
    line.append(EscapeFieldValue(field.value_));
  }
  return line;
}

}  // namespace clementinerill
