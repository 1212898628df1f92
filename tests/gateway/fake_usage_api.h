#ifndef CLEMENTINERILL_TESTS_GATEWAY_FAKE_USAGE_API_H_
#define CLEMENTINERILL_TESTS_GATEWAY_FAKE_USAGE_API_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/http.h"

namespace clementinerill::gateway {

/// A fake of the usage API, which judges the rules for its calls itself.
class FakeUsageApi {
 public:
  struct Call {
    std::string holder_;
    int64_t token_ = 0;
    int64_t window_ = 0;
    std::string body_;
    Instant received_{};
    int status_ = 0;  ///< Of the response; 0 if there was none.
  };

  explicit FakeUsageApi(http::EventLoop& loop)
      : listener_(loop, [this](auto caller, auto request) {
          OnRequest(caller, request);
        }) {
    port_ = *listener_.Listen("127.0.0.1", 0);
  }

  [[nodiscard]] uint16_t Port() const { return port_; }

  /// Requests of an organisation in all accepted windows.
  [[nodiscard]] int64_t Total(const std::string& organisation) const {
    int64_t total = 0;
    for (const auto& [window, body] : accepted_) {
      total +=
          nlohmann::json::parse(body)["counts"].value(organisation, int64_t{0});
    }
    return total;
  }

  /// Whether the accepted windows follow each other without a gap.
  [[nodiscard]] bool HasNoGap() const {
    return accepted_.empty() ||
           accepted_.rbegin()->first - accepted_.begin()->first + 1 ==
               static_cast<int64_t>(accepted_.size());
  }

  int status_ = 200;        ///< Of all responses.
  bool is_silent_ = false;  ///< Calls are recorded and not answered.
  /// Calls are accepted, but the response is lost.
  bool loses_responses_ = false;
  Duration lease_ = std::chrono::milliseconds(3000);
  std::vector<Call> calls_;
  std::map<int64_t, std::string> accepted_;  ///< Body, by window.
  std::vector<std::string> violations_;

 private:
  using Caller = std::shared_ptr<http::ServerConnection>;

  void OnRequest(const Caller& caller, const http::HttpRequest& request) {
    Call call;
    call.holder_ =
        std::string(http::FindHeader(request.headers_, "X-Duty-Holder"));
    call.token_ = std::stoll(
        std::string(http::FindHeader(request.headers_, "X-Fencing-Token")));
    call.body_ = request.body_;
    call.window_ = nlohmann::json::parse(request.body_).at("window");
    call.received_ = http::EventLoop::Now();
    if (request.method_ != "POST" || request.target_ != "/usage") {
      violations_.push_back("unknown call " + request.target_);
    }
    Judge(call);
    const bool accepts = (status_ == 200 || loses_responses_) && !is_silent_;
    if (accepts) {
      const auto known = accepted_.emplace(call.window_, call.body_).first;
      if (known->second != call.body_) {
        violations_.push_back("two reports of window " +
                              std::to_string(call.window_));
      }
    }
    call.status_ = is_silent_ || loses_responses_ ? 0 : status_;
    calls_.push_back(call);
    if (loses_responses_) {
      caller->Close();
    } else if (!is_silent_) {
      caller->Respond({status_, {}, "", true}, false);
    }
  }

  void Judge(const Call& call) {
    for (const Call& earlier : calls_) {
      if (earlier.token_ == call.token_ && earlier.holder_ != call.holder_) {
        violations_.push_back("two holders with one token");
      }
      if (earlier.token_ > call.token_) {
        violations_.push_back("the token has fallen");
      }
    }
    // The last change of the holder before this call.
    if (!calls_.empty() && calls_.back().holder_ != call.holder_) {
      const auto last_own = std::find_if(
          calls_.rbegin(), calls_.rend(),
          [&](const Call& c) { return c.holder_ == call.holder_; });
      if (last_own != calls_.rend() &&
          call.received_ - last_own->received_ < lease_) {
        violations_.push_back("holders in the order A, B, A");
      }
    }
  }

  http::Listener listener_;
  uint16_t port_ = 0;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_TESTS_GATEWAY_FAKE_USAGE_API_H_
