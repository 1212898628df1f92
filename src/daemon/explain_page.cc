#include "daemon/explain_page.h"

#include <string>

namespace clementinerill {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

AdminReply MakeReply(int status, std::string body) {
  AdminReply reply;
  reply.status_ = status;
  reply.body_ = std::move(body);
  return reply;
}

}  // namespace

std::optional<AdminReply> ServeExplain(const ExplainRecorder& recorder,
                                       const AdminRequest& request,
                                       Instant now) {
  const std::string prefix = "/explain/";
  if (request.path_ == "/explain") {
    return request.query_ == "slow"
               ? MakeReply(200, recorder.NotableJson(now))
               : MakeReply(kBadRequest,
                           R"({"error": "expected /explain/<request id> )"
                           R"(or /explain?slow"})");
  }
  if (request.path_.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  const auto found =
      recorder.FindJson(request.path_.substr(prefix.size()), now);
  return found ? MakeReply(200, *found)
               : MakeReply(kNotFound,
                           R"({"error": "no record of this request id"})");
}

}  // namespace clementinerill
