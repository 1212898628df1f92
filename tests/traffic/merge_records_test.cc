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

// Guards against signed comparison of bytes and against lost equal records.
TEST_CASE("the greatest records come first, equal ones all count", "[merge]") {
  const std::string one = Record('\x7f') + Record('b') + "short";
  const std::string two = Record('\xff') + Record('b');
  CHECK(MergeRecords({one, two}, 3) ==
        Record('\xff') + Record('\x7f') + Record('b'));
  CHECK(MergeRecords({one, two}, 10).size() == 4 * kRecordBytes);
}

// Guards against reading past a body that ends within a record.
TEST_CASE("a remainder of a body is no record", "[merge]") {
  CHECK(MergeRecords({std::string(15, 'a')}, 5).empty());
  CHECK(MergeRecords({}, 5).empty());
  CHECK(MergeRecords({Record('a')}, 0).empty());
}

}  // namespace
}  // namespace clementinerill::traffic
