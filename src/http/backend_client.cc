#include "http/backend_client.h"

#include <utility>

#include "http/backend_connection.h"

namespace dogwoodrail::http {

using core::base::Reason;

BackendClient::BackendClient(boost::asio::io_context& loop,
                             BackendClientSettings settings, BackendHooks hooks)
    : loop_(loop), settings_(settings), hooks_(std::move(hooks)) {}

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
  connection->Abort(reason);
}

void BackendClient::Close() {
  const auto executions = executions_;
  for (const auto& [id, connection] : executions) {
    connection->Abort(Reason::kShuttingDown);
  }
  for (const auto& it : idle_) it->Close();
  idle_.clear();
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
}

}  // namespace dogwoodrail::http
