#ifndef CLEMENTINERILL_ADMIN_DOCUMENT_DIFF_H_
#define CLEMENTINERILL_ADMIN_DOCUMENT_DIFF_H_

#include <string>

#include "config/configuration.h"

namespace clementinerill {

/// @brief Returns the differences between two documents as text.
///
/// Each change is a line `-<pointer>: <old>` or `+<pointer>: <new>`, sorted by
/// pointer, after the header lines `--- version <n>` and `+++ version <n>`.
/// In these JSON pointers, items of lists are identified by name instead of
/// index, for example `/routes/search/selector/app`, so reordered items are not
/// reported as differences. `version` and `change_id` are not compared. The
/// result is empty if nothing differs.
[[nodiscard]] std::string DiffDocuments(const Configuration& before,
                                        const Configuration& after);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_DOCUMENT_DIFF_H_
