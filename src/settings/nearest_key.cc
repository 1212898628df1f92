#include "settings/nearest_key.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace clementinerill {

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 0; i < a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i + 1;
    for (size_t j = 0; j < b.size(); ++j) {
      const size_t substitution = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substitution, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

std::string NearestKey(std::string_view key,
                       const std::set<std::string>& known) {
  std::string nearest;
  size_t min_distance = std::numeric_limits<size_t>::max();
  for (const std::string& candidate : known) {
    const size_t distance = EditDistance(key, candidate);
    if (distance < min_distance) {
      min_distance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace clementinerill
