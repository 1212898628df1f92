#ifndef CLEMENTINERILL_BASE_BUFFER_BUDGET_H_
#define CLEMENTINERILL_BASE_BUFFER_BUDGET_H_

#include <cstdint>
#include <memory>

namespace clementinerill {

/// @brief Limit on the bytes that all holders together keep in buffers.
struct BufferBudget {
  uint64_t limit_bytes_ = 0;
  uint64_t held_bytes_ = 0;
  uint64_t refusals_ = 0;  ///< Buffers that were not allowed to grow.
  /// Whether one holder may use all of it, for holders that can be removed.
  bool is_first_come_ = false;
};

/// @brief The part of a budget that one holder uses, for example one replica.
struct BufferAccount {
  std::shared_ptr<BufferBudget> budget_;
  uint64_t held_bytes_ = 0;
};

/// @brief Whether the holder may keep `more` bytes besides those that it has.
///
/// A holder may have as many bytes as then remain free, a dynamic threshold
/// (Choudhury and Hahne, 1998): one holder gets half of the budget, each of `n`
/// large ones an n + 1st part, and the same part stays free for small ones.
/// With `BufferBudget::is_first_come_` all that is free.
[[nodiscard]] bool MayHold(const BufferBudget& budget,
                           const BufferAccount& account,
                           uint64_t more) noexcept;

/// @brief Returns an account for one holder; null if `budget` is null.
[[nodiscard]] std::shared_ptr<BufferAccount> MakeBufferAccount(
    std::shared_ptr<BufferBudget> budget);

/// @brief Bytes in one buffer, which count for an account while this exists.
class BufferHold {
 public:
  /// @brief Counts nothing and has no limit.
  BufferHold() = default;
  explicit BufferHold(std::shared_ptr<BufferAccount> account) noexcept;
  ~BufferHold();
  BufferHold(BufferHold&& other) noexcept;
  BufferHold& operator=(BufferHold&& other) noexcept;
  BufferHold(const BufferHold&) = delete;
  BufferHold& operator=(const BufferHold&) = delete;

  /// @brief Sets the size of the buffer. Returns false and keeps the size
  /// before if the budget does not allow it.
  [[nodiscard]] bool TryResize(uint64_t bytes) noexcept;

  /// @brief Counts no more bytes.
  void Release() noexcept;

 private:
  std::shared_ptr<BufferAccount> account_;
  uint64_t bytes_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_BUFFER_BUDGET_H_
