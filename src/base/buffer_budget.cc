#include "base/buffer_budget.h"

#include <utility>

namespace clementinerill {

bool MayHold(const BufferBudget& budget,
             const BufferAccount& account,
             uint64_t more) noexcept {
  const uint64_t held = budget.held_bytes_ + more;
  return held <= budget.limit_bytes_ &&
         (budget.is_first_come_ ||
          account.held_bytes_ + more <= budget.limit_bytes_ - held);
}

std::shared_ptr<BufferAccount> MakeBufferAccount(
    std::shared_ptr<BufferBudget> budget) {
  return budget ? std::make_shared<BufferAccount>(
                      BufferAccount{std::move(budget), 0})
                : nullptr;
}

BufferHold::BufferHold(std::shared_ptr<BufferAccount> account) noexcept
    : account_(std::move(account)) {}

BufferHold::~BufferHold() {
  Release();
}

BufferHold::BufferHold(BufferHold&& other) noexcept
    : account_(std::move(other.account_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

BufferHold& BufferHold::operator=(BufferHold&& other) noexcept {
  if (this != &other) {
    Release();
    account_ = std::move(other.account_);
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

bool BufferHold::TryResize(uint64_t bytes) noexcept {
  if (!account_) {
    return true;
  }
  BufferBudget& budget = *account_->budget_;
  if (bytes > bytes_ && !MayHold(budget, *account_, bytes - bytes_)) {
    ++budget.refusals_;
    return false;
  }
  budget.held_bytes_ += bytes - bytes_;
  account_->held_bytes_ += bytes - bytes_;
  bytes_ = bytes;
  return true;
}

void BufferHold::Release() noexcept {
  if (account_) {
    account_->budget_->held_bytes_ -= bytes_;
    account_->held_bytes_ -= bytes_;
  }
  bytes_ = 0;
}

}  // namespace clementinerill
