#ifndef CLEMENTINERILL_TESTS_GATEWAY_FAKE_STORE_H_
#define CLEMENTINERILL_TESTS_GATEWAY_FAKE_STORE_H_

#include <algorithm>
#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "http/http.h"

namespace clementinerill::gateway {

/// An in-memory fake of the platform's object store with list, watch and write
/// requests.
class FakeStore {
 public:
  explicit FakeStore(http::EventLoop& loop)
      : loop_(loop), listener_(loop, [this](auto caller, auto request) {
          OnRequest(caller, request);
        }) {
    port_ = *listener_.Listen("127.0.0.1", 0);
  }

  [[nodiscard]] uint16_t Port() const { return port_; }

  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec) {
    PutText(kind, name, spec.dump());
  }

  /// Stores content that need not be valid JSON, as another writer may leave
  /// it.
  void PutText(const std::string& kind,
               const std::string& name,
               const std::string& spec) {
    Change({kind, name, spec, "null", false});
  }

  void Remove(const std::string& kind, const std::string& name) {
    Change({kind, name, "null", "null", true});
  }

  /// Makes the status that was written for an object a part of it, as in the
  /// platform's store.
  void WriteStatus(const std::string& kind, const std::string& name) {
    Event event = objects_.at(kind).at(name);
    event.status_ = statuses_.at(kind + "/" + name).dump();
    Change(event);
  }

  /// Keeps a copy of all objects, to which `Restore` returns.
  void Copy() {
    copy_ = objects_;
    copy_revision_ = revision_;
  }

  /// Returns to the copy: what was written since is lost, its revisions are
  /// given out again, and the era rises. All connections with a pending watch
  /// are closed.
  void Restore() {
    objects_ = copy_;
    revision_ = copy_revision_;
    events_.clear();
    ++era_;
    CutWatches();
  }

  /// Compacts the history: pending watches, and later ones from an older
  /// revision, get 410.
  void Compact() {
    history_floor_ = revision_;
    events_.clear();
    ReplyToWatches(410);
  }

  /// While down, requests get 503; pending watches get it at once.
  void SetDown(bool down) {
    down_ = down;
    if (down) {
      ReplyToWatches(503);
    }
  }

  /// While silent, requests are read and never answered, also not later, and
  /// responses to pending watches are lost.
  void SetSilent(bool silent) { silent_ = silent; }

  /// Answers all pending watches without events, as at the end of their wait.
  void EndWatches() {
    for (const PendingWatch& pending : std::exchange(watches_, {})) {
      ReplyEvents(pending);
    }
  }

  /// Closes the connections of all pending watches.
  void CutWatches() {
    for (const PendingWatch& pending : std::exchange(watches_, {})) {
      pending.caller_->Close();
    }
  }

  std::map<std::string, int> request_counts_;        ///< By method and kind.
  std::map<std::string, std::string> odd_metadata_;  ///< Text, by name.
  size_t page_size_ = 1000;                          ///< Objects in a list.
  bool has_no_history_ = false;                      ///< Every watch gets 410.
  bool lists_copy_ = false;  ///< Lists are those of the copy, in this era.
  std::map<std::string, nlohmann::json> statuses_;  ///< By kind and name.
  int lost_write_responses_ = 0;  ///< Next writes that get no response.
  std::set<std::string>
      unanswered_kinds_;  ///< Their requests are not answered.

 private:
  using milliseconds = std::chrono::milliseconds;

  struct Event {
    std::string kind_;
    std::string name_;
    std::string spec_;  ///< As text.
    std::string status_ = "null";
    bool deleted_ = false;
    int64_t revision_ = 0;
    int64_t created_ = 0;  ///< Revision at which the object was created.
  };
  using Caller = std::shared_ptr<http::ServerConnection>;
  struct PendingWatch {
    Caller caller_;
    std::string kind_;
    int64_t revision_;
    uint64_t id_ = 0;
  };

  [[nodiscard]] std::string ObjectOf(const Event& event) const {
    const nlohmann::json meta = {{"name", event.name_},
                                 {"rev", event.revision_},
                                 {"created", event.created_}};
    const auto odd = odd_metadata_.find(event.name_);
    return R"({"meta":)" +
           (odd == odd_metadata_.end() ? meta.dump() : odd->second) +
           R"(,"spec":)" + event.spec_ + R"(,"status":)" + event.status_ + "}";
  }

  static void AppendElement(std::string& list, const std::string& element) {
    list += (list.empty() ? "" : ",") + element;
  }

  void Change(Event event) {
    event.revision_ = ++revision_;
    auto& objects = objects_[event.kind_];
    const auto known = objects.find(event.name_);
    event.created_ =
        known == objects.end() ? event.revision_ : known->second.created_;
    if (event.deleted_) {
      objects_[event.kind_].erase(event.name_);
    } else {
      objects_[event.kind_][event.name_] = event;
    }
    events_.push_back(std::move(event));
    for (auto it = watches_.begin(); it != watches_.end();) {
      const PendingWatch pending = *it;
      it = HasEvents(pending) ? watches_.erase(it) : std::next(it);
      if (HasEvents(pending)) {
        ReplyEvents(pending);
      }
    }
  }

  [[nodiscard]] bool HasEvents(const PendingWatch& pending) const {
    for (const Event& event : events_) {
      if (event.kind_ == pending.kind_ && event.revision_ > pending.revision_) {
        return true;
      }
    }
    return false;
  }

  void ReplyEvents(const PendingWatch& pending) {
    std::string events;
    for (const Event& event : events_) {
      if (event.kind_ == pending.kind_ && event.revision_ > pending.revision_) {
        AppendElement(events, std::string(R"({"deleted":)") +
                                  (event.deleted_ ? "true" : "false") +
                                  R"(,"object":)" + ObjectOf(event) + "}");
      }
    }
    RespondText(pending.caller_, 200,
                R"({"events":[)" + events + R"(],"current_rev":)" +
                    std::to_string(revision_) + "}");
  }

  void ReplyToWatches(int status) {
    for (const PendingWatch& pending : std::exchange(watches_, {})) {
      Respond(pending.caller_, status, nullptr);
    }
  }

  void Respond(const Caller& caller,
               int status,
               const nlohmann::json& body) const {
    RespondText(caller, status, body.dump());
  }

  void RespondText(const Caller& caller,
                   int status,
                   const std::string& body) const {
    if (!silent_) {
      caller->Respond(
          {status, {{"Store-Era", std::to_string(era_)}}, body, true}, false);
    }
  }

  static std::string QueryValue(const std::string& target,
                                const std::string& key) {
    const size_t at = target.find(key + "=");
    if (at == std::string::npos) {
      return {};
    }
    const size_t begin = at + key.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }

  static std::string PercentDecode(const std::string& text) {
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        decoded +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        decoded += text[i];
      }
    }
    return decoded;
  }

  void OnRequest(const Caller& caller, const http::HttpRequest& request) {
    const std::string path = request.target_.substr(
        std::string("/objects/").size(),
        request.target_.find('?') - std::string("/objects/").size());
    const std::string kind = path.substr(0, path.find('/'));
    ++request_counts_[request.method_ + " " + kind];
    if (silent_ || unanswered_kinds_.count(kind) > 0) {
      return;
    }
    if (down_) {
      Respond(caller, 503, nullptr);
      return;
    }
    if (request.method_ == "DELETE") {
      const std::string name = path.substr(path.find('/') + 1);
      Remove(kind, name);
      Respond(caller, 200, nullptr);
      return;
    }
    if (request.method_ != "GET") {
      Write(caller, kind, request);
      return;
    }
    const std::string watch = QueryValue(request.target_, "watch");
    if (watch.empty()) {
      List(caller, kind, PercentDecode(QueryValue(request.target_, "after")));
      return;
    }
    const PendingWatch pending{caller, kind, std::stoll(watch), ++watch_id_};
    if (pending.revision_ < history_floor_ || pending.revision_ > revision_ ||
        has_no_history_) {
      Respond(caller, 410, nullptr);
    } else if (HasEvents(pending)) {
      ReplyEvents(pending);
    } else {
      watches_.push_back(pending);
      EndWatchAfter(
          milliseconds(std::stoll(QueryValue(request.target_, "wait_ms"))),
          pending.id_);
    }
  }

  void EndWatchAfter(milliseconds wait, uint64_t id) {
    loop_.Timers().Add(http::EventLoop::Now() + wait, [this, id] {
      const auto pending =
          std::find_if(watches_.begin(), watches_.end(),
                       [id](const PendingWatch& w) { return w.id_ == id; });
      if (pending != watches_.end()) {
        const PendingWatch ended = *pending;
        watches_.erase(pending);
        ReplyEvents(ended);
      }
    });
  }

  void Write(const Caller& caller,
             const std::string& kind,
             const http::HttpRequest& request) {
    const auto object = nlohmann::json::parse(request.body_);
    const std::string name = object["meta"]["name"];
    if (object.contains("status")) {
      statuses_[kind + "/" + name] = object["status"];
      Respond(caller, 200, object);
      return;
    }
    const auto known = objects_[kind].find(name);
    const bool exists = known != objects_[kind].end();
    const bool is_refused =
        request.method_ == "POST"
            ? exists
            : object["meta"].contains("rev") &&
                  (!exists || object["meta"]["rev"] != known->second.revision_);
    if (is_refused) {
      Respond(caller, 409, object);
      return;
    }
    Put(kind, name, object["spec"]);
    if (lost_write_responses_ > 0) {
      --lost_write_responses_;
      return;
    }
    RespondText(caller, request.method_ == "POST" ? 201 : 200,
                ObjectOf(objects_[kind][name]));
  }

  void List(const Caller& caller,
            const std::string& kind,
            const std::string& after) {
    const auto& objects = (lists_copy_ ? copy_ : objects_)[kind];
    std::string items;
    size_t listed = 0;
    auto object = objects.upper_bound(after);
    for (; object != objects.end() && listed < page_size_; ++object) {
      AppendElement(items, ObjectOf(object->second));
      ++listed;
    }
    RespondText(caller, 200,
                R"({"items":[)" + items + R"(],"has_more":)" +
                    (object == objects.end() ? "false" : "true") +
                    R"(,"current_rev":)" +
                    std::to_string(lists_copy_ ? copy_revision_ : revision_) +
                    "}");
  }

  http::EventLoop& loop_;
  http::Listener listener_;
  uint16_t port_ = 0;
  std::map<std::string, std::map<std::string, Event>> objects_;
  std::list<Event> events_;
  std::list<PendingWatch> watches_;
  int64_t revision_ = 1;
  int64_t history_floor_ = 0;
  bool down_ = false;
  bool silent_ = false;
  std::map<std::string, std::map<std::string, Event>> copy_;
  int64_t copy_revision_ = 0;
  int64_t era_ = 1;
  uint64_t watch_id_ = 0;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_TESTS_GATEWAY_FAKE_STORE_H_
