#include <string>

#include <catch2/catch.hpp>

#include "traffic/merge_records.h"

namespace clementinerill::traffic {
namespace {

std::string Record(char first, char last = 'x') {
  std::string record(kRecordBytes, '0');
  record.front() = first;
  record.back() = last;
  return record;
}

// Guards against signed comparison of bytes and against removal of duplicates.
TEST_CASE("the greatest records come first and duplicates are kept",
          "[merge]") {
  const std::string one = Record('\x7f') + Record('b') + "short";
  const std::string two = Record('\xff') + Record('b');
  CHECK(MergeRecords({one, two}, 3) ==
        Record('\xff') + Record('\x7f') + Record('b'));
  CHECK(MergeRecords({one, two}, 10).size() == 4 * kRecordBytes);
}

// Guards against reading past the end of a body with an incomplete record.
TEST_CASE("an incomplete record at the end of a body is ignored", "[merge]") {
  CHECK(MergeRecords({std::string(15, 'a')}, 5).empty());
  CHECK(MergeRecords({}, 5).empty());
  CHECK(MergeRecords({Record('a')}, 0).empty());
}

}  // namespace
}  // namespace clementinerill::traffic
