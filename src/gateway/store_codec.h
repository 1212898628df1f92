#ifndef CLEMENTINERILL_GATEWAY_STORE_CODEC_H_
#define CLEMENTINERILL_GATEWAY_STORE_CODEC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/result.h"
#include "base/time.h"
#include "codec/json_slices.h"
#include "duty/record.h"
#include "http/http_message.h"
#include "mirror/kind_changes.h"
#include "mirror/stored_object.h"
#include "traffic/replica_entry.h"
#include "traffic/rollout_order.h"
#include "traffic/traffic_configuration.h"

namespace clementinerill::gateway {

using mirror::StoredObject;

/// @brief One page of a list of the objects of one kind.
struct StorePage {
  std::vector<StoredObject> objects_;
  bool has_more_ = false;  ///< Continue after `last_name_`.
  /// The last name that can be read, as the bytes that the store sent: it need
  /// not be valid UTF-8. Empty if there is none.
  std::string last_name_;
  int64_t revision_ = 0;  ///< Revision of the store to watch from.
};

/// @brief Names of the object kinds in the store.
struct StoreKinds {
  std::string configuration_;
  std::string configuration_name_;  ///< The only object of that kind.
  std::string replicas_;
  std::string evacuations_;  ///< Named by failure domain.
  std::string rollouts_;     ///< Named by service.
  std::string daemons_;      ///< Registered by the daemons themselves.
  std::string duties_;       ///< Named by duty; written by their holders.
};

/// @brief Encodes requests to a platform's object store and decodes its
/// responses; provided by the adapter of the platform.
///
/// A decoding error describes what is wrong with one object or response; others
/// are not affected.
struct StoreCodec {
  StoreKinds kinds_;
  std::function<std::string(const std::string& kind,
                            const std::string& after,
                            bool may_be_stale)>
      list_target_;
  std::function<std::string(const std::string& kind,
                            int64_t revision,
                            std::chrono::milliseconds wait)>
      watch_target_;
  std::function<std::string(const std::string& kind, const std::string& name)>
      object_target_;
  /// Target of a DELETE that is conditional on the object's revision.
  std::function<std::string(const std::string& kind,
                            const std::string& name,
                            int64_t revision)>
      delete_target_;
  std::function<std::string(const std::string& name,
                            const nlohmann::json& content)>
      encode_object_;
  /// Objects beyond `bounds` get a `StoredObject::decode_error_`.
  std::function<Result<StorePage>(const std::string& body,
                                  const JsonBounds& bounds)>
      decode_page_;
  std::function<Result<mirror::KindChanges>(const std::string& body,
                                            const JsonBounds& bounds)>
      decode_events_;
  /// Era of the store that a response names; 0 if it names none. See
  /// `mirror::KindMirror::era_`.
  std::function<int64_t(const http::Headers& headers)> decode_era_;
  std::function<Result<traffic::TrafficConfiguration>(const nlohmann::json&)>
      decode_configuration_;
  std::function<Result<traffic::ReplicaEntry>(const StoredObject&, Instant now)>
      decode_replica_;
  std::function<Result<traffic::RolloutOrder>(const StoredObject&, Instant now)>
      decode_rollout_;
  std::function<std::string(const std::string& service)> rollout_status_target_;
  std::function<std::string(const traffic::RolloutOrder&,
                            traffic::RolloutState,
                            int64_t revision)>
      encode_rollout_status_;
  /// Body of a write of a duty's object that fails unless the object is at
  /// `revision`. Unset: it is the body of its creation.
  std::function<std::string(const std::string& name,
                            const duty::Record&,
                            std::optional<int64_t> revision)>
      encode_duty_;
  std::function<Result<duty::Record>(const StoredObject&)> decode_duty_;
  /// Revision of the object in the response to a write; 0 if it names none.
  std::function<int64_t(const std::string& body)> decode_revision_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_STORE_CODEC_H_
