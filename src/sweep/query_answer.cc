#include "sweep/query_answer.h"

#include <utility>

namespace clementinerill {

QueryAnswer RefusedAnswer(std::string request_id, Reason reason) {
  QueryAnswer answer;
  answer.request_id_ = std::move(request_id);
  answer.outcome_ = Outcome::kRefused;
  answer.reason_ = reason;
  answer.missing_ = {KeyRange{0, kKeySpaceEnd}};
  return answer;
}

}  // namespace clementinerill
