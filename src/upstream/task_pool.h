#ifndef CLEMENTINERILL_UPSTREAM_TASK_POOL_H_
#define CLEMENTINERILL_UPSTREAM_TASK_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace clementinerill {

/// @brief A fixed-size thread pool that starts blocking tasks in FIFO order.
class TaskPool {
 public:
  explicit TaskPool(int threads);
  ~TaskPool();
  TaskPool(const TaskPool&) = delete;
  TaskPool& operator=(const TaskPool&) = delete;

  /// @brief Queues a task. Tasks posted after `Stop` are dropped.
  void Post(std::function<void()> task);

  /// @brief Runs the tasks that are still queued and joins the threads.
  void Stop();

 private:
  void RunWorker();

  std::mutex mutex_;
  std::condition_variable task_available_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_TASK_POOL_H_
