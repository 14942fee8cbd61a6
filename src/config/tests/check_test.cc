#include "config/check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/codec.h"
#include "config/rules.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

const std::filesystem::path kBroken = CAROBMAST_BROKEN_FILES;
const std::filesystem::path kExamples = CAROBMAST_EXAMPLES;

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// The output of `carobmast check` for the file, without its directory.
std::string CheckMessages(const std::filesystem::path& path) {
  const std::string file = path.filename().string();
  std::string messages;
  try {
    const CheckedSet checked = CheckText(ReadText(path), file);
    for (const CheckError& error : checked.errors) {
      messages += FormatError(error, file) + "\n";
    }
  } catch (const Error& error) {
    messages = error.peer() + ": " + error.reason() + "\n";
  }
  return messages;
}

}  // namespace

class CheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckTest);
  CPPUNIT_TEST(BrokenFilesReportTheExpectedErrors);
  CPPUNIT_TEST(ExamplesAreValid);
  CPPUNIT_TEST(SetSurvivesTextAndYamlRoundTrips);
  CPPUNIT_TEST(RevertRestoresTheDigest);
  CPPUNIT_TEST(SetsAboveMaxObjectsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BrokenFilesReportTheExpectedErrors() {
    int files = 0;
    for (const std::filesystem::directory_entry& entry :
         std::filesystem::directory_iterator(kBroken)) {
      if (entry.path().extension() != ".yaml") continue;
      std::filesystem::path expected = entry.path();
      expected.replace_extension(".expected");
      const std::string messages = CheckMessages(entry.path());
      CPPUNIT_ASSERT_MESSAGE(entry.path().string(), !messages.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.path().string(), ReadText(expected),
                                   messages);
      ++files;
    }
    CPPUNIT_ASSERT(files >= 12);
  }

  void ExamplesAreValid() {
    for (const char* name : {"zagreb.yaml", "montevideo.yaml"}) {
      CPPUNIT_ASSERT_EQUAL(std::string(), CheckMessages(kExamples / name));
    }
  }

  void SetSurvivesTextAndYamlRoundTrips() {
    const CheckedSet checked = CheckFile(kExamples / "zagreb.yaml");
    const std::string text = SetToText(checked.set.objects());
    CPPUNIT_ASSERT_EQUAL(text, SetToText(SetFromText(text)));
    const CheckedSet again =
        CheckText(SetToYaml(checked.set.objects()), "again.yaml");
    CPPUNIT_ASSERT(again.errors.empty());
    CPPUNIT_ASSERT_EQUAL(text, SetToText(again.set.objects()));
    CPPUNIT_ASSERT_EQUAL(checked.set.Digest(), again.set.Digest());
  }

  void RevertRestoresTheDigest() {
    CheckedSet checked = CheckFile(kExamples / "montevideo.yaml");
    const std::string before = checked.set.Digest();
    const ObjectSet::Undo undo =
        checked.set.Apply({.put = {DrainedVm{.name = "w-1", .reason = "disk"}},
                           .remove = {"previews"}},
                          Stamp{.offset = 7});
    CPPUNIT_ASSERT(before != checked.set.Digest());
    checked.set.Revert(undo);
    CPPUNIT_ASSERT_EQUAL(before, checked.set.Digest());
  }

  void SetsAboveMaxObjectsAreRefused() {
    ObjectSet set;
    Change change;
    for (std::size_t i = 0; i <= kMaxObjects; ++i) {
      change.put.emplace_back(
          DrainedVm{.name = "w-" + std::to_string(i), .reason = "test"});
    }
    set.Apply(change, Stamp{});
    const std::vector<CheckError> errors = CheckChangeV1(set, change, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("set: holds 200001 objects, expected at most 200000"),
        errors.front().ToString());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CheckTest, "check_test");

}  // namespace carobmast::config
