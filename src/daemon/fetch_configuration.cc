#include "daemon/fetch_configuration.h"

#include <algorithm>
#include <iterator>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

#include "base/parse_number.h"

namespace clementinerill {
namespace {

constexpr int kTimeoutSeconds = 2;

}  // namespace

Result<std::string> FetchConfiguration(const std::string& address,
                                       uint16_t port) {
  try {
    Poco::Net::HTTPClientSession session(address, port);
    session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request("GET", "/objects/config/main", "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    const std::string body(std::istreambuf_iterator<char>(stream), {});
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return Fail("the platform has no configuration");
    }
    std::string tag = response.get("ETag", "");
    tag.erase(std::remove(tag.begin(), tag.end(), '"'), tag.end());
    auto document = nlohmann::json::parse(body, nullptr, false);
    const auto version = ParseNumber(tag);
    if (!document.is_object() || !version) {
      return Fail("the platform's answer is malformed");
    }
    document["version"] = *version;
    return document.dump();
  } catch (const std::exception& exception) {
    return Fail(exception.what());
  }
}

}  // namespace clementinerill
