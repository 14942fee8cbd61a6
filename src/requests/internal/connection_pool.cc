#include "requests/connection_pool.h"

#include <algorithm>

#include "embedded/ConnectionYaml.h"

namespace carobmast::requests {

ConnectionPool::Chart ConnectionPool::MakeChart(std::string_view yaml) {
  return Chart(yaml.empty() ? internal::ConnectionYaml() : yaml,
               "charts/connection.yaml",
               {.states = {"opening", "busy", "idle", "closed"},
                .events = {"opened", "taken", "released", "dropped", "failed"},
                .guards = {{"may_keep",
                            [](const Connection& connection) {
                              return connection.pool->MayKeep(connection);
                            }}},
                .actions = {{"keep",
                             [](Connection& connection) {
                               connection.pool->Keep(connection);
                             }},
                            {"close", [](Connection& connection) {
                               connection.pool->Close(connection);
                             }}}});
}

std::string ConnectionPool::DrawChart() { return MakeChart({}).Draw(); }

ConnectionPool::ConnectionPool(ConnectionPoolOptions options)
    : options_(std::move(options)), chart_(MakeChart(options_.chart)) {}

ConnectionPool::Taken ConnectionPool::Take(const std::string& address) {
  const auto found = idle_.find(address);
  if (found != idle_.end() && !found->second.empty()) {
    const ConnectionId id = found->second.back();
    found->second.pop_back();
    Fire(id, ConnectionEvent::kTaken, false, {});
    return {.id = id, .new_connection = false};
  }
  const ConnectionId id = next_id_++;
  connections_[id] = {
      .id = id, .address = address, .state = chart_.initial(), .pool = this};
  return {.id = id, .new_connection = true};
}

void ConnectionPool::OnOpened(ConnectionId id) {
  Fire(id, ConnectionEvent::kOpened, false, {});
}

void ConnectionPool::OnFailed(ConnectionId id) {
  Fire(id, ConnectionEvent::kFailed, false, {});
}

void ConnectionPool::Release(ConnectionId id, bool reusable,
                             MonotonicTime now) {
  Fire(id, ConnectionEvent::kReleased, reusable, now);
}

void ConnectionPool::Drop(ConnectionId id) {
  Fire(id, ConnectionEvent::kDropped, false, {});
}

void ConnectionPool::CloseIdle(MonotonicTime now) {
  std::vector<ConnectionId> old;
  for (const auto& [address, ids] : idle_) {
    for (const ConnectionId id : ids) {
      if (now - connections_[id].idle_since < options_.idle_timeout) break;
      old.push_back(id);
    }
  }
  for (const ConnectionId id : old) Drop(id);
}

void ConnectionPool::CloseIdleTo(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  const std::vector<ConnectionId> ids = found->second;
  for (const ConnectionId id : ids) Drop(id);
}

std::size_t ConnectionPool::idle() const {
  std::size_t count = 0;
  for (const auto& [address, ids] : idle_) count += ids.size();
  return count;
}

void ConnectionPool::Fire(ConnectionId id, ConnectionEvent event, bool reusable,
                          MonotonicTime now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  connection.reusable = reusable;
  connection.now = now;
  connection.state = chart_.Fire(connection.state, event, connection);
  if (chart_.IsFinal(connection.state)) connections_.erase(found);
}

bool ConnectionPool::MayKeep(const Connection& connection) const {
  const auto found = idle_.find(connection.address);
  const std::size_t idle = found == idle_.end() ? 0 : found->second.size();
  return connection.reusable && idle < options_.max_idle;
}

void ConnectionPool::Keep(Connection& connection) {
  connection.idle_since = connection.now;
  idle_[connection.address].push_back(connection.id);
}

void ConnectionPool::Close(Connection& connection) {
  const auto found = idle_.find(connection.address);
  if (found != idle_.end()) {
    std::erase(found->second, connection.id);
    if (found->second.empty()) idle_.erase(found);
  }
  if (options_.close) options_.close(connection.id);
}

}  // namespace carobmast::requests
