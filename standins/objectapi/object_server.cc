#include "standins/objectapi/object_server.h"

#include <cstdlib>
#include <utility>

#include "standins/common/json_func.h"

namespace dogwoodrail::standin {
namespace {

constexpr char kObjects[] = "/v1/objects/";
constexpr char kWatch[] = "/v1/watch/";
constexpr char kList[] = "/v1/list/";
constexpr char kVersionHeader[] = "Object-Version";

// Sets `rest` to the text after `prefix`. Returns false if `text` does not
// start with `prefix`.
bool StripPrefix(const std::string& text, const std::string& prefix,
                 std::string* rest) {
  if (text.compare(0, prefix.size(), prefix) != 0) return false;
  *rest = text.substr(prefix.size());
  return true;
}

// Returns a numeric parameter of a query string, or 0 if it is absent.
std::uint64_t QueryNumber(const std::string& query, const std::string& name) {
  const std::size_t start = query.find(name + "=");
  if (start == std::string::npos) return 0;
  return std::strtoull(query.c_str() + start + name.size() + 1, nullptr, 10);
}

Outage ParseOutage(const std::string& text) {
  if (text == "refuse" || text == "true" || text == "on") {
    return Outage::kRefuse;
  }
  if (text == "drop") return Outage::kDrop;
  if (text == "silent") return Outage::kSilent;
  return Outage::kNone;
}

}  // namespace

ObjectServer::ObjectServer(asio::io_context& io, std::uint16_t port,
                           std::uint16_t control_port)
    : io_(io),
      api_(io, port, [this](const ExchangePtr& e) { Handle(e); }),
      control_(io, control_port,
               [this](const ExchangePtr& e) {
                 if (!HandleControl(e)) e->Respond(http::status::not_found, "");
               }),
      has_control_(control_port != 0) {}

void ObjectServer::Start() {
  api_.Listen();
  if (has_control_) control_.Listen();
}

void ObjectServer::Handle(const ExchangePtr& exchange) {
  if (HandleControl(exchange)) return;
  if (faults_.outage == Outage::kSilent) return;
  if (faults_.outage != Outage::kNone) {
    exchange->Abort();
    return;
  }
  if (faults_.delay.count() == 0) {
    Route(exchange);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, faults_.delay);
  timer->async_wait(
      [this, exchange, timer](beast::error_code) { Route(exchange); });
}

bool ObjectServer::HandleControl(const ExchangePtr& exchange) {
  const std::string target = exchange->target();
  if (target == "/fault") {
    SetFaults(exchange);
    return true;
  }
  if (target == "/counts") {
    exchange->Respond(http::status::ok, CountsText());
    return true;
  }
  return false;
}

// Members absent from the JSON body keep their value.
void ObjectServer::SetFaults(const ExchangePtr& exchange) {
  const auto tree = ParseJson(exchange->request().body());
  if (!tree) {
    exchange->Respond(http::status::bad_request, "");
    return;
  }
  if (const auto outage = tree->get_optional<std::string>("away")) {
    faults_.outage = ParseOutage(*outage);
  }
  faults_.delay = std::chrono::milliseconds(
      tree->get<std::int64_t>("delay_ms", faults_.delay.count()));
  faults_.lose_answer_after_write =
      tree->get("lose_answer_after_write", faults_.lose_answer_after_write);
  faults_.stale_reads = tree->get("stale_reads", faults_.stale_reads);
  HandleCopy(tree->get<std::string>("copy", ""));
  exchange->Respond(http::status::no_content, "");
  // The outage is applied after a delay so that this response is sent first:
  // the request may have arrived on the port that is about to close.
  auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(1));
  timer->async_wait([this, timer](beast::error_code) { ApplyOutage(); });
}

void ObjectServer::HandleCopy(const std::string& action) {
  if (action == "take") copy_ = store_;
  if (action == "restore") store_ = copy_;
}

// Without a control port the listener stays open, because the outage could not
// be ended otherwise. Connections are closed at their first request instead.
void ObjectServer::ApplyOutage() {
  if (faults_.outage == Outage::kNone) {
    api_.Listen();
    return;
  }
  if (faults_.outage == Outage::kSilent) return;
  if (has_control_ && faults_.outage == Outage::kRefuse) api_.StopListening();
  watches_.clear();
  api_.CloseSessions();
}

std::string ObjectServer::CountsText() const {
  return JsonObject()
      .Add("reads", counts_.reads)
      .Add("writes", counts_.writes)
      .Add("conflicts", counts_.conflicts)
      .Add("watches", counts_.watches)
      .Add("lists", counts_.lists)
      .Add("lost_answers", counts_.lost_answers)
      .Add("waiting", static_cast<std::int64_t>(watches_.size()))
      .Text();
}

void ObjectServer::Route(const ExchangePtr& exchange) {
  const std::string target = exchange->target();
  const auto method = exchange->request().method();
  std::string rest;
  if (StripPrefix(target, kObjects, &rest) && method == http::verb::get) {
    HandleGet(exchange, rest);
  } else if (StripPrefix(target, kObjects, &rest) &&
             method == http::verb::put) {
    HandlePut(exchange, rest);
  } else if (StripPrefix(target, kWatch, &rest)) {
    HandleWatch(exchange, rest);
  } else if (StripPrefix(target, kList, &rest)) {
    ++counts_.lists;
    exchange->Respond(http::status::ok, store_.List(rest));
  } else {
    exchange->Respond(http::status::not_found, "");
  }
}

void ObjectServer::HandleGet(const ExchangePtr& exchange,
                             const std::string& key) {
  ++counts_.reads;
  RespondWithValue(exchange, store_.Get(key, faults_.stale_reads));
}

void ObjectServer::RespondWithValue(const ExchangePtr& exchange,
                                    const ObjectValue& value) {
  if (value.version == 0) {
    exchange->Respond(http::status::not_found, "");
    return;
  }
  HttpResponse response;
  response.result(http::status::ok);
  response.set(kVersionHeader, std::to_string(value.version));
  response.body() = value.body;
  exchange->Respond(std::move(response));
}

void ObjectServer::HandlePut(const ExchangePtr& exchange,
                             const std::string& key) {
  const std::string& body = exchange->request().body();
  const std::string if_version = exchange->Header("If-Version");
  if (if_version.empty()) {
    exchange->Respond(http::status::bad_request, "");
    return;
  }
  if (body.size() > kMaxObjectBytes) {
    exchange->Respond(http::status::payload_too_large, "");
    return;
  }
  ++counts_.writes;
  const PutOutcome outcome =
      store_.Put(key, std::strtoull(if_version.c_str(), nullptr, 10), body);
  if (outcome.written) NotifyWatches(key);
  if (!outcome.written) ++counts_.conflicts;
  if (outcome.written && faults_.lose_answer_after_write > 0) {
    --faults_.lose_answer_after_write;
    ++counts_.lost_answers;
    exchange->Abort();
    return;
  }
  HttpResponse response;
  response.result(outcome.written ? http::status::ok
                                  : http::status::precondition_failed);
  response.set(kVersionHeader, std::to_string(outcome.version));
  exchange->Respond(std::move(response));
}

void ObjectServer::HandleWatch(const ExchangePtr& exchange,
                               const std::string& query) {
  ++counts_.watches;
  const std::size_t query_start = query.find('?');
  const std::string key = query.substr(0, query_start);
  const std::uint64_t after = QueryNumber(query, "after");
  const ObjectValue value = store_.Get(key, faults_.stale_reads);
  if (value.version > after) {
    RespondWithValue(exchange, value);
    return;
  }
  const std::chrono::milliseconds wait(QueryNumber(query, "wait_ms"));
  auto watch = std::make_shared<Watch>(
      Watch{exchange, key, after, asio::steady_timer(io_, wait)});
  watches_.push_back(watch);
  const std::weak_ptr<Watch> weak = watch;
  exchange->OnClosed([this, weak] { watches_.remove(weak.lock()); });
  watch->timer.async_wait([this, weak](beast::error_code ec) {
    const WatchPtr expired = weak.lock();
    if (ec || !expired) return;
    watches_.remove(expired);
    expired->exchange->Respond(http::status::no_content, "");
  });
}

void ObjectServer::NotifyWatches(const std::string& key) {
  const std::list<WatchPtr> watches = watches_;
  for (const WatchPtr& watch : watches) {
    if (watch->key != key) continue;
    const ObjectValue value = store_.Get(key, faults_.stale_reads);
    if (value.version <= watch->after) continue;
    watches_.remove(watch);
    RespondWithValue(watch->exchange, value);
  }
}

}  // namespace dogwoodrail::standin
