#include "rollout/wall_time.h"

#include <cstdio>

namespace clementinerill {

namespace {

// Civil date of a day count since 1970-01-01 in the proleptic Gregorian
// calendar; eras of 400 years have 146,097 days.
struct Date {
  long long year_;
  int month_;
  int day_;
};

Date ToDate(long long days) noexcept {
  const long long shifted = days + 719468;
  const long long era = (shifted >= 0 ? shifted : shifted - 146096) / 146097;
  const long long day_of_era = shifted - era * 146097;
  const long long year_of_era = (day_of_era - day_of_era / 1460 +
                                 day_of_era / 36524 - day_of_era / 146096) /
                                365;
  const long long day_of_year =
      day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
  const long long shifted_month = (5 * day_of_year + 2) / 153;
  const int day =
      static_cast<int>(day_of_year - (153 * shifted_month + 2) / 5 + 1);
  const int month = static_cast<int>(shifted_month < 10 ? shifted_month + 3
                                                        : shifted_month - 9);
  return {year_of_era + era * 400 + (month <= 2 ? 1 : 0), month, day};
}

}  // namespace

std::string Format(WallTime time) {
  const long long seconds =
      std::chrono::floor<std::chrono::seconds>(time).time_since_epoch().count();
  const long long days = (seconds >= 0 ? seconds : seconds - 86399) / 86400;
  const int of_day = static_cast<int>(seconds - days * 86400);
  const Date date = ToDate(days);
  char text[64];
  std::snprintf(text, sizeof(text), "%04lld-%02d-%02dT%02d:%02d:%02dZ",
                date.year_, date.month_, date.day_, of_day / 3600,
                of_day / 60 % 60, of_day % 60);
  return text;
}

}  // namespace clementinerill
