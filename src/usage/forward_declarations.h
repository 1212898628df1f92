#ifndef CLEMENTINERILL_USAGE_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_USAGE_FORWARD_DECLARATIONS_H_

namespace clementinerill::usage {

struct AgreedClock;
struct BookRevision;
struct Count;
struct CountTable;
struct Message;
struct OwnCounter;
struct ReportBook;
struct ReportSender;
struct ReportSettings;
struct WindowReport;

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_FORWARD_DECLARATIONS_H_
