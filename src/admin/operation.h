#ifndef CLEMENTINERILL_ADMIN_OPERATION_H_
#define CLEMENTINERILL_ADMIN_OPERATION_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief A change of the configuration that a writer applies.
struct Operation {
  /// Returns the changed document, or an error if it does not apply.
  std::function<Result<Configuration>(const Configuration&)> apply_;

  /// Whether the operation gives the same result before and after a concurrent
  /// change elsewhere in the document. Only then is it repeated after a
  /// conflict.
  bool commutative_ = false;

  /// Whether the operation changes an existing, valid document. Otherwise it
  /// may create the first one or replace an invalid one.
  bool needs_document_ = true;

  /// The part of the document that the operation depends on, as text. A
  /// commutative operation is repeated only while this part is unchanged; an
  /// empty function stands for no such part.
  std::function<std::string(const Configuration&)> subject_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_OPERATION_H_
