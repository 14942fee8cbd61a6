// LeaseWitnesses: what a majority of the witnesses proves.
#include "jobs/lease_witnesses.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace carobmast::jobs {

using std::chrono::seconds;

class LeaseWitnessesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseWitnessesTest);
  CPPUNIT_TEST(HalfOfTheWitnessesProveAnOwner);
  CPPUNIT_TEST(OldAnswersCountAsNew);
  CPPUNIT_TEST(RestartedWitnessProvesAnOwner);
  CPPUNIT_TEST(ReplacedWitnessProvesAnOwner);
  CPPUNIT_TEST(ReplacedWitnessesHoldUpASuccessor);
  CPPUNIT_TEST(LateAnswerEndsALaterWitness);
  CPPUNIT_TEST(OwnerAndSuccessorUseDisjointWitnesses);
  CPPUNIT_TEST(WitnessesAreOfOneZone);
  CPPUNIT_TEST(SoundWitnessesAreReplaced);
  CPPUNIT_TEST(MalformedRecordReplacesTheWitnesses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HalfOfTheWitnessesProveAnOwner() {
    LeaseWitnesses witnesses = Make({"a", "b", "c", "d"});
    Answer(witnesses, {"a", "b"}, 5);
    CPPUNIT_ASSERT(!witnesses.AnsweredByMajority().has_value());
    Answer(witnesses, {"c"}, 7);
    CPPUNIT_ASSERT(witnesses.AnsweredByMajority() == At(5));
    CPPUNIT_ASSERT(!LeaseWitnesses().AnsweredByMajority().has_value());
  }

  void OldAnswersCountAsNew() {
    LeaseWitnesses witnesses = Make({"a", "b", "c"});
    Answer(witnesses, {"a", "b", "c"}, 1);
    Answer(witnesses, {"a"}, 9);
    CPPUNIT_ASSERT(witnesses.AnsweredByMajority() == At(1));
    Answer(witnesses, {"b"}, 8);
    // A late answer to an earlier order changes nothing.
    Answer(witnesses, {"b"}, 2);
    CPPUNIT_ASSERT(witnesses.AnsweredByMajority() == At(8));
  }

  void RestartedWitnessProvesAnOwner() {
    LeaseWitnesses witnesses = Make({"a"});
    witnesses.OnAnswered({.id = "a", .incarnation = 2}, At(1));
    CPPUNIT_ASSERT(!witnesses.AnsweredByMajority().has_value());
  }

  // Guards against two owners that are both confirmed by one of the witnesses
  // and the same one that is over.
  void ReplacedWitnessProvesAnOwner() {
    LeaseWitnesses witnesses = Make({"a", "b", "c"});
    Answer(witnesses, {"a"}, 5);
    witnesses.OnReplaced("b", std::nullopt);
    CPPUNIT_ASSERT(!witnesses.AnsweredByMajority().has_value());
    CPPUNIT_ASSERT(witnesses.HaveLeftFormerOwners());
  }

  void ReplacedWitnessesHoldUpASuccessor() {
    LeaseWitnesses witnesses = Make({"a", "b", "c"});
    witnesses.OnReplaced("a", std::nullopt);
    CPPUNIT_ASSERT(!witnesses.HaveLeftFormerOwners());
    // The worker itself, and then a later incarnation under the same ID.
    witnesses.OnReplaced("b", Witness{.id = "b", .incarnation = 1});
    CPPUNIT_ASSERT(!witnesses.HaveLeftFormerOwners());
    witnesses.OnReplaced("b", Witness{.id = "b", .incarnation = 2});
    CPPUNIT_ASSERT(witnesses.HaveLeftFormerOwners());
  }

  void LateAnswerEndsALaterWitness() {
    LeaseWitnesses witnesses = Make({"a"});
    Answer(witnesses, {"a"}, 5);
    witnesses.OnReplaced("a", std::nullopt);
    Answer(witnesses, {"a"}, 6);
    CPPUNIT_ASSERT(witnesses.AnsweredByMajority() == At(6));
  }

  // Guards against an owner that counts on new witnesses while its successor
  // may have read the former ones, or the other way round.
  void OwnerAndSuccessorUseDisjointWitnesses() {
    LeaseWitnesses witnesses = Make({"a", "b", "c"});
    CPPUNIT_ASSERT(witnesses.Propose(Candidates({"c", "d", "e"})));
    Answer(witnesses, {"a", "b"}, 3);
    CPPUNIT_ASSERT(witnesses.AnsweredByMajority() == At(3));
    witnesses.OnStoring();
    CPPUNIT_ASSERT(!witnesses.AnsweredByMajority().has_value());
    Answer(witnesses, {"d", "e"}, 2);
    CPPUNIT_ASSERT(witnesses.AnsweredByMajority() == At(2));
    LeaseWitnesses successor;
    CPPUNIT_ASSERT(successor.Decode(witnesses.Encode()));
    CPPUNIT_ASSERT(successor.Contains("d") && !successor.Contains("a"));
    witnesses.OnStored();
    Answer(witnesses, {"a", "b"}, 9);
    CPPUNIT_ASSERT(witnesses.AnsweredByMajority() == At(2));
  }

  void WitnessesAreOfOneZone() {
    std::vector<WitnessCandidate> usable;
    for (int worker = 0; worker < 300; ++worker) {
      const std::string zone = worker < 200 ? "a" : worker < 280 ? "b" : "c";
      const std::string id =
          zone + std::to_string(worker);  // grouped by zone, like a registry
      usable.push_back({{.id = id, .incarnation = 1}, zone});
    }
    LeaseWitnesses witnesses;
    CPPUNIT_ASSERT(witnesses.Propose(usable));
    witnesses.OnStoring();
    witnesses.OnStored();
    std::map<std::string, std::size_t> by_zone;
    for (const WitnessCandidate& candidate : usable) {
      by_zone[candidate.zone] += witnesses.Contains(candidate.witness.id);
    }
    for (const auto& [zone, count] : by_zone) CPPUNIT_ASSERT(count >= 10);
  }

  void SoundWitnessesAreReplaced() {
    LeaseWitnesses witnesses = Make({"a", "b", "c"});
    CPPUNIT_ASSERT(!witnesses.Propose(Candidates({"a", "b", "c"})));
    CPPUNIT_ASSERT(witnesses.Propose(Candidates({"a", "b", "d"})));
    witnesses.OnStoring();
    witnesses.OnStored();
    CPPUNIT_ASSERT(witnesses.Contains("a") && witnesses.Contains("d"));
    CPPUNIT_ASSERT(!witnesses.Contains("c"));
  }

  void MalformedRecordReplacesTheWitnesses() {
    LeaseWitnesses witnesses = Make({"a"});
    CPPUNIT_ASSERT(!witnesses.Decode("not a record"));
    CPPUNIT_ASSERT(witnesses.Contains("a"));
  }

 private:
  static MonotonicTime At(int second) { return MonotonicTime(seconds(second)); }

  static std::vector<WitnessCandidate> Candidates(
      const std::set<std::string>& workers) {
    std::vector<WitnessCandidate> candidates;
    candidates.reserve(workers.size());
    for (const std::string& worker : workers) {
      candidates.push_back({{.id = worker, .incarnation = 1}, "z"});
    }
    return candidates;
  }

  static LeaseWitnesses Make(const std::set<std::string>& workers) {
    LeaseWitnesses witnesses;
    witnesses.Propose(Candidates(workers));
    witnesses.OnStoring();
    witnesses.OnStored();
    return witnesses;
  }

  static void Answer(LeaseWitnesses& witnesses,
                     const std::set<std::string>& workers, int second) {
    for (const std::string& worker : workers) {
      witnesses.OnAnswered({.id = worker, .incarnation = 1}, At(second));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LeaseWitnessesTest,
                                      "lease_witnesses_test");

}  // namespace carobmast::jobs
