#ifndef CLEMENTINERILL_PEER_PEER_H_
#define CLEMENTINERILL_PEER_PEER_H_

// Includes the public headers of the peer library.

#include "peer/codec.h"
#include "peer/forward_declarations.h"
#include "peer/message.h"
#include "peer/message_kind.h"
#include "peer/peer_callbacks.h"
#include "peer/peer_mesh.h"
#include "peer/peer_mesh_options.h"

#endif  // CLEMENTINERILL_PEER_PEER_H_
