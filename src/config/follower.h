// Keeps one process at the newest configuration set. Does the I/O for
// FollowerCore: reads the log, calls peers and appends compactions.
#ifndef CAROBMAST_CONFIG_FOLLOWER_H_
#define CAROBMAST_CONFIG_FOLLOWER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <functional>
#include <string>
#include <vector>

#include "config/follower_core.h"
#include "contracts/log_service.h"
#include "framework/base/intrusive.h"
#include "framework/base/time.h"

namespace carobmast::config {

// Method names of the peer calls, which the link server must route to
// AnswerHead and AnswerFetch.
inline constexpr char kHeadCall[] = "config.head";
inline constexpr char kFetchCall[] = "config.fetch";

// Calls `method` of the peer with that index in FollowerCoreOptions::peers.
// Throws Error on failure, as link::LinkClient::Call does.
using CallPeer = std::function<boost::asio::awaitable<std::string>(
    std::size_t peer, std::string method, std::string request,
    Duration timeout)>;

struct ConfigFollowerOptions {
  FollowerCoreOptions core;
  contracts::LogService log;
  CallPeer call_peer;
  // Called when the append of a compaction failed, which is tried again.
  std::function<void(const std::string& reason)> on_compaction_failed =
      [](const std::string&) {};
};

class ConfigFollower : public RefCounted<ConfigFollower> {
 public:
  ConfigFollower(boost::asio::any_io_executor executor,
                 ConfigFollowerOptions options);
  ~ConfigFollower();

  // Starts to read the log and to call peers.
  void Start();
  // Makes all loops end. Calls in flight are not cancelled: each loop ends when
  // its call does, at the latest after the call's timeout.
  void Stop();

  // Handlers of kHeadCall and kFetchCall for the link server.
  boost::asio::awaitable<std::string> AnswerHead(std::string request);
  boost::asio::awaitable<std::string> AnswerFetch(std::string request);

  // Whether a set is in force. The readiness of a daemon depends on it.
  bool in_force() const;
  // Head of the set in force; offset 0 when there is none.
  Head head() const;
  // The objects folded so far. Equal to the set in force once in_force() is
  // true.
  const ObjectSet& set() const;
  const FollowerCore& core() const;

  // Status for the operator port: the set in force, whether the log answers,
  // where folding has stopped, the heads of the peers and the counters.
  boost::json::object Status() const;

 private:
  struct Impl;
  Ref<Impl> impl_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_FOLLOWER_H_
