#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_MODEL_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_MODEL_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_upstream/upstream_faults.h"
#include "fakes/fake_upstream/upstream_options.h"
#include "fakes/fake_upstream/upstream_stats.h"
#include "fakes/index/generated_index.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief One request as the stand-in received it.
struct UpstreamQuery {
  std::string attempt_id_;
  std::string peer_;  ///< Address and port of the connection.
  std::string route_;
  std::string query_;
  size_t top_ = 10;
  std::chrono::steady_clock::time_point deadline_;
  std::optional<Snapshot> snapshot_;
};

/// @brief How the stand-in answers.
struct UpstreamReply {
  int status_ = 200;
  bool not_run_ = false;
  bool close_ = false;  ///< Close the connection without an answer.
  std::string body_;
  std::optional<Snapshot> snapshot_;
  KeyRange range_;
};

/// @brief Slots, cancellation, faults and data of one stand-in. Thread-safe.
class UpstreamModel {
 public:
  explicit UpstreamModel(const UpstreamOptions& options);

  /// @brief Runs a query or refuses it. Blocks for the time to run it.
  /// @param caller_gone Polled; true ends the run like a cancellation.
  [[nodiscard]] UpstreamReply Serve(const UpstreamQuery& query,
                                    const std::function<bool()>& caller_gone);

  /// @brief Stops an attempt and waits until it has stopped.
  ///
  /// An attempt that arrives later isn't run either.
  void Cancel(const std::string& attempt_id);

  /// @brief Applies a JSON document of faults. False when malformed.
  [[nodiscard]] bool SetFaults(const std::string& text);

  void NotePeer(const std::string& peer);
  void ForgetPeer(const std::string& peer);

  [[nodiscard]] std::string StatsText() const;
  [[nodiscard]] std::string Offers() const;
  [[nodiscard]] std::string ProcessId() const { return process_id_; }
  [[nodiscard]] int Running() const;
  [[nodiscard]] UpstreamStats Stats() const;
  /// @brief The limit for `X-Cold`; zero when there is nothing to announce.
  [[nodiscard]] int AnnouncedColdLimit() const;

 private:
  using Lock = std::unique_lock<std::mutex>;

  [[nodiscard]] std::optional<UpstreamReply> Admit(const UpstreamQuery& query);
  [[nodiscard]] UpstreamReply RunAdmitted(
      const UpstreamQuery& query,
      const std::function<bool()>& caller_gone);
  [[nodiscard]] std::optional<UpstreamReply> Sleep(
      Lock& lock,
      const UpstreamQuery& query,
      const std::function<bool()>& caller_gone);
  void CountColdAnswer();
  [[nodiscard]] UpstreamReply Search(const UpstreamQuery& query,
                                     const Snapshot& snapshot) const;

  const UpstreamOptions options_;
  const std::string process_id_;
  const KeyRange range_;
  const std::vector<Document> documents_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Snapshot> offers_;
  UpstreamFaults faults_;
  UpstreamStats stats_;
  std::set<std::string> cancelled_;
  std::set<std::string> running_ids_;
  std::set<std::string> peers_;
  int running_ = 0;
  int cold_answered_ = 0;  ///< Answers at the present cold limit.
  std::mt19937_64 random_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_MODEL_H_
