#ifndef CLEMENTINERILL_ORGANISATIONS_ORGANISATIONS_H_
#define CLEMENTINERILL_ORGANISATIONS_ORGANISATIONS_H_

#include "organisations/access.h"
#include "organisations/directory.h"
#include "organisations/forward_declarations.h"
#include "organisations/key_digest.h"
#include "organisations/view_proof.h"

#endif  // CLEMENTINERILL_ORGANISATIONS_ORGANISATIONS_H_
