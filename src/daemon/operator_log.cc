#include "daemon/operator_log.h"

#include "logging/log.h"

namespace clementinerill {

void LogConfigurationInForce(const RoutingTable& table) {
  Log(LogLevel::kInfo, "configuration", "in force",
      {{"version", table.configuration_version_},
       {"pools", table.pools_.size()},
       {"routes", table.routes_.size()}});
}

void LogProcessChanged(const std::string& upstream,
                       const std::string& process) {
  Log(LogLevel::kInfo, "upstream", "process changed",
      {{"upstream", upstream}, {"process", process}});
}

void LogConnectionsCondemned(Instant now,
                             const std::string& upstream,
                             int connections) {
  static RateLimitedLogger site;
  site.Log(now, LogLevel::kWarning, "upstream", "silent connections condemned",
           {{"upstream", upstream}, {"connections", connections}});
}

void LogRefusal(Instant now,
                const std::string& route,
                const QueryAnswer& answer) {
  static RateLimitedLogger site;
  site.Log(now, LogLevel::kWarning, "query", "refused",
           {{"request_id", answer.request_id_},
            {"route", route},
            {"reason", NameOf(kReasonNames, answer.reason_)}});
}

}  // namespace clementinerill
