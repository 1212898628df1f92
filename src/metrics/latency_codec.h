#ifndef CLEMENTINERILL_METRICS_LATENCY_CODEC_H_
#define CLEMENTINERILL_METRICS_LATENCY_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "metrics/latency_histogram.h"

namespace clementinerill {

/// @brief Writes a histogram as bytes for a message between daemons.
///
/// Variable-length integers (7 bits a byte, low bits first): format version,
/// sum in nanoseconds, then for each cell that is not empty the distance from
/// the previous one and the count. An empty histogram takes 2 bytes.
[[nodiscard]] std::string EncodeLatencies(const LatencyHistogram& histogram);

/// @brief Reads what `EncodeLatencies` wrote.
///
/// Bytes of another format version, truncated bytes and cells or counts out of
/// range are errors; the position is not known.
[[nodiscard]] Result<LatencyHistogram> DecodeLatencies(std::string_view bytes);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_LATENCY_CODEC_H_
