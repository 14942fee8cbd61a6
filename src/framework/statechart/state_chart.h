// Runs validated state charts for objects of type Context.
#ifndef CAROBMAST_FRAMEWORK_STATECHART_STATE_CHART_H_
#define CAROBMAST_FRAMEWORK_STATECHART_STATE_CHART_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "framework/statechart/chart_file.h"

namespace carobmast::statechart {

// Guards and actions that a chart can refer to by name.
template <typename Context>
struct NamedGuard {
  std::string name;
  std::function<bool(const Context&)> test;
};
template <typename Context>
struct NamedAction {
  std::string name;
  std::function<void(Context&)> run;
};

// The names and functions that a chart is bound to. The enums State and Event
// of the StateChart must number their values from 0 in the order of `states`
// and `events`.
template <typename Context>
struct ChartOptions {
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<NamedGuard<Context>> guards;
  std::vector<NamedAction<Context>> actions;
};

// An immutable chart that is shared by all objects it governs. Each object
// stores only its current State.
template <typename State, typename Event, typename Context>
class StateChart {
 public:
  // Throws Error (step "state chart") when the chart is invalid, see
  // ParseChart().
  StateChart(std::string_view yaml, const std::string& source,
             ChartOptions<Context> options)
      : options_(std::move(options)),
        table_(ParseChart(yaml, MakeVocabulary(options_), source)) {}

  State initial() const { return static_cast<State>(table_.initial); }

  bool IsFinal(State state) const {
    return table_.is_final[static_cast<std::size_t>(state)];
  }

  // Runs the actions of the first transition of `event` whose guard holds, and
  // returns its target state. Returns `current` when the event is ignored or
  // when no guard holds.
  State Fire(State current, Event event, Context& context) const {
    for (const Transition& transition :
         table_.transitions[static_cast<std::size_t>(current)]
                           [static_cast<std::size_t>(event)]) {
      if (!Allows(transition, context)) continue;
      for (const int action : transition.actions) {
        options_.actions[static_cast<std::size_t>(action)].run(context);
      }
      return static_cast<State>(transition.target);
    }
    return current;
  }

  const std::string& StateName(State state) const {
    return options_.states[static_cast<std::size_t>(state)];
  }

  // Returns the chart as a Mermaid state diagram.
  std::string Draw() const {
    return DrawChart(table_, MakeVocabulary(options_));
  }

 private:
  static Vocabulary MakeVocabulary(const ChartOptions<Context>& options) {
    Vocabulary vocabulary{.states = options.states, .events = options.events};
    for (const NamedGuard<Context>& guard : options.guards) {
      vocabulary.guards.push_back(guard.name);
    }
    for (const NamedAction<Context>& action : options.actions) {
      vocabulary.actions.push_back(action.name);
    }
    return vocabulary;
  }

  bool Allows(const Transition& transition, const Context& context) const {
    if (!transition.guard.has_value()) return true;
    return options_.guards[static_cast<std::size_t>(*transition.guard)].test(
        context);
  }

  ChartOptions<Context> options_;
  ChartTable table_;
};

}  // namespace carobmast::statechart

#endif  // CAROBMAST_FRAMEWORK_STATECHART_STATE_CHART_H_
