#ifndef CLEMENTINERILL_METRICS_LATENCY_CODEC_H_
#define CLEMENTINERILL_METRICS_LATENCY_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "metrics/latency_histogram.h"

namespace clementinerill {

/// @brief Encodes a histogram for messages between daemons.
///
/// The encoding is a sequence of LEB128 varints (7 bits per byte, least
/// significant group first): the format version, the sum in nanoseconds, then
/// for each non-empty bucket the number of empty buckets before it and its
/// count. An empty histogram takes 2 bytes.
[[nodiscard]] std::string EncodeLatencies(const LatencyHistogram& histogram);

/// @brief Decodes the output of `EncodeLatencies`.
///
/// Another format version, truncated input and bucket indices or counts out of
/// range are errors. The errors have no position.
[[nodiscard]] Result<LatencyHistogram> DecodeLatencies(std::string_view bytes);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_LATENCY_CODEC_H_
