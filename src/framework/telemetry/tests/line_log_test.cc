#include "framework/telemetry/line_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <array>
#include <string>

namespace carobmast::telemetry {

// Lines over the rate limit or that nobody reads must be dropped and counted,
// and must neither block the writer nor suppress other events.
class LineLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineLogTest);
  CPPUNIT_TEST(FrequentEventDoesNotSuppressOthers);
  CPPUNIT_TEST(LinesOverTheRateAreCountedAndReported);
  CPPUNIT_TEST(FullPipeNeverBlocks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { CPPUNIT_ASSERT_EQUAL(0, pipe(pipe_.data())); }
  void tearDown() override {
    for (const int end : pipe_) close(end);
  }

  void FrequentEventDoesNotSuppressOthers() {
    LineLog log = MakeLog(10);
    for (int i = 0; i < 20; ++i) log.Write("start", {{"task", i}});
    log.Write("worker silent", {{"worker", "w"}});
    log.Flush();
    const std::string lines = Read();
    CPPUNIT_ASSERT(lines.find("event=\"worker silent\" worker=w") !=
                   std::string::npos);
    CPPUNIT_ASSERT(lines.find("event=start task=4") != std::string::npos);
    CPPUNIT_ASSERT(lines.find("event=start task=5") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, log.dropped());
  }

  void LinesOverTheRateAreCountedAndReported() {
    LineLog log = MakeLog(4);
    for (const char* event : {"a", "a", "b", "b", "c"}) log.Write(event, {});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, log.lines());
    now_ += std::chrono::seconds(1);
    log.Write("c", {});
    log.Flush();
    CPPUNIT_ASSERT(Read().find("event=c lines_dropped=1\n") !=
                   std::string::npos);
  }

  void FullPipeNeverBlocks() {
    LineLog log = MakeLog(100000);
    const std::string text(1000, 'x');
    for (int i = 0; i < 300; ++i) {
      log.Write("long", {{"text", text}});
      log.Flush();
    }
    CPPUNIT_ASSERT(log.dropped() > 0);
  }

 private:
  LineLog MakeLog(std::size_t rate) {
    return LineLog({.descriptor = pipe_[1],
                    .max_lines_per_second = rate,
                    .now = [this] { return now_; }});
  }
  // Returns up to 4096 bytes of what was written.
  std::string Read() {
    std::array<char, 4096> buffer{};
    const ssize_t size = read(pipe_[0], buffer.data(), buffer.size());
    return {buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0};
  }

  std::array<int, 2> pipe_{};
  WallTime now_{std::chrono::seconds(1700000000)};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LineLogTest, "line_log_test");

}  // namespace carobmast::telemetry
