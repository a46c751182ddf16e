#include "tests/integration/platform/common/store.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <future>
#include <utility>

#include "platform/json_fields.h"

namespace dogwoodrail::integration {
namespace {

using standin::ExchangePtr;
using Clock = std::chrono::steady_clock;
using http_status = boost::beast::http::status;
using http_verb = boost::beast::http::verb;

constexpr const char* kPrefix = "/dogwoodrail/objects/";
constexpr std::chrono::milliseconds kWatchPoll{20};
// Limits of one page of a list.
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1'000'000;

// Returns a parameter of a query string, or an empty string.
std::string QueryValue(const std::string& query, const std::string& name) {
  const std::size_t start = query.find(name + "=");
  if (start == std::string::npos) return "";
  const std::size_t first = start + name.size() + 1;
  return query.substr(first, query.find('&', first) - first);
}

std::uint64_t QueryNumber(const std::string& query, const std::string& name) {
  return std::strtoull(QueryValue(query, name).c_str(), nullptr, 10);
}

std::string ObjectText(const std::string& name, std::uint64_t revision,
                       const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","rev":)" +
         std::to_string(revision) + R"(},"spec":)" + spec + "}";
}

}  // namespace

PlatformStore::PlatformStore(boost::asio::io_context& loop, std::uint16_t port)
    : loop_(loop),
      server_(loop, port, [this](const ExchangePtr& it) { Handle(it); }) {}

void PlatformStore::Start() { server_.Listen(); }

void PlatformStore::Put(const std::string& kind, const std::string& name,
                        const std::string& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  state_.kinds[kind][name] = {++state_.revision, spec};
}

void PlatformStore::SetAvailable(bool available) {
  const std::lock_guard<std::mutex> lock(mutex_);
  available_ = available;
}

std::size_t PlatformStore::Count(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_.kinds[kind].size();
}

void PlatformStore::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = state_;
}

void PlatformStore::TakeCopyWithout(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = state_;
  copy_.kinds.erase(kind);
}

void PlatformStore::RestoreCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  state_ = copy_;
  ++era_;
}

void PlatformStore::GoAway() {
  RunOnLoop([this] {
    server_.StopListening();
    server_.CloseSessions();
  });
}

void PlatformStore::Return() {
  RunOnLoop([this] { server_.Listen(); });
}

void PlatformStore::RunOnLoop(const std::function<void()>& function) {
  std::promise<void> done;
  boost::asio::post(loop_, [&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

void PlatformStore::Respond(const ExchangePtr& exchange, http_status status,
                            std::string body) const {
  standin::HttpResponse response;
  response.result(status);
  response.set("Store-Era", std::to_string(era_));
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(body);
  exchange->Respond(std::move(response));
}

void PlatformStore::Handle(const ExchangePtr& exchange) {
  const std::string target = exchange->target();
  const std::size_t mark = target.find('?');
  std::string path = target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!available_) {
    return Respond(exchange, http_status::service_unavailable, "{}");
  }
  if (path.rfind(kPrefix, 0) != 0) {
    return Respond(exchange, http_status::not_found, "{}");
  }
  path.erase(0, std::string(kPrefix).size());
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  if (exchange->request().method() == http_verb::get) {
    return HandleRead(exchange, kind, name, query);
  }
  HandleWrite(exchange, kind, name);
}

void PlatformStore::HandleRead(const ExchangePtr& exchange,
                               const std::string& kind, const std::string& name,
                               const std::string& query) {
  if (!name.empty()) {
    const auto it = state_.kinds[kind].find(name);
    if (it == state_.kinds[kind].end()) {
      return Respond(exchange, http_status::not_found, "{}");
    }
    return Respond(exchange, http_status::ok,
                   ObjectText(name, it->second.revision, it->second.spec));
  }
  if (QueryValue(query, "watch").empty()) {
    return Respond(exchange, http_status::ok,
                   ListText(kind, QueryValue(query, "after")));
  }
  const std::chrono::milliseconds wait(QueryNumber(query, "wait_ms"));
  const std::uint64_t after = QueryNumber(query, "watch");
  auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kWatchPoll);
  timer->async_wait([this, exchange, kind, after, timer,
                     end = Clock::now() + wait](const auto&) {
    Watch(exchange, kind, after, end);
  });
}

void PlatformStore::Watch(const ExchangePtr& exchange, const std::string& kind,
                          std::uint64_t after, Clock::time_point end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!available_) return exchange->Abort();
  if (after > state_.revision) {
    return Respond(exchange, http_status::gone, "{}");
  }
  bool changed = false;
  for (const auto& [name, it] : state_.kinds[kind]) {
    changed = changed || it.revision > after;
  }
  if (changed || Clock::now() >= end) {
    return Respond(exchange, http_status::ok, EventsText(kind, after));
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(loop_, kWatchPoll);
  timer->async_wait([this, exchange, kind, after, timer, end](const auto&) {
    Watch(exchange, kind, after, end);
  });
}

void PlatformStore::HandleWrite(const ExchangePtr& exchange,
                                const std::string& kind,
                                const std::string& name) {
  const auto body = platform::ParseBody(exchange->request().body());
  if (!body || !body->is_object()) {
    return Respond(exchange, http_status::bad_request, "{}");
  }
  const std::string spec = body->value("spec", platform::Json()).dump();
  std::string object = name;
  if (exchange->request().method() == http_verb::post) {
    object = (*body)["metadata"].value("name", "");
    if (state_.kinds[kind].count(object) > 0) {
      return Respond(exchange, http_status::conflict, "{}");
    }
  }
  state_.kinds[kind][object] = {++state_.revision, spec};
  Respond(exchange, http_status::ok, ObjectText(object, state_.revision, spec));
}

std::string PlatformStore::ListText(const std::string& kind,
                                    const std::string& after) {
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  for (const auto& [name, it] : state_.kinds[kind]) {
    if (name <= after) continue;
    has_more = count > 0 && (count >= kPageItems || items.size() >= kPageBytes);
    if (has_more) break;
    if (count++ > 0) items += ',';
    items += ObjectText(name, it.revision, it.spec);
  }
  return R"({"items":[)" + items + R"(],"has_more":)" +
         (has_more ? "true" : "false") + R"(,"at":)" +
         std::to_string(state_.revision) + "}";
}

std::string PlatformStore::EventsText(const std::string& kind,
                                      std::uint64_t after) {
  std::string events;
  for (const auto& [name, it] : state_.kinds[kind]) {
    if (it.revision <= after) continue;
    if (!events.empty()) events += ',';
    events += R"({"object":)" + ObjectText(name, it.revision, it.spec) +
              R"(,"deleted":false})";
  }
  return R"({"events":[)" + events + R"(],"at":)" +
         std::to_string(state_.revision) + "}";
}

}  // namespace dogwoodrail::integration
