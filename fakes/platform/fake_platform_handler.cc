#include "fakes/platform/fake_platform_handler.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <thread>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

using nlohmann::json;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr size_t kMaxValueBytes = size_t{1} << 20;
const std::string kObjectsPrefix = "/objects/";

std::string ReadBody(HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

void SendResponse(HTTPServerResponse& response,
                  HTTPResponse::HTTPStatus status,
                  const std::string& body,
                  std::optional<uint64_t> version = std::nullopt) {
  response.setStatusAndReason(status);
  if (version) {
    response.set("ETag", '"' + std::to_string(*version) + '"');
  }
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

void CloseConnection(HTTPServerRequest& request, HTTPServerResponse& response) {
  response.setKeepAlive(false);
  auto& accepted = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  // The detached socket closes when its last reference is released, which is
  // after the handler returns.
  (void)accepted.detachSocket();
}

std::optional<uint64_t> ParseNumber(std::string text) {
  text.erase(std::remove(text.begin(), text.end(), '"'), text.end());
  if (text.empty() || text.find_first_not_of("0123456789") != text.npos) {
    return std::nullopt;
  }
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::optional<uint64_t> ParseQueryNumber(const Poco::URI& uri,
                                         const std::string& name) {
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key == name) {
      return ParseNumber(value);
    }
  }
  return std::nullopt;
}

std::optional<PutCondition> ParsePutCondition(
    const HTTPServerRequest& request) {
  if (request.get("If-None-Match", "") == "*") {
    return PutCondition{0};
  }
  if (!request.has("If-Match")) {
    return PutCondition{};
  }
  const auto version = ParseNumber(request.get("If-Match"));
  if (!version) {
    return std::nullopt;
  }
  return PutCondition{version};
}

}  // namespace

void FakePlatformHandler::handleRequest(Request& request, Response& response) {
  const Poco::URI uri(request.getURI());
  const std::string& token = state_.Token();
  if (!token.empty() && request.get("Authorization", "") != "Bearer " + token) {
    SendResponse(response, HTTPResponse::HTTP_UNAUTHORIZED, "{}");
    return;
  }
  Serve(uri, request, response);
}

void FakePlatformHandler::Serve(const Poco::URI& uri,
                                Request& request,
                                Response& response) {
  const std::string& path = uri.getPath();
  if (path.rfind(kObjectsPrefix, 0) == 0) {
    ServeObject(uri, request, response);
  } else if (path == "/vms") {
    ServeVms(uri, request, response);
  } else if (path == "/fault") {
    ServeFault(request, response);
  } else if (path == "/stats") {
    ServeStats(response);
  } else {
    SendResponse(response, HTTPResponse::HTTP_NOT_FOUND, "{}");
  }
}

bool FakePlatformHandler::ApplyFault(const Fault& fault,
                                     Request& request,
                                     Response& response) {
  if (fault.mode_ == FaultMode::kSlow) {
    std::this_thread::sleep_for(fault.delay_);
    return false;
  }
  if (fault.mode_ != FaultMode::kDown) {
    return false;
  }
  if (fault.close_) {
    CloseConnection(request, response);
  } else {
    SendResponse(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "{}");
  }
  return true;
}

void FakePlatformHandler::ServeObject(const Poco::URI& uri,
                                      Request& request,
                                      Response& response) {
  const std::string key = uri.getPath().substr(kObjectsPrefix.size());
  const std::string body = ReadBody(request);
  const bool is_write = request.getMethod() == "PUT";
  const bool is_watch = !is_write && ParseQueryNumber(uri, "watch").has_value();
  const auto counter = is_write   ? &CallCounts::puts_
                       : is_watch ? &CallCounts::watches_
                                  : &CallCounts::gets_;
  state_.Calls().Count(counter, std::chrono::steady_clock::now());
  const Fault fault = state_.TakeFault(is_write);
  if (ApplyFault(fault, request, response)) {
    return;
  }
  if (is_write) {
    const bool drop_response = fault.mode_ == FaultMode::kLoseAnswers;
    ServePut(key, body, drop_response, request, response);
  } else if (is_watch) {
    ServeWatch(key, uri, request, response);
  } else {
    ServeGet(key, response);
  }
}

void FakePlatformHandler::ServeGet(const std::string& key, Response& response) {
  const StoredObject object = state_.Objects().Get(key);
  if (object.version_ == 0) {
    SendResponse(response, HTTPResponse::HTTP_NOT_FOUND, "{}");
    return;
  }
  SendResponse(response, HTTPResponse::HTTP_OK, object.value_, object.version_);
}

void FakePlatformHandler::ServeWatch(const std::string& key,
                                     const Poco::URI& uri,
                                     Request& request,
                                     Response& response) {
  constexpr uint64_t kDefaultTimeoutMs = 30'000;
  const uint64_t version = ParseQueryNumber(uri, "watch").value_or(0);
  const std::chrono::milliseconds timeout(
      ParseQueryNumber(uri, "timeout_ms").value_or(kDefaultTimeoutMs));
  const StoredObject object = state_.Objects().Watch(key, version, timeout);
  const Fault fault = state_.CurrentFault();
  if (fault.mode_ == FaultMode::kDown && ApplyFault(fault, request, response)) {
    return;
  }
  if (object.version_ > version) {
    SendResponse(response, HTTPResponse::HTTP_OK, object.value_,
                 object.version_);
    return;
  }
  response.setStatusAndReason(HTTPResponse::HTTP_NOT_MODIFIED);
  response.setContentLength(0);
  response.send();
}

void FakePlatformHandler::ServePut(const std::string& key,
                                   const std::string& body,
                                   bool drop_response,
                                   Request& request,
                                   Response& response) {
  if (body.size() > kMaxValueBytes) {
    SendResponse(response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "{}");
    return;
  }
  const auto condition = ParsePutCondition(request);
  if (!condition) {
    SendResponse(response, HTTPResponse::HTTP_BAD_REQUEST, "{}");
    return;
  }
  const PutResult result = state_.Objects().Put(key, body, *condition);
  if (drop_response) {
    CloseConnection(request, response);
    return;
  }
  const auto status = result.accepted_ ? HTTPResponse::HTTP_OK
                                       : HTTPResponse::HTTP_PRECONDITION_FAILED;
  SendResponse(response, status, "{}", result.version_);
}

void FakePlatformHandler::ServeVms(const Poco::URI& uri,
                                   Request& request,
                                   Response& response) {
  const auto now = std::chrono::steady_clock::now();
  if (request.getMethod() == "PUT") {
    const std::string body = ReadBody(request);
    if (const auto lag_ms = ParseQueryNumber(uri, "lag_ms")) {
      state_.Vms().SetLag(std::chrono::milliseconds(*lag_ms));
    }
    if (!body.empty()) {
      state_.Vms().Set(body, now);
    }
    SendResponse(response, HTTPResponse::HTTP_OK, "{}");
    return;
  }
  state_.Calls().Count(&CallCounts::vm_lists_, now);
  if (ApplyFault(state_.TakeFault(false), request, response)) {
    return;
  }
  SendResponse(response, HTTPResponse::HTTP_OK, state_.Vms().Get(now));
}

void FakePlatformHandler::ServeFault(Request& request, Response& response) {
  const json body = json::parse(ReadBody(request), nullptr, false);
  Fault fault;
  try {
    const auto mode =
        ValueOf(kFaultModeNames, body.at("mode").get<std::string>());
    if (!mode) {
      SendResponse(response, HTTPResponse::HTTP_BAD_REQUEST, "{}");
      return;
    }
    fault.mode_ = *mode;
    fault.delay_ = std::chrono::milliseconds(body.value("delay_ms", 0));
    fault.close_ = body.value("close", false);
    fault.count_ = body.value("count", 0);
  } catch (const json::exception&) {
    SendResponse(response, HTTPResponse::HTTP_BAD_REQUEST, "{}");
    return;
  }
  state_.SetFault(fault);
  SendResponse(response, HTTPResponse::HTTP_OK, "{}");
}

void FakePlatformHandler::ServeStats(Response& response) {
  const CallCounts counts = state_.Calls().Counts();
  const json body = {{"calls", counts.calls_},
                     {"gets", counts.gets_},
                     {"puts", counts.puts_},
                     {"watches", counts.watches_},
                     {"vm_lists", counts.vm_lists_},
                     {"peak_calls_per_second", counts.peak_calls_per_second_}};
  SendResponse(response, HTTPResponse::HTTP_OK, body.dump());
}

}  // namespace clementinerill
