#ifndef CLEMENTINERILL_USAGE_COUNT_TABLE_H_
#define CLEMENTINERILL_USAGE_COUNT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "usage/message.h"

namespace clementinerill::usage {

/// @brief Whether a process has seen a window from its start.
enum class Mark : int64_t {
  kPartial = 1,  ///< It started within the window.
  kFull = 2,
};

/// @brief Which counts of a table are meant.
enum class CountScope {
  kOwn,     ///< Of one process.
  kDirect,  ///< Of this process and of those that report to it.
  kAll,
};

/// @brief Counts of many processes for the last windows.
///
/// Counts of one process only rise, and merging takes the larger one. So a
/// repeated, late or reordered report counts nothing twice, whichever way it
/// took, and the last report of a process that has ended is kept.
struct CountTable {
  struct Entry {
    int64_t count_ = 0;
    uint64_t version_ = 0;    ///< Of the table when it last changed.
    bool is_direct_ = false;  ///< Counted here or reported to this daemon.
  };
  struct ProcessCounts {
    uint64_t version_ = 0;  ///< Latest of its entries.
    std::map<std::string, Entry> organisations_;
  };
  using Window = std::map<std::string, ProcessCounts>;  ///< By process.

  std::map<int64_t, Window> windows_;
  uint64_t version_ = 0;  ///< Rises with each change.
  size_t entries_ = 0;
  /// Windows that are kept; counts of others are dropped.
  int64_t first_window_ = 0;
  int64_t last_window_ = 0;
  uint64_t dropped_ = 0;  ///< Counts dropped because the table was full.
};

/// @brief Sets the windows that are kept and forgets all others, also later
/// ones: the time may have been corrected.
void KeepWindows(CountTable& table, int64_t first, int64_t last);

/// @brief Adds requests of an organisation that `process` counted itself.
void AddOwn(CountTable& table,
            const std::string& process,
            int64_t window,
            const std::string& organisation,
            int64_t requests);

/// @brief Merges a count that another daemon sent. `is_direct` if it was sent
/// by the process that counted, or by one that collects for other daemons.
void Merge(CountTable& table, const Count& count, bool is_direct);

/// @brief A part of the changes of a table.
struct CountChanges {
  std::vector<Count> counts_;
  uint64_t version_ = 0;  ///< Continue after this one.
};

/// @brief Returns the changes after `version`, oldest first, at most about
/// `limit` of them. `process` is the own one, for `CountScope::kOwn`.
[[nodiscard]] CountChanges ChangesAfter(const CountTable& table,
                                        uint64_t version,
                                        CountScope scope,
                                        const std::string& process,
                                        size_t limit);

/// @brief Returns the requests of a window by organisation, of all processes.
[[nodiscard]] std::map<std::string, int64_t> SumOf(const CountTable& table,
                                                   int64_t window);

/// @brief Returns the first window that any process has seen from its start.
[[nodiscard]] std::optional<int64_t> FirstFullWindow(const CountTable& table);

/// @brief Whether any process has marked the window.
[[nodiscard]] bool HasMarks(const CountTable& table, int64_t window);

/// @brief Returns the last window that each daemon has marked, by key.
[[nodiscard]] std::map<std::string, int64_t> LastMarks(const CountTable& table);

/// @brief Short form of a daemon's name: names take most of the bytes of a
/// message otherwise.
[[nodiscard]] std::string DaemonKey(const std::string& daemon);

/// @brief Name of a process of a daemon: differs between processes of one
/// daemon, as their counts add up.
[[nodiscard]] std::string ProcessName(const std::string& daemon,
                                      uint64_t random);

/// @brief Returns the daemon's key in the name of its process.
[[nodiscard]] std::string KeyOfProcess(const std::string& process);

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_COUNT_TABLE_H_
