#include "metrics/prometheus_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace clementinerill {
namespace {

bool IsLetterOrUnderscore(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

bool IsDigit(char c) noexcept {
  return c >= '0' && c <= '9';
}

std::string Escape(std::string_view text, bool escape_quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || (c == '"' && escape_quotes)) {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

// Six significant digits distinguish neighbouring bounds. std::to_chars does
// not depend on the locale.
std::string FormatBound(double seconds) {
  std::array<char, 32> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), seconds,
                    std::chars_format::general, 6);
  return std::string(buffer.data(), result.ptr);
}

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                    std::chrono::duration<double>(duration).count());
  return std::string(buffer.data(), result.ptr);
}

}  // namespace

bool IsMetricName(std::string_view name) noexcept {
  return !name.empty() && !IsDigit(name.front()) &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return IsLetterOrUnderscore(c) || IsDigit(c) || c == ':';
         });
}

bool IsLabelName(std::string_view name) noexcept {
  return IsMetricName(name) && name != "le" &&
         name.find(':') == std::string_view::npos;
}

void AppendHeader(std::string& text,
                  const std::string& name,
                  std::string_view help,
                  std::string_view type) {
  text.append("# HELP ").append(name).append(" ");
  text.append(Escape(help, /*escape_quotes=*/false)).append("\n");
  text.append("# TYPE ").append(name).append(" ");
  text.append(type).append("\n");
}

void AppendSample(std::string& text,
                  const std::string& name,
                  const MetricLabels& labels,
                  const std::string& value) {
  text.append(name);
  char separator = '{';
  for (const auto& [label, label_value] : labels) {
    text.append(1, separator).append(label).append("=\"");
    text.append(Escape(label_value, /*escape_quotes=*/true)).append("\"");
    separator = ',';
  }
  text.append(labels.empty() ? " " : "} ").append(value).append("\n");
}

void AppendHistogram(std::string& text,
                     const std::string& name,
                     const MetricLabels& labels,
                     const LatencyHistogram& histogram) {
  MetricLabels bucket_labels = labels;
  std::string& upper_bound = bucket_labels["le"];
  uint64_t cumulative = 0;
  for (int bucket = 0; bucket < kHistogramBuckets; ++bucket) {
    cumulative += histogram.CountInBucket(bucket);
    upper_bound = bucket == kHistogramBuckets - 1
                      ? "+Inf"
                      : FormatBound(UpperBoundSeconds(bucket));
    AppendSample(text, name + "_bucket", bucket_labels,
                 std::to_string(cumulative));
  }
  AppendSample(text, name + "_sum", labels, FormatSeconds(histogram.Sum()));
  AppendSample(text, name + "_count", labels, std::to_string(cumulative));
}

}  // namespace clementinerill
