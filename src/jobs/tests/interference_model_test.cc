// InterferenceModel: factors of pairs of images, learned from noisy reports.
#include "jobs/interference_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>
#include <numbers>
#include <random>
#include <string>
#include <vector>

namespace carobmast::jobs {

class InterferenceModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InterferenceModelTest);
  CPPUNIT_TEST(DistinguishesHarmfulFromHarmlessFillers);
  CPPUNIT_TEST(LoadSwingIsNotAttributedToAFiller);
  CPPUNIT_TEST(FactorsStayAccurateInALargeFleet);
  CPPUNIT_TEST(SimilarityIsHighForImagesHarmedByTheSameFillers);
  CPPUNIT_TEST(DecodedModelKeepsItsFactors);
  CPPUNIT_TEST(ManyImagesExceedARecord);
  CPPUNIT_TEST(MalformedRecordChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DistinguishesHarmfulFromHarmlessFillers() {
    InterferenceModel model;
    Train(model);
    CPPUNIT_ASSERT(model.Factor(standing_, heavy_) > 3);
    CPPUNIT_ASSERT(model.Factor(standing_, light_) < 0.5);
    CPPUNIT_ASSERT(model.MeanFactor(heavy_) > model.MeanFactor(light_));
  }

  // Guards against attributing a load swing to a harmless filler that runs only
  // while the load is high, beside one of two tasks of the step.
  void LoadSwingIsNotAttributedToAFiller() {
    InterferenceModel model;
    standing_ = model.Intern("standing");
    light_ = model.Intern("light");
    std::mt19937 random(7);
    std::normal_distribution<double> noise(0, 0.13);
    LoadEstimate load;
    MonotonicTime now;
    for (int i = 0; i < 400; ++i) {
      now += std::chrono::milliseconds(100);
      const double swing = std::sin(2 * std::numbers::pi * i / 100);
      const double level = -0.85 + 0.5 * swing;
      model.AddReport(standing_, level + noise(random), {}, load, now);
      if (swing < 0) continue;
      model.AddReport(standing_, level + noise(random), {{light_, 0.2}}, load,
                      now);
    }
    CPPUNIT_ASSERT(model.Factor(standing_, light_) < 0.5);
  }

  // Guards against diverging factors: with 2000 reports a second, some fillers
  // are seldom reported, and then always beside the same others.
  void FactorsStayAccurateInALargeFleet() {
    constexpr int kFillers = 20;
    InterferenceModel model;
    standing_ = model.Intern("standing");
    std::vector<ImageId> fillers;
    fillers.reserve(kFillers);
    for (int i = 0; i < kFillers; ++i) {
      fillers.push_back(model.Intern("filler-" + std::to_string(i)));
    }
    std::mt19937 random(11);
    std::normal_distribution<double> noise(0, 0.13);
    std::uniform_real_distribution<double> share(0.02, 0.2);
    LoadEstimate load;
    MonotonicTime now;
    for (int i = 0; i < 60000; ++i) {
      now += std::chrono::microseconds(500);
      // The first two fillers always run, the others in pairs for a while.
      const int pair = 2 + 2 * (i / 3000 % (kFillers / 2 - 1));
      std::vector<ImageShare> shares;
      double slowdown = 0;
      for (const int filler : {0, 1, pair, pair + 1}) {
        shares.push_back(
            {fillers[static_cast<std::size_t>(filler)], share(random)});
        slowdown += TrueFactor(filler) * shares.back().share;
      }
      model.AddReport(standing_, -0.8 + slowdown + noise(random), shares, load,
                      now);
    }
    for (int i = 0; i < kFillers; ++i) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
          TrueFactor(i),
          model.Factor(standing_, fillers[static_cast<std::size_t>(i)]), 0.5);
    }
  }

  void SimilarityIsHighForImagesHarmedByTheSameFillers() {
    InterferenceModel model;
    const ImageId one = model.Intern("one");
    const ImageId twin = model.Intern("twin");
    const ImageId other = model.Intern("other");
    const ImageId first = model.Intern("first");
    const ImageId second = model.Intern("second");
    CPPUNIT_ASSERT(model.Similarity(one, one) > 0);
    CPPUNIT_ASSERT(model.Similarity(one, twin) < 0);
    MonotonicTime now;
    std::map<ImageId, LoadEstimate> loads;
    for (int i = 0; i < 200; ++i) {
      now += std::chrono::milliseconds(100);
      const ImageId filler = i % 2 == 0 ? first : second;
      for (const ImageId standing : {one, twin, other}) {
        const bool harmed = (standing == other) == (filler == second);
        model.AddReport(standing, -0.7 + (harmed ? 1.0 : 0.0), {{filler, 0.2}},
                        loads[standing], now);
        model.AddReport(standing, -0.7, {}, loads[standing], now);
      }
    }
    CPPUNIT_ASSERT(model.Similarity(one, twin) > 0.5);
    CPPUNIT_ASSERT(model.Similarity(one, other) < 0);
  }

  void DecodedModelKeepsItsFactors() {
    InterferenceModel model;
    Train(model);
    InterferenceModel successor;
    CPPUNIT_ASSERT(successor.Decode(model.Encode()));
    CPPUNIT_ASSERT_EQUAL(heavy_, successor.Intern("heavy"));
    CPPUNIT_ASSERT(successor.Factor(standing_, heavy_) > 3);
    CPPUNIT_ASSERT(successor.Factor(standing_, light_) < 0.5);
  }

  // Guards against a record that the stream refuses, which would stop the
  // shard.
  void ManyImagesExceedARecord() {
    InterferenceModel model;
    Train(model);
    for (int image = 0; image < 10000; ++image) {
      LoadEstimate load;
      const std::string name = "standing-image-" + std::to_string(image);
      model.AddReport(model.Intern(name), -0.5, {}, load, MonotonicTime());
      model.Intern("unknown-image-" + std::to_string(image));
    }
    const std::string record = model.Encode();
    CPPUNIT_ASSERT(record.size() <= InterferenceModel::kMaxEncodedBytes);
    InterferenceModel successor;
    CPPUNIT_ASSERT(successor.Decode(record));
    // What was reported last is kept, and the images of its fillers.
    CPPUNIT_ASSERT(successor.Factor(successor.Intern("standing"),
                                    successor.Intern("heavy")) > 3);
  }

  void MalformedRecordChangesNothing() {
    InterferenceModel model;
    Train(model);
    const double before = model.Factor(standing_, heavy_);
    CPPUNIT_ASSERT(!model.Decode("not a record"));
    CPPUNIT_ASSERT_EQUAL(before, model.Factor(standing_, heavy_));
  }

 private:
  static double TrueFactor(int filler) { return filler % 3 == 0 ? 4 : 0.1; }

  // Reports a latency of target x exp(-0.7 + 5 x share of "heavy"), with noise.
  void Train(InterferenceModel& model) {
    standing_ = model.Intern("standing");
    heavy_ = model.Intern("heavy");
    light_ = model.Intern("light");
    std::mt19937 random(7);
    std::normal_distribution<double> noise(0, 0.3);
    std::uniform_real_distribution<double> share(0, 0.2);
    LoadEstimate load;
    MonotonicTime now;
    for (int i = 0; i < 500; ++i) {
      now += std::chrono::milliseconds(100);
      const double heavy = share(random);
      model.AddReport(standing_, -0.7 + 5 * heavy + noise(random),
                      {{heavy_, heavy}, {light_, share(random)}}, load, now);
    }
  }

  ImageId standing_ = 0;
  ImageId heavy_ = 0;
  ImageId light_ = 0;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(InterferenceModelTest,
                                      "interference_model_test");

}  // namespace carobmast::jobs
