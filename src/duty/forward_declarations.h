#ifndef CLEMENTINERILL_DUTY_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_DUTY_FORWARD_DECLARATIONS_H_

namespace clementinerill::duty {

struct Action;
struct ReadEvent;
struct Record;
struct Rules;
struct State;
struct WriteEvent;

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_FORWARD_DECLARATIONS_H_
