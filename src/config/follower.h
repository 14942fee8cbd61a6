// Keeps one process at the newest configuration set: reads the log, talks to
// peers and writes compactions, as FollowerCore decides.
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

// Names of the peer calls, to be registered with the link server.
inline constexpr char kHeadCall[] = "config.head";
inline constexpr char kFetchCall[] = "config.fetch";

// Calls `method` of the peer with that index in the list of peers; throws Error
// on failure, as link::LinkClient::Call does.
using CallPeer = std::function<boost::asio::awaitable<std::string>(
    std::size_t peer, std::string method, std::string request,
    Duration timeout)>;

struct ConfigFollowerOptions {
  FollowerCoreOptions core;
  contracts::LogService log;
  CallPeer call_peer;
};

class ConfigFollower : public RefCounted<ConfigFollower> {
 public:
  ConfigFollower(boost::asio::any_io_executor executor,
                 ConfigFollowerOptions options);
  ~ConfigFollower();

  // Begins to read and to ask.
  void Start();
  // Ends within the time of a call that is under way; nothing is cut off.
  void Stop();

  // Handlers of kHeadCall and kFetchCall for the link server.
  boost::asio::awaitable<std::string> AnswerHead(std::string request);
  boost::asio::awaitable<std::string> AnswerFetch(std::string request);

  // Whether a set is in force; for readiness.
  bool in_force() const;
  // Of the set in force; offset 0 when there is none.
  Head head() const;
  // The objects folded so far; the same as those in force once in_force().
  const ObjectSet& set() const;
  const FollowerCore& core() const;

  // For the operator port: the set in force here, where peers stand, the last
  // read of the log and the counters.
  boost::json::object Status() const;

 private:
  struct Impl;
  Ref<Impl> impl_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_FOLLOWER_H_
