#ifndef CLEMENTINERILL_HTTP_CONNECTION_USE_H_
#define CLEMENTINERILL_HTTP_CONNECTION_USE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "base/name_table.h"
#include "base/time.h"

namespace clementinerill::http {

/// @brief What a connection of a client is used for at the moment.
enum class ConnectionUse {
  kServing,    ///< A request is in progress.
  kReceiving,  ///< A request is incomplete, or none has been received yet.
  kSending,    ///< The client has not read its response.
  kIdle,       ///< Kept open after a response.
};

inline constexpr std::array<NameEntry<ConnectionUse>, 4> kConnectionUseNames = {
    {
        {ConnectionUse::kServing, "serving"},
        {ConnectionUse::kReceiving, "receiving"},
        {ConnectionUse::kSending, "sending"},
        {ConnectionUse::kIdle, "idle"},
    }};

/// @brief The use of a connection and when it last came further: the start of
/// the request, the last bytes of the response, or its end.
struct ConnectionState {
  ConnectionUse use_ = ConnectionUse::kIdle;
  Instant since_;
};

/// @brief Returns the index of the connection to close to make room for another
/// one; `std::nullopt` if all have a request in progress or have just come
/// further.
///
/// Callers outside the limits hold connections that receive or send slowly, so
/// of these the one that has not come further for the longest time is the first
/// choice; idle ones of callers that have been served are the second.
[[nodiscard]] std::optional<size_t> ChooseConnectionToClose(
    const std::vector<ConnectionState>& connections,
    Instant now) noexcept;

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_CONNECTION_USE_H_
