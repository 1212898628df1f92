#include "gateway/caller_access.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "gateway/caller_response.h"
#include "gateway/forward_header.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using organisations::AccessRefusal;

organisations::ViewAge ViewAgeOf(const traffic::FleetState& fleet) {
  return {fleet.view_proof_, fleet.limits_.max_view_age_};
}

http::HttpResponse Refuse(SessionContext& context,
                          AccessRefusal refusal,
                          const traffic::RouteRule& route,
                          std::string_view id) {
  static RateLimitedLogger lines;
  context.metrics_.access_refused_.Increment(refusal);
  lines.Log(http::EventLoop::Now(), LogLevel::kWarning, "access", "refused",
            {{"id", id},
             {"route", route.name_},
             {"reason", NameOf(organisations::kAccessRefusalNames, refusal)},
             {"status", organisations::StatusOf(refusal)},
             {"version", context.fleet_.view_->configuration_->version_}});
  http::HttpResponse response = AccessRefusalResponse(refusal, context.names_);
  response.keep_alive_ = !context.draining_;
  return response;
}

organisations::PresentedKeys KeysOf(const http::Headers& headers,
                                    const std::string& name) {
  organisations::PresentedKeys keys;
  for (const auto& [key, value] : headers) {
    if (http::IsSameHeaderName(key, name) && keys.count_++ == 0) {
      keys.first_ = value;
    }
  }
  return keys;
}

}  // namespace

std::optional<http::HttpResponse> CheckHead(SessionContext& context,
                                            const http::RequestHead& head) {
  const auto& configuration = context.fleet_.view_->configuration_;
  if (!configuration || !configuration->organisations_) {
    return std::nullopt;
  }
  const traffic::RouteRule* route =
      traffic::FindRoute(*configuration, head.Find("Host"), head.Target());
  if (!route) {
    return std::nullopt;
  }
  const std::string& name = context.names_.api_key_;
  const auto access = organisations::Decide(
      configuration->organisations_.get(), route->is_public_,
      {head.Count(name), head.Find(name)}, ViewAgeOf(context.fleet_),
      http::EventLoop::BootNow());
  if (!access.refusal_) {
    return std::nullopt;
  }
  return Refuse(context, *access.refusal_, *route,
                head.Find(context.names_.request_id_));
}

RequestAccess CheckRequest(SessionContext& context,
                           const http::HttpRequest& request,
                           const traffic::RouteRule& route) {
  const auto* directory =
      context.fleet_.view_->configuration_->organisations_.get();
  if (!directory) {
    return {};
  }
  auto access = organisations::Decide(
      directory, route.is_public_,
      KeysOf(request.headers_, context.names_.api_key_),
      ViewAgeOf(context.fleet_), http::EventLoop::BootNow());
  if (!access.refusal_) {
    return {std::nullopt, std::move(access.credential_)};
  }
  return {
      Refuse(context, *access.refusal_, route,
             http::FindHeader(request.headers_, context.names_.request_id_)),
      {}};
}

void RemoveAccessHeaders(const traffic::FleetState& fleet,
                         const WireNames& names,
                         http::Headers& headers) {
  if (!fleet.view_->configuration_->organisations_) {
    return;
  }
  const auto is_removed = [&names](const auto& field) {
    return http::IsSameHeaderName(field.first, names.api_key_) ||
           http::IsSameHeaderName(field.first, names.organisation_) ||
           http::IsSameHeaderName(field.first, kForwardHeader);
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), is_removed),
                headers.end());
}

std::optional<AccessRefusal> RecheckAccess(
    const traffic::FleetState& fleet,
    const traffic::TrafficConfiguration& started_with,
    const traffic::RouteRule& route,
    const organisations::Credential& credential) {
  const auto* newest = fleet.view_->configuration_->organisations_.get();
  if (!newest) {
    return std::nullopt;
  }
  return organisations::Recheck(newest, started_with.organisations_.get(),
                                route.is_public_, credential, ViewAgeOf(fleet),
                                http::EventLoop::BootNow());
}

bool MayRunForwarded(SessionContext& context,
                     const http::HttpRequest& request,
                     const traffic::RouteRule& route,
                     std::string_view organisation) {
  const auto& configuration = *context.fleet_.view_->configuration_;
  const auto refusal = organisations::DecideForwarded(
      configuration.organisations_.get(), route.is_public_, organisation,
      ViewAgeOf(context.fleet_), http::EventLoop::BootNow());
  if (!refusal) {
    return true;
  }
  static RateLimitedLogger lines;
  context.metrics_.forward_access_refused_.Increment(*refusal);
  lines.Log(
      http::EventLoop::Now(), LogLevel::kWarning, "access",
      "forwarded query refused",
      {{"id", http::FindHeader(request.headers_, context.names_.request_id_)},
       {"route", route.name_},
       {"reason", NameOf(organisations::kForwardRefusalNames, *refusal)},
       {"organisation", organisation},
       {"version", configuration.version_}});
  return false;
}

void RecheckAccess(SessionContext& context, traffic::Query& query) {
  if (query.access_refusal_ ||
      !context.fleet_.view_->configuration_->organisations_) {
    return;
  }
  query.access_refusal_ =
      RecheckAccess(context.fleet_, *query.view_->configuration_, *query.route_,
                    {query.organisation_, query.key_});
  if (query.access_refusal_) {
    context.metrics_.access_lost_.Increment(*query.access_refusal_);
  }
}

}  // namespace clementinerill::gateway
