#include "framework/statechart/state_chart.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/base/error.h"

namespace carobmast::statechart {
namespace {

enum class DoorState { kClosed, kOpen, kGone };
enum class DoorEvent { kPush, kRemove };
struct Door {
  bool locked = false;
  int pushes = 0;
};
using DoorChart = StateChart<DoorState, DoorEvent, Door>;

constexpr char kDoor[] = R"(
chart: door
initial: closed
states:
  closed:
    on:
      push:
        - { when: is_locked, to: closed }
        - { to: open, do: [count] }
      remove: { to: gone }
  open:
    on:
      remove: { to: gone }
    ignore: [push]
  gone: { final: true }
)";

DoorChart MakeChart(const std::string& yaml) {
  return DoorChart(
      yaml, "door.yaml",
      {.states = {"closed", "open", "gone"},
       .events = {"push", "remove"},
       .guards = {{.name = "is_locked",
                   .test = [](const Door& door) { return door.locked; }}},
       .actions = {
           {.name = "count", .run = [](Door& door) { ++door.pushes; }}}});
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

void AssertRefused(const std::string& yaml, const std::string& reason) {
  try {
    MakeChart(yaml);
  } catch (const Error& error) {
    CPPUNIT_ASSERT_EQUAL(reason, error.reason());
    return;
  }
  CPPUNIT_FAIL("the chart was accepted, expected: " + reason);
}

}  // namespace

// Transitions of a valid chart, and the reasons why charts are refused.
class StateChartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateChartTest);
  CPPUNIT_TEST(FollowsGuardsAndActions);
  CPPUNIT_TEST(RefusesBrokenCharts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FollowsGuardsAndActions() {
    const DoorChart chart = MakeChart(kDoor);
    Door door{.locked = true};
    DoorState state = chart.initial();
    state = chart.Fire(state, DoorEvent::kPush, door);
    CPPUNIT_ASSERT(state == DoorState::kClosed);
    door.locked = false;
    state = chart.Fire(state, DoorEvent::kPush, door);
    CPPUNIT_ASSERT(state == DoorState::kOpen);
    CPPUNIT_ASSERT_EQUAL(1, door.pushes);
    state = chart.Fire(state, DoorEvent::kPush, door);
    CPPUNIT_ASSERT(state == DoorState::kOpen);
    state = chart.Fire(state, DoorEvent::kRemove, door);
    CPPUNIT_ASSERT(chart.IsFinal(state));
  }

  void RefusesBrokenCharts() {
    AssertRefused(Replace(kDoor, "initial: closed", "initial: shut"),
                  "line 3: unknown state 'shut'");
    AssertRefused(Replace(kDoor, "is_locked", "is_jammed"),
                  "line 8: unknown guard 'is_jammed'");
    AssertRefused(Replace(kDoor, "[count]", "[paint]"),
                  "line 9: unknown action 'paint'");
    AssertRefused(Replace(kDoor, "    ignore: [push]\n", ""),
                  "line 12: state 'open' leaves the event 'push' unhandled");
    AssertRefused(Replace(kDoor, "to: open", "to: closed"),
                  "line 2: state 'open' can't be reached");
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StateChartTest, "state_chart_test");

}  // namespace carobmast::statechart
