// A stored progress that is read wrongly would take more VMs down than allowed,
// or take the worker of a VM for another one.
#include "maintenance/wave_progress.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/base/error.h"

namespace carobmast::maintenance {

class WaveProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaveProgressTest);
  CPPUNIT_TEST(VmWithoutWorkerIsReadBack);
  CPPUNIT_TEST(CutOffProgressIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void VmWithoutWorkerIsReadBack() {
    const std::string text = EncodeWaveProgress(
        {{"a", {.worker = "wa", .done = true}}, {"b", {.worker = ""}}});
    const WaveProgress progress = DecodeWaveProgress(text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, progress.size());
    CPPUNIT_ASSERT_EQUAL(std::string("wa"), progress.at("a").worker);
    CPPUNIT_ASSERT(progress.at("a").done);
    CPPUNIT_ASSERT(progress.at("b").worker.empty());
    CPPUNIT_ASSERT(!progress.at("b").done);
  }

  void CutOffProgressIsRefused() {
    CPPUNIT_ASSERT_THROW(DecodeWaveProgress("a wa 1\nb"), Error);
    CPPUNIT_ASSERT_THROW(DecodeWaveProgress("a wa x\n"), Error);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(WaveProgressTest, "wave_progress_test");

}  // namespace carobmast::maintenance
