#include "config/signing.h"

#include <cppunit/extensions/HelperMacros.h>

#include "config/tests/test_sets.h"
#include "framework/base/error.h"

namespace carobmast::config {

class SigningTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SigningTest);
  CPPUNIT_TEST(SignatureIsBoundToKeyAndText);
  CPPUNIT_TEST(MalformedKeysAreRefused);
  CPPUNIT_TEST(OnlyPublishersOfTheSetMayPublish);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SignatureIsBoundToKeyAndText() {
    const KeyPair ana = GenerateKeyPair();
    const KeyPair ivo = GenerateKeyPair();
    CPPUNIT_ASSERT_EQUAL(ana.public_key, PublicKeyOf(ana.private_key));
    const std::string signature = Sign(ana.private_key, "text");
    CPPUNIT_ASSERT(Verify(ana.public_key, "text", signature));
    CPPUNIT_ASSERT(!Verify(ana.public_key, "next", signature));
    CPPUNIT_ASSERT(!Verify(ivo.public_key, "text", signature));
  }

  void MalformedKeysAreRefused() {
    CPPUNIT_ASSERT_THROW(Sign("12", "text"), Error);
    CPPUNIT_ASSERT_THROW(PublicKeyOf(std::string(64, 'g')), Error);
    CPPUNIT_ASSERT(!Verify("12", "text", "34"));
  }

  void OnlyPublishersOfTheSetMayPublish() {
    const KeyPair ana = GenerateKeyPair();
    ConfigFold fold;
    Change change = FirstChange();
    change.put.emplace_back(Publisher{.name = "ana", .key = ana.public_key});
    CPPUNIT_ASSERT(Fold(fold, PublishOn(fold, change, "anyone")) ==
                   VerdictKind::kAccepted);
    PublishRecord record = PublishOn(fold, JobChange("sum", 2), "anyone");
    CPPUNIT_ASSERT(Fold(fold, record) == VerdictKind::kRefused);
    record.publisher = "ana";
    CPPUNIT_ASSERT(Fold(fold, record) == VerdictKind::kRefused);
    record.signature = Sign(ana.private_key, SignedText(record));
    // A signature of another change is not accepted.
    PublishRecord other = PublishOn(fold, JobChange("sum", 3), "ana");
    other.signature = record.signature;
    CPPUNIT_ASSERT(Fold(fold, other) == VerdictKind::kRefused);
    CPPUNIT_ASSERT(Fold(fold, record) == VerdictKind::kAccepted);
  }

 private:
  static VerdictKind Fold(ConfigFold& fold, const PublishRecord& record) {
    return fold
        .OnRecord(
            RecordAt(fold.head().through + 1, "id", EncodePublish(record)))
        .kind;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SigningTest, "signing_test");

}  // namespace carobmast::config
