#ifndef CLEMENTINERILL_SETTINGS_SETTINGS_H_
#define CLEMENTINERILL_SETTINGS_SETTINGS_H_

// Umbrella header of the settings library.

#include "settings/admin_token.h"
#include "settings/duration_text.h"
#include "settings/endpoint.h"
#include "settings/forward_declarations.h"
#include "settings/listen_port_policy.h"
#include "settings/nearest_key.h"
#include "settings/process_settings.h"
#include "settings/quantity.h"
#include "settings/secret.h"
#include "settings/settings_yaml.h"
#include "settings/single_document.h"
#include "settings/size_text.h"
#include "settings/static_peer.h"
#include "settings/yaml_reader.h"

#endif  // CLEMENTINERILL_SETTINGS_SETTINGS_H_
