// What is learned of the interference between images.
#include "jobs/interference_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace carobmast::jobs {

class InterferenceModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InterferenceModelTest);
  CPPUNIT_TEST(TellsThePairThatDisturbsFromTheOneThatDoesNot);
  CPPUNIT_TEST(SuccessorKnowsWhatWasLearned);
  CPPUNIT_TEST(MalformedRecordChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TellsThePairThatDisturbsFromTheOneThatDoesNot() {
    InterferenceModel model;
    Teach(model);
    CPPUNIT_ASSERT(model.Factor(standing_, heavy_) > 3);
    CPPUNIT_ASSERT(model.Factor(standing_, light_) < 0.5);
    CPPUNIT_ASSERT(model.MeanFactor(heavy_) > model.MeanFactor(light_));
  }

  void SuccessorKnowsWhatWasLearned() {
    InterferenceModel model;
    Teach(model);
    InterferenceModel successor;
    CPPUNIT_ASSERT(successor.Decode(model.Encode()));
    CPPUNIT_ASSERT_EQUAL(heavy_, successor.Intern("heavy"));
    CPPUNIT_ASSERT(successor.Factor(standing_, heavy_) > 3);
    CPPUNIT_ASSERT(successor.Factor(standing_, light_) < 0.5);
  }

  void MalformedRecordChangesNothing() {
    InterferenceModel model;
    Teach(model);
    const double before = model.Factor(standing_, heavy_);
    CPPUNIT_ASSERT(!model.Decode("not a record"));
    CPPUNIT_ASSERT_EQUAL(before, model.Factor(standing_, heavy_));
  }

 private:
  // Latency of exp(-0.7 + 5 x share of "heavy"), with noise.
  void Teach(InterferenceModel& model) {
    standing_ = model.Intern("standing");
    heavy_ = model.Intern("heavy");
    light_ = model.Intern("light");
    std::mt19937 random(7);
    std::normal_distribution<double> noise(0, 0.3);
    std::uniform_real_distribution<double> share(0, 0.2);
    for (int i = 0; i < 500; ++i) {
      const double heavy = share(random);
      model.Observe(standing_, -0.7 + 5 * heavy + noise(random),
                    {{heavy_, heavy}, {light_, share(random)}});
    }
  }

  ImageId standing_ = 0;
  ImageId heavy_ = 0;
  ImageId light_ = 0;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(InterferenceModelTest,
                                      "interference_model_test");

}  // namespace carobmast::jobs
