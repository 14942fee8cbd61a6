// LoadEstimate: the level of a load, its trend and their variance.
#include "jobs/load_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <numbers>
#include <random>

namespace carobmast::jobs {

class LoadEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadEstimateTest);
  CPPUNIT_TEST(PredictsASwingAheadOfItsReports);
  CPPUNIT_TEST(VarianceGrowsWithoutReports);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The level swings by 0.5 with a period of 10 s and is reported every 100 ms
  // with a noise of 0.13. The prediction half a second ahead must be better
  // than the last report and than the level without its trend.
  void PredictsASwingAheadOfItsReports() {
    constexpr double kPredictionSeconds = 0.5;
    std::mt19937 random(11);
    std::normal_distribution<double> noise(0, 0.13);
    LoadEstimate load;
    MonotonicTime now;
    load.Init(-0.7, now);
    double square = 0;
    double square_of_report = 0;
    double square_of_level = 0;
    for (int i = 0; i < 600; ++i) {
      now += std::chrono::milliseconds(100);
      const double time = i / 10.0;
      const double report = LoadAt(time) + noise(random);
      load.Update(now, report - load.LevelAt(now).mean, 0.02);
      if (i < 50) continue;
      const double truth = LoadAt(time + kPredictionSeconds);
      const double forecast =
          load.LevelAt(now + std::chrono::milliseconds(500)).mean;
      square += std::pow(forecast - truth, 2);
      square_of_report += std::pow(report - truth, 2);
      square_of_level += std::pow(load.LevelAt(now).mean - truth, 2);
    }
    CPPUNIT_ASSERT(square < square_of_report);
    CPPUNIT_ASSERT(square < square_of_level);
  }

  void VarianceGrowsWithoutReports() {
    LoadEstimate load;
    const MonotonicTime begin;
    load.Init(-0.7, begin);
    for (int i = 0; i < 20; ++i) {
      load.Update(begin + i * std::chrono::milliseconds(100), 0, 0.02);
    }
    const MonotonicTime last = begin + std::chrono::milliseconds(1900);
    CPPUNIT_ASSERT(
        load.LevelAt(last + std::chrono::milliseconds(900)).variance >
        load.LevelAt(last).variance);
  }

 private:
  static double LoadAt(double seconds) {
    return -0.85 + 0.5 * std::sin(2 * std::numbers::pi * seconds / 10);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LoadEstimateTest, "load_estimate_test");

}  // namespace carobmast::jobs
