#include "usage/report_book.h"

#include <nlohmann/json.hpp>

namespace clementinerill::usage {
namespace {

using nlohmann::json;

}  // namespace

std::string EncodeBook(const ReportBook& book) {
  json unsent = json::array();
  for (const WindowReport& report : book.unsent_) {
    unsent.push_back({{"window", report.window_}, {"counts", report.counts_}});
  }
  json encoded = {{"unsent", std::move(unsent)}};
  if (book.last_window_) {
    encoded["last_window"] = *book.last_window_;
  }
  return encoded.dump();
}

Result<ReportBook> DecodeBook(const std::string& text) {
  ReportBook book;
  if (text.empty()) {
    return book;
  }
  const json decoded = json::parse(text, nullptr, false);
  if (!decoded.is_object()) {
    return Fail("usage reports in the store must be a JSON object");
  }
  try {
    if (decoded.contains("last_window")) {
      book.last_window_ = decoded.at("last_window").get<int64_t>();
    }
    for (const json& report : decoded.at("unsent")) {
      book.unsent_.push_back(
          {report.at("window").get<int64_t>(),
           report.at("counts").get<std::map<std::string, int64_t>>()});
    }
  } catch (const json::exception& error) {
    return Fail(std::string("usage reports in the store have a missing or "
                            "invalid field: ") +
                error.what());
  }
  return book;
}

}  // namespace clementinerill::usage
