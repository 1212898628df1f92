#ifndef CLEMENTINERILL_ADMIN_DOCUMENT_DIFF_H_
#define CLEMENTINERILL_ADMIN_DOCUMENT_DIFF_H_

#include <string>

#include "config/configuration.h"

namespace clementinerill {

/// @brief The differences between two documents as text.
///
/// Each change is a line `-<pointer>: <old>` or `+<pointer>: <new>`, sorted by
/// pointer, after the header lines `--- version <n>` and `+++ version <n>`.
/// Pointers name the items of lists instead of counting them, for example
/// `/routes/search/selector/app`, so a moved item is no difference. `version`
/// and `change_id` are left out. Empty when nothing differs.
[[nodiscard]] std::string DiffDocuments(const Configuration& before,
                                        const Configuration& after);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_DOCUMENT_DIFF_H_
