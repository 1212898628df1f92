#include "codec/cbor_structure.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace clementinerill {
namespace {

enum class MajorType : uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

struct ItemHead {
  MajorType type_ = MajorType::kUnsigned;
  uint64_t argument_ = 0;  ///< Value, or length of strings and containers.
};

// Reads the head of the next item and removes it from `bytes`.
std::optional<ItemHead> TakeHead(std::string_view& bytes) {
  if (bytes.empty()) {
    return std::nullopt;
  }
  const auto initial = static_cast<uint8_t>(bytes.front());
  bytes.remove_prefix(1);
  ItemHead head{static_cast<MajorType>(initial >> 5U), initial & 0x1fU};
  if (head.argument_ < 24) {
    return head;
  }
  // 28 to 30 are reserved, 31 marks an indefinite length.
  if (head.argument_ > 27) {
    return std::nullopt;
  }
  const size_t size = size_t{1} << (head.argument_ - 24);
  if (bytes.size() < size) {
    return std::nullopt;
  }
  head.argument_ = 0;
  for (const char byte : bytes.substr(0, size)) {
    head.argument_ = head.argument_ << 8U | static_cast<uint8_t>(byte);
  }
  bytes.remove_prefix(size);
  return head;
}

}  // namespace

bool IsBoundedCbor(std::string_view bytes, size_t max_depth) {
  // Items that are left in each open container, the innermost last. The
  // document counts as a container of one item.
  std::vector<uint64_t> open{1};
  while (!open.empty()) {
    if (open.back() == 0) {
      open.pop_back();
      continue;
    }
    --open.back();
    const auto head = TakeHead(bytes);
    if (!head || head->type_ == MajorType::kTag) {
      return false;
    }
    if (head->type_ == MajorType::kBytes || head->type_ == MajorType::kText) {
      if (head->argument_ > bytes.size()) {
        return false;
      }
      bytes.remove_prefix(head->argument_);
    } else if (head->type_ == MajorType::kArray ||
               head->type_ == MajorType::kMap) {
      const uint64_t items_per_entry = head->type_ == MajorType::kMap ? 2 : 1;
      // Each item takes one byte at least.
      if (head->argument_ > bytes.size() / items_per_entry ||
          open.size() > max_depth) {
        return false;
      }
      open.push_back(head->argument_ * items_per_entry);
    }
  }
  return bytes.empty();
}

}  // namespace clementinerill
