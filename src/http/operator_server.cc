#include "http/operator_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <atomic>
#include <exception>
#include <thread>
#include <utility>

#include "http/listen_backlog.h"

namespace dogwoodrail::http {

using core::base::ErrorCode;
using core::base::MakeError;

namespace {

constexpr int kReadTimeoutMs = 5000;
constexpr int kWriteTimeoutMs = 5000;
// All threads are started at once: cxxtools does not always join a thread that
// it starts later.
constexpr unsigned kThreads = 16;
constexpr int kListenBacklog = 1024;

// Converts a cxxtools request to a Request.
Request ToRequest(const cxxtools::http::Request& message) {
  Request request;
  request.method = message.method();
  request.target = message.url();
  if (!message.qparams().empty()) request.target += "?" + message.qparams();
  for (auto it = message.header().begin(); it != message.header().end(); ++it) {
    request.headers.push_back(Header{it->first, it->second});
  }
  request.body = message.bodyStr();
  return request;
}

// Passes each request to the handler and writes its response.
class Responder : public cxxtools::http::Responder {
 public:
  Responder(cxxtools::http::Service& service,
            const OperatorServer::Handler& handler)
      : cxxtools::http::Responder(service), handler_(handler) {}

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const Response response = handler_(ToRequest(request));
    reply.httpReturn(static_cast<unsigned>(response.status), "");
    for (const Header& it : response.headers) {
      reply.setHeader(it.name.c_str(), it.value.c_str());
    }
    out << response.body;
  }

 private:
  const OperatorServer::Handler& handler_;
};

// Creates a responder for each request.
class Service : public cxxtools::http::Service {
 public:
  explicit Service(const OperatorServer::Handler& handler)
      : handler_(handler) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& /*request*/) override {
    return new Responder(*this, handler_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  const OperatorServer::Handler& handler_;
};

}  // namespace

class OperatorServer::Impl {
 public:
  explicit Impl(Handler handler)
      : handler_(std::move(handler)), service_(handler_), server_(loop_) {
    server_.minThreads(kThreads);
    server_.maxThreads(kThreads);
    server_.readTimeout(cxxtools::Milliseconds(kReadTimeoutMs));
    server_.writeTimeout(cxxtools::Milliseconds(kWriteTimeoutMs));
    server_.addService(cxxtools::Regex(".*"), service_);
  }

  ~Impl() {
    if (!thread_.joinable()) return;
    loop_.exit();
    thread_.join();
  }

  core::base::Result<void> Listen(const std::string& ip, std::uint16_t port) {
    try {
      server_.listen(ip, port);
      (void)RaiseListenBacklog(ip, port, kListenBacklog);
    } catch (const std::exception& e) {
      return MakeError(ErrorCode::kUnavailable, e.what());
    }
    thread_ = std::thread([this] { loop_.run(); });
    return {};
  }

 private:
  Handler handler_;
  cxxtools::EventLoop loop_;
  Service service_;
  cxxtools::http::Server server_;
  std::thread thread_;
};

OperatorServer::OperatorServer(Handler handler)
    : impl_(std::make_unique<Impl>(std::move(handler))) {}

OperatorServer::~OperatorServer() = default;

core::base::Result<void> OperatorServer::Listen(const std::string& ip,
                                                std::uint16_t port) {
  return impl_->Listen(ip, port);
}

}  // namespace dogwoodrail::http
