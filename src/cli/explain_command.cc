#include "cli/explain_command.h"

#include <iostream>
#include <memory>
#include <string>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include "cli/load_settings.h"
#include "settings/endpoint.h"

namespace clementinerill {
namespace {

constexpr int kTimeoutSeconds = 10;

struct ExplainArguments {
  std::string request_id_;
  std::string admin_;
};

std::string ExplainPath(const std::string& request_id) {
  std::string encoded;
  Poco::URI::encode(request_id, "/?#%&+", encoded);
  return "/explain/" + encoded;
}

int PrintRecords(const Endpoint& admin, const std::string& request_id) {
  Poco::Net::HTTPClientSession session(admin.address_, admin.port_);
  session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
  Poco::Net::HTTPRequest request("GET", ExplainPath(request_id), "HTTP/1.1");
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::istream& body = session.receiveResponse(response);
  const bool found = response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
  std::ostream& out = found ? std::cout : std::cerr;
  Poco::StreamCopier::copyStream(body, out);
  out << "\n";
  return found ? 0 : 1;
}

int Explain(const ExplainArguments& arguments) {
  const auto admin = ParseEndpoint(arguments.admin_);
  if (!admin) {
    PrintErrors({{"--admin " + admin.error().description_, {}}});
    return 1;
  }
  try {
    return PrintRecords(*admin, arguments.request_id_);
  } catch (const Poco::Exception& exception) {
    std::cerr << "explain: request to " << arguments.admin_
              << " failed: " << exception.displayText() << "\n";
    return 1;
  }
}

}  // namespace

void AddExplainCommand(CLI::App& app, int& exit_code) {
  CLI::App* command =
      app.add_subcommand("explain", "Show the records of a request");
  const auto arguments = std::make_shared<ExplainArguments>();
  command->add_option("request_id", arguments->request_id_, "Request id")
      ->required();
  command->add_option("--admin", arguments->admin_, "Admin address of a daemon")
      ->required();
  command->callback(
      [arguments, &exit_code] { exit_code = Explain(*arguments); });
}

}  // namespace clementinerill
