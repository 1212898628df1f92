#include "gateway/failing_allocations.h"

#include <cstdlib>
#include <new>

namespace clementinerill::gateway {
namespace {

struct Plan {
  bool is_armed_ = false;
  size_t min_bytes_ = 0;
  uint64_t skipped_ = 0;
  uint64_t count_ = 0;
  uint64_t failed_ = 0;
};

thread_local Plan plan;

bool ShouldFail(size_t bytes) {
  if (!plan.is_armed_ || bytes < plan.min_bytes_) {
    return false;
  }
  if (plan.skipped_ > 0) {
    --plan.skipped_;
    return false;
  }
  if (plan.failed_ == plan.count_) {
    return false;
  }
  ++plan.failed_;
  return true;
}

}  // namespace

FailingAllocations::FailingAllocations(size_t min_bytes,
                                       uint64_t skipped,
                                       uint64_t count) {
  plan = {true, min_bytes, skipped, count, 0};
}

FailingAllocations::~FailingAllocations() {
  plan.is_armed_ = false;
}

uint64_t FailingAllocations::Failed() {
  return plan.failed_;
}

void* Allocate(size_t bytes) {
  void* const memory = ShouldFail(bytes) ? nullptr : std::malloc(bytes);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

}  // namespace clementinerill::gateway

void* operator new(size_t bytes) {
  return clementinerill::gateway::Allocate(bytes);
}
void* operator new[](size_t bytes) {
  return clementinerill::gateway::Allocate(bytes);
}
void operator delete(void* memory) noexcept {
  std::free(memory);
}
void operator delete[](void* memory) noexcept {
  std::free(memory);
}
void operator delete(void* memory, size_t /*bytes*/) noexcept {
  std::free(memory);
}
void operator delete[](void* memory, size_t /*bytes*/) noexcept {
  std::free(memory);
}
