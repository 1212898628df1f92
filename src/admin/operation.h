#ifndef CLEMENTINERILL_ADMIN_OPERATION_H_
#define CLEMENTINERILL_ADMIN_OPERATION_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief A change to the configuration document, applied by `ApplyChange`.
struct Operation {
  /// Returns the changed document, or an error if the operation can't be
  /// applied to it.
  std::function<Result<Configuration>(const Configuration&)> apply_;

  /// Whether the operation commutes with concurrent changes to other parts of
  /// the document. Only a commutative operation is retried after a conflict.
  bool commutative_ = false;

  /// Whether the operation requires a valid stored document. Otherwise it may
  /// also create the first document or replace an invalid one.
  bool requires_valid_document_ = true;

  /// Returns the part of the document that the operation depends on, as text.
  /// A commutative operation is retried only while this part is unchanged. An
  /// empty function means that the operation depends on no part.
  std::function<std::string(const Configuration&)> dependency_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_OPERATION_H_
