#include "http/backend_client.h"

#include <boost/system/error_code.hpp>
#include <utility>

#include "http/backend_connection.h"

namespace dogwoodrail::http {

using core::base::Reason;

BackendClient::BackendClient(boost::asio::io_context& loop,
                             BackendClientSettings settings, BackendHooks hooks)
    : loop_(loop),
      settings_(settings),
      hooks_(std::move(hooks)),
      idle_timer_(loop) {}

BackendClient::~BackendClient() { Close(); }

void BackendClient::SetAddress(boost::asio::ip::tcp::endpoint address) {
  if (address == address_) return;
  address_ = std::move(address);
  for (const auto& it : idle_) it->Close();
  idle_.clear();
}

// Asynchronous operations complete only from the event loop, so the callback is
// never invoked before the ID has been returned.
ExecutionId BackendClient::Execute(Request request,
                                   core::base::Duration timeout,
                                   Callback callback) {
  const ExecutionId id(next_execution_++);
  std::shared_ptr<Connection> connection = TakeIdle();
  if (!connection) connection = std::make_shared<Connection>(*this, address_);
  executions_[id] = connection;
  connection->Execute(id, std::move(request), timeout, std::move(callback));
  return id;
}

void BackendClient::Cancel(ExecutionId execution, Reason reason) {
  const auto it = executions_.find(execution);
  if (it == executions_.end()) return;
  const std::shared_ptr<Connection> connection = it->second;
  connection->Abort(reason, "aborted");
}

void BackendClient::Close() {
  const auto executions = executions_;
  for (const auto& [id, connection] : executions) {
    connection->Abort(Reason::kShuttingDown, "aborted");
  }
  for (const auto& it : idle_) it->Close();
  idle_.clear();
  idle_timer_.cancel();
  idle_check_scheduled_ = false;
}

std::shared_ptr<BackendClient::Connection> BackendClient::TakeIdle() {
  while (!idle_.empty()) {
    std::shared_ptr<Connection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->address() == address_ && connection->IsReusable()) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void BackendClient::PutIdle(std::shared_ptr<Connection> connection) {
  idle_.push_back(std::move(connection));
  ScheduleIdleCheck();
}

void BackendClient::ScheduleIdleCheck() {
  if (idle_check_scheduled_) return;
  idle_check_scheduled_ = true;
  idle_timer_.expires_after(kIdleCheckInterval);
  idle_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) return;
    idle_check_scheduled_ = false;
    CheckIdle();
  });
}

// An idle connection is not read, so whatever a backend server sends on it
// stays in the kernel's buffer until it is closed.
void BackendClient::CheckIdle() {
  std::vector<std::shared_ptr<Connection>> kept;
  for (const auto& it : idle_) {
    if (it->IsReusable()) {
      kept.push_back(it);
    } else {
      it->Close();
    }
  }
  idle_ = std::move(kept);
  if (!idle_.empty()) ScheduleIdleCheck();
}

void BackendClient::LimitBufferedBytes(bool has_room) {
  if (has_room && buffered_bytes_ <= settings_.max_buffered_bytes) return;
  std::shared_ptr<Connection> longest;
  for (const auto& [id, connection] : executions_) {
    if (!longest || connection->response_bytes() > longest->response_bytes()) {
      longest = connection;
    }
  }
  longest->Abort(Reason::kBackendServerFailed, "too much response data");
}

}  // namespace dogwoodrail::http
