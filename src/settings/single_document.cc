#include "settings/single_document.h"

#include <sstream>

#include <yaml-cpp/eventhandler.h>

namespace clementinerill {
namespace {

class NullEventHandler : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {}
  void OnAlias(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {
  }
  void OnScalar(const YAML::Mark& /*mark*/,
                const std::string& /*tag*/,
                YAML::anchor_t /*anchor*/,
                const std::string& /*value*/) override {}
  void OnSequenceStart(const YAML::Mark& /*mark*/,
                       const std::string& /*tag*/,
                       YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& /*mark*/,
                  const std::string& /*tag*/,
                  YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {}
  void OnMapEnd() override {}
};

bool HasSingleDocument(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  NullEventHandler handler;
  return parser.HandleNextDocument(handler) &&
         !parser.HandleNextDocument(handler);
}

}  // namespace

// Counts the documents before loading, and parses at most two of them, because
// YAML::LoadAll never returns for a document that starts with a comma: the
// parser reports an empty document without consuming input.
std::optional<YAML::Node> LoadSingleDocument(const std::string& text) {
  if (!HasSingleDocument(text)) {
    return std::nullopt;
  }
  return YAML::Load(text);
}

}  // namespace clementinerill
