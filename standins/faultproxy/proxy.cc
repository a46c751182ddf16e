#include "standins/faultproxy/proxy.h"

#include <string>
#include <utility>

namespace dogwoodrail::standin {
namespace {

constexpr int kBacklog = 2048;

}  // namespace

Proxy::Proxy(asio::io_context& io, const ProxyOptions& options)
    : io_(io),
      options_(options),
      acceptor_(io),
      control_(io, options.control,
               [this](const ExchangePtr& e) { Handle(e); }) {
  faults_.random.seed(options.seed);
  if (!options.datagrams) return;
  const Udp::endpoint target(options.target.address(), options.target.port());
  datagrams_ = std::make_unique<DatagramRelay>(io, options.listen, target,
                                               &faults_, &counts_);
}

void Proxy::Start() {
  Listen();
  control_.Listen();
  if (datagrams_) datagrams_->Start();
}

void Proxy::Listen() {
  if (acceptor_.is_open()) return;
  const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                               options_.listen);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
  Accept();
}

void Proxy::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& ec,
                                Tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (!ec) {
      ++counts_.accepted;
      auto relay =
          std::make_shared<Relay>(io_, std::move(socket), &faults_, &counts_);
      relays_.insert(relay);
      relay->Start(options_.target,
                   [this](const std::shared_ptr<Relay>& closed) {
                     relays_.erase(closed);
                   });
    }
    if (acceptor_.is_open()) Accept();
  });
}

void Proxy::Handle(const ExchangePtr& exchange) {
  if (exchange->target() == "/counts") {
    exchange->Respond(http::status::ok, CountsText());
    return;
  }
  const auto tree = ParseJson(exchange->request().body());
  if (!tree) {
    exchange->Respond(http::status::bad_request, "");
    return;
  }
  Apply(*tree);
  exchange->Respond(http::status::no_content, "");
}

// Members absent from the JSON body keep their value. "cut" and "freeze" apply
// once, to the connections that are currently open.
void Proxy::Apply(const JsonTree& tree) {
  faults_.delay = std::chrono::microseconds(
      tree.get<std::int64_t>("delay_us", faults_.delay.count()));
  if (const auto ms = tree.get_optional<std::int64_t>("delay_ms")) {
    faults_.delay = std::chrono::milliseconds(*ms);
  }
  faults_.silence_to_target =
      tree.get("silence_to_target", faults_.silence_to_target);
  faults_.silence_to_caller =
      tree.get("silence_to_caller", faults_.silence_to_caller);
  faults_.drop_answers = tree.get("drop_answers", faults_.drop_answers);
  faults_.corrupt = tree.get("corrupt", faults_.corrupt);
  faults_.truncate = tree.get("truncate", faults_.truncate);
  faults_.loss = tree.get("loss", faults_.loss);
  const auto relays = relays_;
  if (tree.get("cut", false)) {
    for (const auto& relay : relays) relay->Close();
  }
  if (tree.get("freeze", false)) {
    for (const auto& relay : relays) relay->Freeze();
  }
  if (const auto refuse = tree.get_optional<bool>("refuse")) {
    boost::system::error_code ec;
    if (*refuse) acceptor_.close(ec);
    if (!*refuse) Listen();
  }
}

std::string Proxy::CountsText() const {
  return JsonObject()
      .Add("accepted", counts_.accepted)
      .Add("open", static_cast<std::int64_t>(relays_.size()))
      .Add("bytes_to_target", counts_.bytes_to_target)
      .Add("bytes_to_caller", counts_.bytes_to_caller)
      .Add("faults", counts_.faults)
      .Text();
}

}  // namespace dogwoodrail::standin
