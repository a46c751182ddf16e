// Formats reports as text and JSON.
#include <cstdarg>
#include <cstdio>

#include "loadtool/load_report.h"
#include "standins/common/json_func.h"

namespace dogwoodrail::loadtool {
namespace {

using standin::JsonObject;

constexpr double kMicrosecondsPerMs = 1000;
constexpr double kPercent = 100;

double ToMs(std::chrono::microseconds time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerMs;
}

__attribute__((format(printf, 1, 2))) std::string Format(const char* format,
                                                         ...) {
  char buf[256];
  va_list args;
  va_start(args, format);
  std::vsnprintf(buf, sizeof(buf), format, args);
  va_end(args);
  return buf;
}

std::string GroupLine(const GroupReport& group) {
  return Format("%-14s %9ld %9ld %7.2f%% %7ld %9ld %7ld %9.2f %9.2f\n",
                group.name.c_str(), group.sent, group.correct,
                group.CorrectShare() * kPercent, group.mismatched,
                group.refused, group.lost, ToMs(group.p50), ToMs(group.p99));
}

std::string GroupTable(const std::string& title,
                       const std::vector<GroupReport>& groups) {
  std::string text =
      Format("%-14s %9s %9s %8s %7s %9s %7s %9s %9s\n", title.c_str(), "sent",
             "right", "share", "wrong", "refused", "lost", "p50 ms", "p99 ms");
  for (const GroupReport& it : groups) text += GroupLine(it);
  return text + "\n";
}

std::string GroupsJson(const std::vector<GroupReport>& groups) {
  std::string text;
  for (const GroupReport& it : groups) {
    if (!text.empty()) text += ",";
    text += JsonObject()
                .Add("name", it.name)
                .Add("sent", it.sent)
                .Add("right", it.correct)
                .Add("wrong", it.mismatched)
                .Add("refused", it.refused)
                .Add("lost", it.lost)
                .Add("p50_ms", ToMs(it.p50))
                .Add("p99_ms", ToMs(it.p99))
                .Text();
  }
  return "[" + text + "]";
}

RefusalCount SumRefusals(const Report& report) {
  RefusalCount sum;
  for (const RefusalCount& it : report.refusals) {
    sum.all += it.all;
    sum.in_rate += it.in_rate;
    sum.in_rate_by_rate += it.in_rate_by_rate;
  }
  return sum;
}

}  // namespace

std::string ReportText(const Report& report) {
  const RefusalCount refusals = SumRefusals(report);
  std::string text = GroupTable("second", report.seconds);
  text += GroupTable("account", report.accounts);
  text += GroupTable("importance", report.importances);
  text += GroupTable("", {report.all});
  for (const auto& [reason, count] : report.calls_by_reason) {
    text += Format("calls not answered: %-28s %9ld\n", reason.c_str(), count);
  }
  text +=
      Format("goodput              %.1f requests/s\n", report.goodput_per_s);
  text += Format("calls per request    %.3f\n", report.calls_per_request);
  text += Format("attempts per request %.3f, at most %d\n",
                 report.attempts_per_request, report.most_attempts);
  text +=
      Format("in-rate refusals     %ld of %ld calls refused, %ld for rate\n",
             refusals.in_rate, refusals.all, refusals.in_rate_by_rate);
  text += Format("worst-served account %.3f of its due (%s)\n",
                 report.worst_account_share, report.worst_account.c_str());
  text += Format("recovery             %ld ms\n",
                 static_cast<long>(report.recovery.count()));  // NOLINT
  return text;
}

std::string ReportJson(const Report& report) {
  const RefusalCount refusals = SumRefusals(report);
  JsonObject reasons;
  for (const auto& [reason, count] : report.calls_by_reason) {
    reasons.Add(reason, count);
  }
  return JsonObject()
      .Add("goodput_per_s", report.goodput_per_s)
      .Add("calls_per_request", report.calls_per_request)
      .Add("attempts_per_request", report.attempts_per_request)
      .Add("most_attempts", static_cast<std::int64_t>(report.most_attempts))
      .Add("refused_calls", refusals.all)
      .Add("in_rate_refusals", refusals.in_rate)
      .Add("in_rate_refusals_by_rate", refusals.in_rate_by_rate)
      .Add("worst_account", report.worst_account)
      .Add("worst_account_share", report.worst_account_share)
      .Add("recovery_ms", static_cast<std::int64_t>(report.recovery.count()))
      .AddRaw("reasons", reasons.Text())
      .AddRaw("all", GroupsJson({report.all}))
      .AddRaw("accounts", GroupsJson(report.accounts))
      .AddRaw("importances", GroupsJson(report.importances))
      .AddRaw("account_routes", GroupsJson(report.account_routes))
      .AddRaw("seconds", GroupsJson(report.seconds))
      .Text();
}

}  // namespace dogwoodrail::loadtool
