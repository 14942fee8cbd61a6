// Creates the configuration follower of a daemon, which reads the platform's
// log and exchanges sets with the daemon's peers.
#ifndef CAROBMAST_CONFIG_DAEMON_FOLLOWER_H_
#define CAROBMAST_CONFIG_DAEMON_FOLLOWER_H_

#include <functional>

#include "config/follower.h"
#include "framework/daemon/daemon.h"
#include "framework/net/http_client.h"

namespace carobmast::config {

// Creates a follower, registers its peer calls with `daemon` and stops it when
// the daemon stops; the caller starts it. `on_in_force` is called with every
// set that comes into force. `daemon` must outlive the follower.
Ref<ConfigFollower> MakeDaemonFollower(
    daemon::Daemon& daemon, const Ref<net::HttpClient>& client,
    std::function<void(const InForceSet&)> on_in_force);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_DAEMON_FOLLOWER_H_
