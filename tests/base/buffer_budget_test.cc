#include "base/buffer_budget.h"

#include <memory>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

std::shared_ptr<BufferAccount> MakeAccount(
    const std::shared_ptr<BufferBudget>& budget) {
  return std::make_shared<BufferAccount>(BufferAccount{budget, 0});
}

// Guards against one holder, or many of them, that leave no memory for others.
TEST_CASE("large holders leave memory free for small ones", "[buffers]") {
  const auto budget = std::make_shared<BufferBudget>(BufferBudget{1000000, 0});
  const size_t count = GENERATE(1, 3, 9, 60);
  std::vector<BufferHold> holds;
  std::vector<std::shared_ptr<BufferAccount>> accounts;
  for (size_t i = 0; i < count; ++i) {
    accounts.push_back(MakeAccount(budget));
    holds.emplace_back(accounts.back());
  }
  for (uint64_t bytes = 1000; bytes <= 1000000; bytes += 1000) {
    for (BufferHold& hold : holds) {
      static_cast<void>(hold.TryResize(bytes));
    }
  }
  const uint64_t part = budget->limit_bytes_ / (count + 1);
  CHECK(budget->held_bytes_ <= budget->limit_bytes_ - part);
  BufferHold small(MakeAccount(budget));
  CHECK(small.TryResize(part / 2));
}

// Guards against several buffers of one holder that count as several holders.
TEST_CASE("all buffers of a holder count together", "[buffers]") {
  const auto budget = std::make_shared<BufferBudget>(BufferBudget{1000, 0});
  const auto account = MakeAccount(budget);
  BufferHold first(account);
  BufferHold second(account);
  REQUIRE(first.TryResize(400));
  CHECK_FALSE(second.TryResize(200));
  CHECK(second.TryResize(100));
  CHECK(account->held_bytes_ == 500);
}

// Guards against bytes that count for ever, or twice, after a buffer is moved
// or gone.
TEST_CASE("bytes count as long as their buffer exists", "[buffers]") {
  const auto budget = std::make_shared<BufferBudget>(BufferBudget{1000, 0});
  const auto account = MakeAccount(budget);
  {
    BufferHold hold(account);
    REQUIRE(hold.TryResize(300));
    CHECK_FALSE(hold.TryResize(600));
    CHECK(budget->held_bytes_ == 300);
    BufferHold moved(std::move(hold));
    CHECK(budget->held_bytes_ == 300);
    CHECK(moved.TryResize(200));
    BufferHold other(account);
    CHECK(other.TryResize(100));
    moved = std::move(other);
    CHECK(budget->held_bytes_ == 100);
  }
  CHECK(budget->held_bytes_ == 0);
  CHECK(account->held_bytes_ == 0);
}

// Guards against a limit where none was set.
TEST_CASE("a buffer without an account has no limit", "[buffers]") {
  BufferHold hold;
  CHECK(hold.TryResize(1ULL << 60));
}

}  // namespace
}  // namespace clementinerill
