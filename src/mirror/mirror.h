#ifndef CLEMENTINERILL_MIRROR_MIRROR_H_
#define CLEMENTINERILL_MIRROR_MIRROR_H_

// Convenience header: includes all headers of the mirror library.

#include "mirror/copy_proof.h"
#include "mirror/daemon_liveness.h"
#include "mirror/daemon_record.h"
#include "mirror/forward_declarations.h"
#include "mirror/kind_changes.h"
#include "mirror/kind_mirror.h"
#include "mirror/relay_message.h"
#include "mirror/relay_plan.h"
#include "mirror/rollout_evidence.h"
#include "mirror/stored_object.h"

#endif  // CLEMENTINERILL_MIRROR_MIRROR_H_
