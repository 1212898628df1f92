#ifndef CLEMENTINERILL_GATEWAY_REPLICA_REPORT_DECODER_H_
#define CLEMENTINERILL_GATEWAY_REPLICA_REPORT_DECODER_H_

#include "gateway/wire_names.h"
#include "http/http_message.h"
#include "traffic/replica_report.h"

namespace clementinerill::gateway {

/// @brief Decodes what a response says about its replica.
///
/// Headers that are missing or malformed are left out.
[[nodiscard]] traffic::ReplicaReport DecodeReplicaReport(
    const http::HttpResponse& response,
    const WireNames& names);

/// @brief Whether the headers of a response say that its replica is leaving.
[[nodiscard]] bool ReportsDeparture(const http::Headers& headers,
                                    const WireNames& names);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_REPLICA_REPORT_DECODER_H_
