#include <chrono>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "soak/soak_fleet.h"
#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::soak {
namespace {

using integration::InstanceAnswer;
using integration::InstanceRequest;
using integration::InstanceStep;
using integration::PlatformFleet;
using integration::PlatformInstance;
using integration::RawRequest;
using integration::RawResponse;
using std::chrono::milliseconds;

constexpr const char* kCrashTarget = "/read/crash-marker";
constexpr milliseconds kServiceTime{40};
// One request in so many gets a spoiled answer from a faulty instance.
constexpr std::size_t kSpoiledOneIn = 3;
constexpr std::size_t kMaxRepetitions = 3;
constexpr std::size_t kNestingLevels = 100'000;
constexpr std::size_t kHugeBytes = 900'000;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Specs of entries that no node can use.
std::string OddSpec(std::size_t number) {
  const std::string specs[] = {
      std::string(kNestingLevels, '[') + std::string(kNestingLevels, ']'),
      R"({"peer":1e400})",
      R"({"peer":-1})",
      R"({"peer":"127.0.0.1:0"})",
      R"({"peer":"127.0.0.1:65536"})",
      R"({"peer":"127.0.0.1:80x"})",
      R"({"peer":NaN})",
      "{\"peer\":\"\xff\xfe\"}",
      R"({"peer":")" + std::string(kHugeBytes, 'x') + R"("})",
  };
  return specs[number % std::size(specs)];
}

// Refuses requests now and then, and writes the refusal again: at once, late,
// or where the next answer on the connection is due; with the id of the refused
// request or without one.
InstanceAnswer RepeatRefusal(const InstanceRequest& request, std::size_t number,
                             std::string& refused) {
  const InstanceStep success{kServiceTime,
                             PlatformInstance::SuccessText(request)};
  if (number % kSpoiledOneIn != 0) {
    if (refused.empty() || request.number == 0) return {true, {success}};
    return {true, {{milliseconds(1), refused}, success}};
  }
  const std::size_t variant = number / kSpoiledOneIn;
  const bool with_id = variant % 2 == 0;
  const std::string again =
      PlatformInstance::RefusalText(with_id ? request.id : "");
  refused = variant % 4 < 2 ? again : "";
  InstanceAnswer answer;
  answer.runs = false;
  answer.steps = {{milliseconds(0), PlatformInstance::RefusalText(request.id)}};
  for (std::size_t it = 0; it < variant % (kMaxRepetitions + 1); ++it) {
    answer.steps.push_back({milliseconds(variant % 8), again});
  }
  return answer;
}

// Stops now and then within the head of the answer, and closes.
InstanceAnswer CutHead(const InstanceRequest& request, std::size_t number) {
  std::string text = PlatformInstance::SuccessText(request);
  if (number % kSpoiledOneIn != 0) return {true, {{kServiceTime, text}}};
  const std::size_t head_bytes = text.find("\r\n\r\n");
  // A step that is coprime to the length visits all positions.
  constexpr std::size_t kStep = 17;
  text.resize(1 + (number * kStep) % (head_bytes + 2));
  return {true, {{kServiceTime, text, true}}};
}

// The keys of the versions of the configuration: each version has one of its
// own, which the next takes away. Thread-safe.
class VersionKeys {
 public:
  static std::string KeyOf(std::uint32_t version) {
    return "soak-key-" + std::to_string(version);
  }

  // Handles the acknowledgement of a version.
  void OnWritten(std::uint32_t version) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::uint32_t it = kFirstVersion; it < version; ++it) {
      withdrawn_.emplace(it, Clock::now());
    }
  }
  // Handles that the store has come back with an older version.
  void OnLost(std::uint32_t version) {
    const std::lock_guard<std::mutex> lock(mutex_);
    withdrawn_.erase(withdrawn_.lower_bound(version), withdrawn_.end());
  }
  // Returns the latest key that no node may take any more.
  std::optional<std::string> Withdrawn() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto limit = Clock::now() - kRevokeTime;
    for (auto it = withdrawn_.rbegin(); it != withdrawn_.rend(); ++it) {
      if (it->second <= limit) return KeyOf(it->first);
    }
    return std::nullopt;
  }

 private:
  using Clock = std::chrono::steady_clock;
  // The version before has no key of its own.
  static constexpr std::uint32_t kFirstVersion = 2;
  // RULES.md: time after which a withdrawn key is good nowhere.
  static constexpr milliseconds kRevokeTime{5000};

  mutable std::mutex mutex_;
  std::map<std::uint32_t, Clock::time_point> withdrawn_;  // since when
};

// Plays the faults that this adapter alone can meet.
class PlatformFaults {
 public:
  explicit PlatformFaults(std::shared_ptr<PlatformFleet> fleet)
      : fleet_(std::move(fleet)) {}

  void Play(const Fault& fault) {
    switch (fault.kind) {
      case FaultKind::kOddEntry:
        return PutOddEntry();
      case FaultKind::kRepeatedRefusal:
        return fleet_->instance(fault.vm).SetScript(
            [number = std::size_t{0},
             refused = std::string()](const InstanceRequest& request) mutable {
              return RepeatRefusal(request, number++, refused);
            });
      case FaultKind::kCutHead:
        return fleet_->instance(fault.vm).SetScript(
            [number = std::size_t{0}](const InstanceRequest& request) mutable {
              return CutHead(request, number++);
            });
      case FaultKind::kSoundAnswers:
        return fleet_->instance(fault.vm).SetScript(nullptr);
      default:
        return;
    }
  }

  // A change while the store is away waits for its return.
  void ChangeConfig() {
    ++version_;
    if (!away_) PutConfig();
  }
  void PlayStore(StoreStep step) {
    switch (step) {
      case StoreStep::kCopy:
        fleet_->store().TakeCopy();
        copied_version_ = version_;
        ChangeConfig();
        // The change that follows may get the revision of this.
        return fleet_->store().Put("notes", "of-another-writer", "{}");
      case StoreStep::kLeave:
        away_ = true;
        return fleet_->store().GoAway();
      case StoreStep::kReturn:
        fleet_->store().RestoreCopy();
        keys_.OnLost(copied_version_);
        fleet_->store().Return();
        away_ = false;
        return;
      case StoreStep::kWriteAgain:
        PutConfig();
        return ChangeConfig();
    }
  }
  // Makes a request with a key that no node may take any more, if there is one.
  std::optional<integration::RawRequest> MakeWithdrawn(
      const std::string& request) {
    const auto key = keys_.Withdrawn();
    if (!key) return std::nullopt;
    auto message = fleet_->MakeRequest("POST", "/write/" + request, request);
    for (auto& it : message.headers) {
      if (it.name == "X-Api-Key") it.value = *key;
    }
    return message;
  }
  bool Follows(std::size_t vm) const {
    return fleet_->Metric(vm, "dogwoodrail_configuration_number") == version_;
  }

 private:
  void PutConfig() {
    std::string config = fleet_->ConfigText(version_);
    const std::string list = "\"api_keys\":[";
    config.insert(config.find(list) + list.size(),
                  "\"" + VersionKeys::KeyOf(version_) + "\",");
    fleet_->store().Put("config", "main", config);
    keys_.OnWritten(version_);
  }
  void PutOddEntry() {
    const std::string name = "odd-" + std::to_string(odd_entries_);
    const std::string spec = OddSpec(odd_entries_++);
    fleet_->store().Put("dogwoodrail-nodes", name, spec);
    fleet_->store().Put("config", name, spec);
  }

  std::shared_ptr<PlatformFleet> fleet_;
  VersionKeys keys_;
  std::uint32_t version_ = 1;
  std::uint32_t copied_version_ = 1;
  bool away_ = false;  // the store
  std::size_t odd_entries_ = 0;
};

}  // namespace

SoakFleet MakePlatformFleet(const std::string& name, std::size_t size) {
  const auto fleet = std::make_shared<PlatformFleet>(
      name, std::vector<std::string>(size, "lots"));
  const auto faults = std::make_shared<PlatformFaults>(fleet);
  SoakFleet soak;
  soak.size = size;
  soak.directory = fleet->directory();
  soak.faults = FaultsBefore(FaultKind::kCount);
  soak.caller_port = [fleet](std::size_t vm) { return fleet->caller_port(vm); };
  soak.node = [fleet](std::size_t vm) -> integration::Process& {
    return fleet->node(vm);
  };
  soak.node_log = [fleet](std::size_t vm) { return fleet->node_log(vm); };
  soak.restart_node = [fleet](std::size_t vm) { fleet->StartNode(vm); };
  soak.end_backend = [fleet](std::size_t vm) { fleet->instance(vm).Crash(); };
  soak.ensure_backend = [](std::size_t) {};  // an instance starts by itself
  soak.change_config = [faults](const Fault&) { faults->ChangeConfig(); };
  soak.follows_config = [faults](std::size_t vm) {
    return faults->Follows(vm);
  };
  soak.play_own = [faults](const Fault& fault) { faults->Play(fault); };
  soak.play_store = [faults](StoreStep step) { faults->PlayStore(step); };
  soak.make_request = [fleet](bool idempotent, const std::string& request) {
    return idempotent
               ? fleet->MakeRequest("GET", "/read/" + request)
               : fleet->MakeRequest("POST", "/write/" + request, request);
  };
  soak.make_withdrawn_request = [faults](const std::string& request) {
    return faults->MakeWithdrawn(request);
  };
  soak.make_crash_request = [fleet] {
    return fleet->MakeRequest("GET", kCrashTarget);
  };
  soak.judge = [](const RawResponse& response, const RawRequest& request) {
    ResponseFacts facts;
    facts.not_run =
        response.status == kTooManyRequests || response.status == kUnavailable;
    facts.right_body = response.complete && response.status == 200 &&
                       response.body == request.target;
    return facts;
  };
  soak.count_runs = [fleet] {
    RunCounts runs;
    runs.crash_target = kCrashTarget;
    runs.by_target = fleet->RunsByTarget();
    return runs;
  };
  return soak;
}

}  // namespace dogwoodrail::soak
