// The connections of this gateway to instances, which are opening, busy or
// idle. An idle connection is reused for the next request to its instance.
#ifndef CAROBMAST_REQUESTS_CONNECTION_POOL_H_
#define CAROBMAST_REQUESTS_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "framework/base/time.h"
#include "framework/statechart/state_chart.h"
#include "requests/types/request.h"

namespace carobmast::requests {

enum class ConnectionState { kOpening, kBusy, kIdle, kClosed };

enum class ConnectionEvent { kOpened, kTaken, kReleased, kDropped, kFailed };

struct ConnectionPoolOptions {
  // Maximum number of idle connections per address.
  std::size_t max_idle = 16;
  Duration idle_timeout = std::chrono::seconds(20);
  // Tells the I/O code to close a connection.
  std::function<void(ConnectionId)> close;
  // Replaces the embedded chart if not empty.
  std::string chart;
};

class ConnectionPool {
 public:
  // Throws Error if the chart is invalid.
  explicit ConnectionPool(ConnectionPoolOptions options);

  // Returns the embedded chart as a Mermaid diagram.
  static std::string DrawChart();

  struct Taken {
    ConnectionId id = 0;
    // Whether it has to be opened first.
    bool new_connection = false;
  };
  // Returns the most recently used idle connection to `address`, or a new one.
  Taken Take(const std::string& address);

  // The new connection was opened.
  void OnOpened(ConnectionId id);
  // The connection failed or was closed by the instance.
  void OnFailed(ConnectionId id);
  // The answer was read completely. The connection is kept if it is `reusable`
  // and there are not too many idle ones.
  void Release(ConnectionId id, bool reusable, MonotonicTime now);
  // Closes a connection whose answer is incomplete or may still arrive.
  void Drop(ConnectionId id);
  // Closes connections that were idle for longer than `idle_timeout`.
  void CloseIdle(MonotonicTime now);
  // Closes all idle connections to `address`.
  void CloseIdleTo(const std::string& address);

  std::size_t open() const { return connections_.size(); }
  std::size_t idle() const;

 private:
  struct Connection {
    ConnectionId id = 0;
    std::string address;
    ConnectionState state = ConnectionState::kOpening;
    MonotonicTime idle_since;
    // Arguments of the current event, for guards and actions.
    bool reusable = false;
    MonotonicTime now;
    ConnectionPool* pool = nullptr;
  };
  using Chart =
      statechart::StateChart<ConnectionState, ConnectionEvent, Connection>;

  static Chart MakeChart(std::string_view yaml);
  void Fire(ConnectionId id, ConnectionEvent event, bool reusable,
            MonotonicTime now);
  bool MayKeep(const Connection& connection) const;
  void Keep(Connection& connection);
  void Close(Connection& connection);

  ConnectionPoolOptions options_;
  Chart chart_;
  ConnectionId next_id_ = 1;
  std::unordered_map<ConnectionId, Connection> connections_;
  // Idle connections by address, least recently used first.
  std::map<std::string, std::vector<ConnectionId>> idle_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_CONNECTION_POOL_H_
