// Reads and checks state charts written in YAML.
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
// A chart is refused when it names an unknown state, event, guard or action,
// when a state can't be reached, or when a state that is not final neither
// handles nor ignores an event.
#ifndef CAROBMAST_FRAMEWORK_STATECHART_CHART_FILE_H_
#define CAROBMAST_FRAMEWORK_STATECHART_CHART_FILE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobmast::statechart {

// The names the code knows. A name's position is its index in the tables.
struct Vocabulary {
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<std::string> guards;
  std::vector<std::string> actions;
};

// One possible step out of a state. All members are indices in the Vocabulary.
struct Transition {
  std::optional<int> guard;
  int target = 0;
  std::vector<int> actions;
};

// A checked chart: transitions[state][event] holds the choices in order; an
// empty list means that the event is ignored.
struct ChartTable {
  std::string name;
  int initial = 0;
  std::vector<std::vector<std::vector<Transition>>> transitions;
  std::vector<bool> is_final;
};

// Parses `yaml`. Throws Error (step "state chart", peer `source`) when the
// chart is refused; the reason names the line and the offending name.
ChartTable ParseChart(std::string_view yaml, const Vocabulary& vocabulary,
                      const std::string& source);

// Draws a chart as a Mermaid state diagram, for the docs.
std::string DrawChart(const ChartTable& chart, const Vocabulary& vocabulary);

}  // namespace carobmast::statechart

#endif  // CAROBMAST_FRAMEWORK_STATECHART_CHART_FILE_H_
