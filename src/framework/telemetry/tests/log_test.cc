#include "framework/telemetry/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>
#include <regex>

#include "framework/base/digest.h"

namespace carobmast::telemetry {

// The form of log lines, and which of them are written.
class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(WritesKeysAndValues);
  CPPUNIT_TEST(EntriesStayOnOneLine);
  CPPUNIT_TEST(LinesBelowTheLevelAreDropped);
  CPPUNIT_TEST(StatesAreLoggedOnlyWhenTheyChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    path_ = "log_test_" + RandomId() + ".log";
    ConfigureLogging({.file = path_});
  }
  void tearDown() override {
    ConfigureLogging({});
    std::remove(path_.c_str());
  }

  void WritesKeysAndValues() {
    Log("config").Info("set in force",
                       {{"offset", 12},
                        {"wait", std::chrono::milliseconds(250)},
                        {"by", "a b"},
                        {"whole", true},
                        {"share", 0.5}});
    const std::regex expected(
        "time=\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z level=INFO "
        "module=config event=\"set in force\" offset=12 wait=250ms by=\"a b\" "
        "whole=true share=0.5");
    const std::vector<std::string> lines = Lines();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    CPPUNIT_ASSERT_MESSAGE(lines[0], std::regex_match(lines[0], expected));
  }

  void EntriesStayOnOneLine() {
    Log("a").Warn("b", {{"text", "x\ny=\"z\" \\"}, {"empty", ""}});
    Log("a").Warn("b", {{"long", std::string(5000, 'x')}});
    const std::vector<std::string> lines = Lines();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines.size());
    CPPUNIT_ASSERT(lines[0].ends_with(
        "event=b text=\"x\\u000ay=\\\"z\\\" \\\\\" empty=\"\""));
    CPPUNIT_ASSERT(lines[1].size() < 1200);
  }

  void LinesBelowTheLevelAreDropped() {
    ConfigureLogging({.file = path_, .level = LogLevel::kWarn});
    const Log log("a");
    log.Debug("1");
    log.Info("2");
    log.Warn("3");
    log.Error("4");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Lines().size());
  }

  void StatesAreLoggedOnlyWhenTheyChange() {
    StateLog state(Log("a"), "log service");
    for (const char* next : {"up", "up", "down", "down", "up"}) {
      state.Set(next);
    }
    const std::vector<std::string> lines = Lines();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, lines.size());
    CPPUNIT_ASSERT(
        lines[1].ends_with("event=\"log service\" state=down before=up"));
  }

 private:
  std::vector<std::string> Lines() const {
    std::ifstream file(path_);
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(file, line)) lines.push_back(line);
    return lines;
  }

  std::string path_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LogTest, "log_test");

}  // namespace carobmast::telemetry
