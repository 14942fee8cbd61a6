#include "framework/settings/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "framework/base/error.h"

namespace carobmast::settings {
namespace {

void AssertRefused(const std::string& yaml, const std::string& message,
                   const std::function<void(SettingsReader&)>& read) {
  try {
    SettingsReader reader = SettingsReader::Parse(yaml, "s.yaml");
    read(reader);
    reader.Finish();
  } catch (const Error& error) {
    CPPUNIT_ASSERT_EQUAL(message, std::string(error.what()));
    return;
  }
  CPPUNIT_FAIL("accepted, expected: " + message);
}

}  // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsEveryKind);
  CPPUNIT_TEST(RefusesWithFileLineAndKey);
  CPPUNIT_TEST(RefusesNestedAliases);
  CPPUNIT_TEST(RefusesDeepNesting);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each level of aliases would multiply the size of the tree by nine, so they
  // must be refused before the tree is built.
  void RefusesNestedAliases() {
    std::string yaml = "a0: &a0 x\n";
    for (int level = 1; level <= 10; ++level) {
      const std::string last = "*a" + std::to_string(level - 1);
      const std::string name = "a" + std::to_string(level);
      yaml.append(name).append(": &").append(name).append(" [").append(last);
      for (int i = 1; i < 9; ++i) yaml.append(", ").append(last);
      yaml += "]\n";
    }
    AssertRefused(yaml, "settings with s.yaml:2: aliases are not allowed",
                  [](SettingsReader&) {});
  }

  // The depth would cause a deep recursion while the tree is built.
  void RefusesDeepNesting() {
    AssertRefused("a: " + std::string(100000, '['),
                  "settings with s.yaml:1: nested deeper than 16 levels",
                  [](SettingsReader&) {});
  }

  void ReadsEveryKind() {
    SettingsReader reader = SettingsReader::Parse(
        "name: a\nport: 7\nwait: 250ms\nsize: 64KiB\non: true\n"
        "peer: 127.0.0.1:80\nlist: [x, y]\nmaps: [{k: 1}]\n",
        "s.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), reader.String("name"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, reader.Int("port", 0, 9));
    CPPUNIT_ASSERT(reader.DurationOr("wait", Duration::zero()) ==
                   std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(reader.ByteCountOr("size", {}) == ByteCount{.bytes = 65536});
    CPPUNIT_ASSERT(reader.BoolOr("on", false));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{80}, reader.Address("peer").port);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reader.StringList("list").size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                         reader.MapList("maps").at(0).Int("k", 0, 9));
    CPPUNIT_ASSERT_EQUAL(std::string("d"), reader.StringOr("none", "d"));
    reader.Finish();
  }

  void RefusesWithFileLineAndKey() {
    const std::function<void(SettingsReader&)> read_nothing =
        [](SettingsReader&) {};
    AssertRefused("a: 1\nb: 2\n", "settings with s.yaml:2: unknown key 'b'",
                  [](SettingsReader& reader) { reader.String("a"); });
    AssertRefused("a: 1\na: 2\n", "settings with s.yaml:2: duplicate key 'a'",
                  read_nothing);
    AssertRefused("[1]", "settings with s.yaml:1: expected a map of keys",
                  read_nothing);
    AssertRefused("a: 1\n",
                  "settings with s.yaml:1: key 'b': missing, expected text",
                  [](SettingsReader& reader) { reader.String("b"); });
    AssertRefused("m:\n  wait: 250\n",
                  "settings with s.yaml:2: key 'm.wait': expected a duration "
                  "with its unit such as 250ms, found '250'",
                  [](SettingsReader& reader) {
                    SettingsReader map = reader.Map("m");
                    map.DurationOr("wait", Duration::zero());
                  });
    AssertRefused("p: host:80\n",
                  "settings with s.yaml:1: key 'p': expected a numeric IP, "
                  "found 'host:80'",
                  [](SettingsReader& reader) { reader.Address("p"); });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SettingsTest, "settings_test");

}  // namespace carobmast::settings
