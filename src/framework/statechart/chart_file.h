// Parses and validates state charts written in YAML.
//
//   chart: attempt
//   initial: not_sent
//   states:
//     not_sent:
//       on:
//         first_byte_sent: { to: sent }
//         cancelled: { to: not_run, do: [report_not_run] }
//       ignore: [late_answer]
//     sent:
//       on:
//         answered:
//           - { when: is_whole, to: answered }
//           - { to: unknown, do: [close_connection] }
//     ...
//     answered: { final: true }
//
// A chart is invalid when it names an unknown state, event, guard or action,
// when a state can't be reached, or when a state that is not final neither
// handles nor ignores an event.
#ifndef CAROBMAST_FRAMEWORK_STATECHART_CHART_FILE_H_
#define CAROBMAST_FRAMEWORK_STATECHART_CHART_FILE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobmast::statechart {

// The names that a chart may use. The position of a name in its list is its
// index in ChartTable.
struct Vocabulary {
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<std::string> guards;
  std::vector<std::string> actions;
};

// One transition out of a state. All members are indices into the lists of the
// Vocabulary.
struct Transition {
  std::optional<int> guard;
  int target = 0;
  std::vector<int> actions;
};

// A validated chart. transitions[state][event] lists the candidate transitions;
// the first one whose guard holds, or that has no guard, is taken. An empty
// list means that the event is ignored.
struct ChartTable {
  std::string name;
  int initial = 0;
  std::vector<std::vector<std::vector<Transition>>> transitions;
  std::vector<bool> is_final;
};

// Parses and validates `yaml`. Throws Error (step "state chart", peer `source`)
// when the chart is invalid; the reason gives the line and the name at fault.
ChartTable ParseChart(std::string_view yaml, const Vocabulary& vocabulary,
                      const std::string& source);

// Returns the chart as a Mermaid state diagram, for the docs.
std::string DrawChart(const ChartTable& chart, const Vocabulary& vocabulary);

}  // namespace carobmast::statechart

#endif  // CAROBMAST_FRAMEWORK_STATECHART_CHART_FILE_H_
