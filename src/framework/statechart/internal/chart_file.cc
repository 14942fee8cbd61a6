#include "framework/statechart/chart_file.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <set>

#include "framework/base/error.h"

namespace carobmast::statechart {
namespace {

constexpr int kNotFound = -1;

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return kNotFound;
  return static_cast<int>(found - names.begin());
}

class Parser {
 public:
  Parser(const Vocabulary& vocabulary, const std::string& source)
      : vocabulary_(vocabulary), source_(source) {}

  ChartTable Parse(const YAML::Node& root) {
    CheckKeys(root, {"chart", "initial", "states"});
    ChartTable table;
    table.name = Text(root["chart"], root, "chart");
    table.initial = Lookup(vocabulary_.states, root["initial"], root, "state");
    const YAML::Node states = root["states"];
    if (!states.IsMap()) Fail(root, "'states' must be a map");
    table.transitions.resize(vocabulary_.states.size());
    table.is_final.resize(vocabulary_.states.size(), false);
    std::set<int> defined;
    for (const auto& entry : states) {
      const int state =
          Lookup(vocabulary_.states, entry.first, states, "state");
      if (!defined.insert(state).second) {
        Fail(entry.first,
             "state '" + entry.first.Scalar() + "' is defined twice");
      }
      ParseState(state, entry.second, table);
    }
    CheckAllDefined(defined, root);
    CheckReachable(table, root);
    return table;
  }

 private:
  [[noreturn]] void Fail(const YAML::Node& at, const std::string& reason) {
    throw Error("state chart", source_,
                "line " + std::to_string(at.Mark().line + 1) + ": " + reason);
  }

  void CheckKeys(const YAML::Node& node, const std::set<std::string>& allowed) {
    if (!node.IsMap()) Fail(node, "expected a map");
    for (const auto& entry : node) {
      const std::string key = entry.first.Scalar();
      if (!allowed.contains(key)) {
        Fail(entry.first, "unknown key '" + key + "'");
      }
    }
  }

  std::string Text(const YAML::Node& node, const YAML::Node& parent,
                   const std::string& what) {
    if (!node || !node.IsScalar()) Fail(parent, "missing '" + what + "'");
    return node.Scalar();
  }

  int Lookup(const std::vector<std::string>& names, const YAML::Node& node,
             const YAML::Node& parent, const std::string& kind) {
    const std::string name = Text(node, parent, kind);
    const int index = IndexOf(names, name);
    if (index == kNotFound) Fail(node, "unknown " + kind + " '" + name + "'");
    return index;
  }

  void ParseState(int state, const YAML::Node& node, ChartTable& table) {
    CheckKeys(node, {"on", "ignore", "final"});
    const std::size_t row = static_cast<std::size_t>(state);
    table.is_final[row] = node["final"] && node["final"].as<bool>(false);
    table.transitions[row].resize(vocabulary_.events.size());
    std::set<int> covered;
    if (node["on"]) {
      for (const auto& entry : node["on"]) {
        const int event =
            Lookup(vocabulary_.events, entry.first, node, "event");
        MarkCovered(event, entry.first, covered);
        ParseChoices(entry.second,
                     table.transitions[row][static_cast<std::size_t>(event)]);
      }
    }
    if (node["ignore"]) {
      for (const auto& name : node["ignore"]) {
        MarkCovered(Lookup(vocabulary_.events, name, node, "event"), name,
                    covered);
      }
    }
    if (table.is_final[row]) return;
    for (std::size_t event = 0; event < vocabulary_.events.size(); ++event) {
      if (covered.contains(static_cast<int>(event))) continue;
      Fail(node, "state '" + vocabulary_.states[row] + "' leaves the event '" +
                     vocabulary_.events[event] + "' unhandled");
    }
  }

  void MarkCovered(int event, const YAML::Node& at, std::set<int>& covered) {
    if (covered.insert(event).second) return;
    Fail(at, "event '" + at.Scalar() + "' is listed twice");
  }

  void ParseChoices(const YAML::Node& node, std::vector<Transition>& choices) {
    if (!node.IsSequence()) {
      choices.push_back(ParseTransition(node));
      return;
    }
    for (const auto& choice : node) choices.push_back(ParseTransition(choice));
  }

  Transition ParseTransition(const YAML::Node& node) {
    CheckKeys(node, {"when", "to", "do"});
    Transition transition;
    transition.target = Lookup(vocabulary_.states, node["to"], node, "state");
    if (node["when"]) {
      transition.guard =
          Lookup(vocabulary_.guards, node["when"], node, "guard");
    }
    if (node["do"]) {
      for (const auto& action : node["do"]) {
        transition.actions.push_back(
            Lookup(vocabulary_.actions, action, node, "action"));
      }
    }
    return transition;
  }

  void CheckAllDefined(const std::set<int>& defined, const YAML::Node& root) {
    for (std::size_t i = 0; i < vocabulary_.states.size(); ++i) {
      if (defined.contains(static_cast<int>(i))) continue;
      Fail(root, "state '" + vocabulary_.states[i] + "' is missing");
    }
  }

  void CheckReachable(const ChartTable& table, const YAML::Node& root) {
    std::set<int> reached = {table.initial};
    std::vector<int> pending = {table.initial};
    while (!pending.empty()) {
      const std::size_t state = static_cast<std::size_t>(pending.back());
      pending.pop_back();
      for (const std::vector<Transition>& choices : table.transitions[state]) {
        for (const Transition& transition : choices) {
          if (reached.insert(transition.target).second) {
            pending.push_back(transition.target);
          }
        }
      }
    }
    for (std::size_t i = 0; i < vocabulary_.states.size(); ++i) {
      if (reached.contains(static_cast<int>(i))) continue;
      Fail(root, "state '" + vocabulary_.states[i] + "' can't be reached");
    }
  }

  const Vocabulary& vocabulary_;
  const std::string& source_;
};

}  // namespace

ChartTable ParseChart(std::string_view yaml, const Vocabulary& vocabulary,
                      const std::string& source) {
  YAML::Node root;
  try {
    root = YAML::Load(std::string(yaml));
  } catch (const YAML::Exception& error) {
    throw Error("state chart", source, error.what());
  }
  return Parser(vocabulary, source).Parse(root);
}

std::string DrawChart(const ChartTable& chart, const Vocabulary& vocabulary) {
  std::string text =
      "stateDiagram-v2\n  [*] --> " +
      vocabulary.states[static_cast<std::size_t>(chart.initial)] + "\n";
  for (std::size_t state = 0; state < chart.transitions.size(); ++state) {
    for (std::size_t event = 0; event < chart.transitions[state].size();
         ++event) {
      for (const Transition& transition : chart.transitions[state][event]) {
        text += "  " + vocabulary.states[state] + " --> " +
                vocabulary.states[static_cast<std::size_t>(transition.target)] +
                " : " + vocabulary.events[event];
        if (transition.guard.has_value()) {
          text +=
              " [" +
              vocabulary.guards[static_cast<std::size_t>(*transition.guard)] +
              "]";
        }
        text += "\n";
      }
    }
    if (chart.is_final[state]) {
      text += "  " + vocabulary.states[state] + " --> [*]\n";
    }
  }
  return text;
}

}  // namespace carobmast::statechart
