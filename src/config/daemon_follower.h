// The configuration follower of a daemon: reads the platform's log, asks the
// daemon's peers and answers them.
#ifndef CAROBMAST_CONFIG_DAEMON_FOLLOWER_H_
#define CAROBMAST_CONFIG_DAEMON_FOLLOWER_H_

#include <functional>

#include "config/follower.h"
#include "framework/daemon/daemon.h"
#include "framework/net/http_client.h"

namespace carobmast::config {

// Makes the follower, adds its calls to `daemon` and stops it with the daemon.
// `on_in_force` gets every set that comes into force. `daemon` must outlive it.
Ref<ConfigFollower> MakeDaemonFollower(
    daemon::Daemon& daemon, const Ref<net::HttpClient>& client,
    std::function<void(const InForceSet&)> on_in_force);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_DAEMON_FOLLOWER_H_
