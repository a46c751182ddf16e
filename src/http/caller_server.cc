#include "http/caller_server.h"

#include <algorithm>
#include <utility>

#include "http/caller_session.h"

namespace dogwoodrail::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using core::base::ErrorCode;
using core::base::MakeError;

namespace {

// Many callers may connect at once, for example when a region recovers.
constexpr int kListenBacklog = 4096;

}  // namespace

CallerServer::CallerServer(asio::io_context& loop,
                           CallerServerSettings settings,
                           CallerServerHooks hooks)
    : loop_(loop),
      settings_(settings),
      hooks_(std::move(hooks)),
      acceptor_(loop) {}

CallerServer::~CallerServer() { Close(); }

core::base::Result<void> CallerServer::Listen(const std::string& ip,
                                              std::uint16_t port) {
  error_code ec;
  const tcp::endpoint endpoint(asio::ip::make_address(ip, ec), port);
  if (!ec) acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(kListenBacklog, ec);
  if (ec) return MakeError(ErrorCode::kUnavailable, ec.message());
  Accept();
  return {};
}

void CallerServer::Accept() {
  acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!ec) AddSession(std::move(socket));
    Accept();
  });
}

void CallerServer::AddSession(tcp::socket socket) {
  auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_[session.get()] = session;
  session->Start();
}

void CallerServer::SetLimits(const CallerServerSettings& settings) {
  const bool in_use = next_exchange_ > 1 || !sessions_.empty();
  if (in_use && settings.idle_timeout < settings_.idle_timeout) {
    old_idle_timeout_ = IdleTimeout();
    old_idle_timeout_until_ =
        std::chrono::steady_clock::now() + old_idle_timeout_;
  }
  settings_ = settings;
  for (const auto& [key, session] : sessions_) {
    session->ExtendIdle(settings_.idle_timeout);
  }
}

// Callers reuse connections by the old limit until they know the new one.
std::chrono::milliseconds CallerServer::IdleTimeout() const {
  if (std::chrono::steady_clock::now() >= old_idle_timeout_until_) {
    return settings_.idle_timeout;
  }
  return std::max(settings_.idle_timeout, old_idle_timeout_);
}

bool CallerServer::Answer(ExchangeId exchange, Response response) {
  const auto it = exchanges_.find(exchange);
  if (it == exchanges_.end()) return false;
  it->second->Answer(std::move(response));
  return true;
}

void CallerServer::SetRequest(ExchangeId exchange,
                              const core::base::RequestId& request) {
  const auto it = exchanges_.find(exchange);
  if (it != exchanges_.end()) it->second->SetRequest(request);
}

void CallerServer::BeginStop() { stopping_ = true; }

// Accepts all pending connections before closing the listener. Closing it
// resets connections that are established but not accepted yet, and loses the
// requests already sent on them.
void CallerServer::StopAccepting() {
  error_code ec;
  acceptor_.cancel(ec);
  acceptor_.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(loop_);
    acceptor_.accept(socket, ec);
    if (!ec) AddSession(std::move(socket));
  }
  acceptor_.close(ec);
}

// Called some time after StopAccepting(), so that a caller that has just
// connected or sent a request on a persistent connection still gets a response.
void CallerServer::CloseIdle() {
  closing_idle_ = true;
  const auto sessions = sessions_;
  for (const auto& [key, session] : sessions) session->CloseIfIdle();
}

std::size_t CallerServer::ReadingCount() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const auto& it) { return it.second->IsReading(); }));
}

void CallerServer::Close(CloseCause cause) {
  stopping_ = true;
  error_code ec;
  acceptor_.close(ec);
  const auto sessions = sessions_;
  for (const auto& [key, session] : sessions) session->Close(cause);
}

}  // namespace dogwoodrail::http
