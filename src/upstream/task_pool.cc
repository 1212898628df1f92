#include "upstream/task_pool.h"

#include <utility>

#include "logging/contain_exceptions.h"

namespace clementinerill {

TaskPool::TaskPool(int threads) {
  threads_.reserve(static_cast<size_t>(threads));
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { RunWorker(); });
  }
}

TaskPool::~TaskPool() {
  Stop();
}

void TaskPool::Post(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    tasks_.push_back(std::move(task));
  }
  task_available_.notify_one();
}

void TaskPool::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  task_available_.notify_all();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void TaskPool::RunWorker() {
  while (true) {
    std::unique_lock lock(mutex_);
    task_available_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    if (tasks_.empty()) {
      return;
    }
    const std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    ContainExceptions("task", task);
  }
}

}  // namespace clementinerill
