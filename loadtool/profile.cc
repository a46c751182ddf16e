#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include "loadtool/profile_type.h"

namespace dogwoodrail::loadtool {
namespace {

using boost::property_tree::ptree;

constexpr char kAccountPrefix[] = "account ";
constexpr char kRoutePrefix[] = "route ";

std::chrono::milliseconds Milliseconds(const ptree& section, const char* key,
                                       std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(
      section.get<std::int64_t>(key, fallback.count()));
}

void ReadLoad(const ptree& section, Profile* profile) {
  profile->seed = section.get("seed", profile->seed);
  profile->duration = Milliseconds(section, "duration_ms", profile->duration);
  profile->warmup = Milliseconds(section, "warmup_ms", profile->warmup);
  profile->surge_from =
      Milliseconds(section, "surge_from_ms", profile->surge_from);
  profile->surge_to = Milliseconds(section, "surge_to_ms", profile->surge_to);
  profile->timeout = Milliseconds(section, "timeout_ms", profile->timeout);
  profile->retries = section.get("retries", profile->retries);
}

AccountLoad ReadAccount(const std::string& name, const ptree& section) {
  AccountLoad account;
  account.name = name;
  account.key = section.get<std::string>("key", "");
  account.demand_per_s = section.get<double>("demand_per_s");
  account.surge_factor = section.get("surge_factor", 1.0);
  account.rate_per_s = section.get<double>("rate_per_s");
  account.burst = section.get<double>("burst");
  return account;
}

RouteLoad ReadRoute(const std::string& name, const ptree& section) {
  RouteLoad route;
  route.name = name;
  route.service = section.get<std::string>("service");
  route.method = section.get<std::string>("method");
  route.target = section.get<std::string>("target");
  route.importance = section.get<std::string>("importance");
  route.share = section.get<double>("share");
  route.body_bytes = section.get("body_bytes", 0);
  return route;
}

}  // namespace

core::base::Result<Profile> ReadProfile(const std::string& path) {
  Profile profile;
  const std::string account_prefix = kAccountPrefix;
  const std::string route_prefix = kRoutePrefix;
  try {
    ptree tree;
    boost::property_tree::read_ini(path, tree);
    for (const auto& [name, section] : tree) {
      if (name == "load") {
        ReadLoad(section, &profile);
      } else if (name.rfind(account_prefix, 0) == 0) {
        profile.accounts.push_back(
            ReadAccount(name.substr(account_prefix.size()), section));
      } else if (name.rfind(route_prefix, 0) == 0) {
        profile.routes.push_back(
            ReadRoute(name.substr(route_prefix.size()), section));
      } else {
        return core::base::MakeError(
            core::base::ErrorCode::kInvalidArgument,
            std::string(path).append(": unknown section ").append(name));
      }
    }
  } catch (const boost::property_tree::ptree_error& e) {
    return core::base::MakeError(core::base::ErrorCode::kInvalidArgument,
                                 path + ": " + e.what());
  }
  return profile;
}

}  // namespace dogwoodrail::loadtool
