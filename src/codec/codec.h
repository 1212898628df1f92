#ifndef CLEMENTINERILL_CODEC_CODEC_H_
#define CLEMENTINERILL_CODEC_CODEC_H_

/// @file
/// Bounded decoding of documents from outside this process.

#include "codec/cbor_structure.h"
#include "codec/json_slices.h"

#endif  // CLEMENTINERILL_CODEC_CODEC_H_
