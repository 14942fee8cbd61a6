#include <cppunit/extensions/HelperMacros.h>

#include "framework/base/error.h"
#include "framework/daemon/daemon.h"

namespace carobmast::daemon {
namespace {

constexpr char kCompleteSettings[] =
    "name: gateway-1\n"
    "zone: zg-a\n"
    "operator_address: 127.0.0.1:0\n"
    "link_address: 127.0.0.1:0\n"
    "peers:\n"
    "  - {name: gateway-2, zone: zg-b, link: \"127.0.0.2:7000\"}\n"
    "log_service: 127.0.0.1:9000\n"
    "vm_list: 127.0.0.1:9000\n"
    "stop_grace: 5s\n";

std::string WithoutKey(const std::string& key) {
  std::string text = std::string("\n") + kCompleteSettings;
  const std::size_t at = text.find("\n" + key + ":") + 1;
  return text.erase(at, text.find('\n', at) + 1 - at);
}

}  // namespace

// The settings common to all daemons.
class DaemonSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonSettingsTest);
  CPPUNIT_TEST(ReadsAllKeys);
  CPPUNIT_TEST(NamesEachMissingKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAllKeys() {
    settings::SettingsReader reader =
        settings::SettingsReader::Parse(kCompleteSettings, "s.yaml");
    const DaemonSettings settings = ReadDaemonSettings(reader);
    reader.Finish();
    CPPUNIT_ASSERT_EQUAL(std::string("zg-a"), settings.zone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings.peers.size());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7000}, settings.peers[0].link.port);
    CPPUNIT_ASSERT(settings.stop_grace == std::chrono::seconds(5));
  }

  void NamesEachMissingKey() {
    for (const char* key : {"name", "zone", "operator_address", "link_address",
                            "log_service", "vm_list"}) {
      settings::SettingsReader reader =
          settings::SettingsReader::Parse(WithoutKey(key), "s.yaml");
      try {
        ReadDaemonSettings(reader);
        CPPUNIT_FAIL(std::string("accepted without ") + key);
      } catch (const Error& error) {
        CPPUNIT_ASSERT_MESSAGE(error.what(),
                               error.reason().starts_with(
                                   "key '" + std::string(key) + "': missing"));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DaemonSettingsTest,
                                      "daemon_settings_test");

}  // namespace carobmast::daemon
