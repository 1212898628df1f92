#include "daemon/static_seats.h"

#include "base/rendezvous.h"

namespace clementinerill {

std::map<std::string, std::vector<int>> StaticSeats(
    const Configuration& configuration,
    const std::vector<std::string>& members,
    const std::string& self) {
  std::map<std::string, std::vector<int>> seats;
  for (const Pool& pool : configuration.pools_) {
    const std::vector<std::string> ranked =
        RankByRendezvous(pool.name_, members);
    for (int seat = 0; seat < pool.seats_ && !ranked.empty(); ++seat) {
      if (ranked[static_cast<size_t>(seat) % ranked.size()] == self) {
        seats[pool.name_].push_back(seat);
      }
    }
  }
  return seats;
}

}  // namespace clementinerill
