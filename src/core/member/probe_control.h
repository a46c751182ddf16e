#ifndef DOGWOODRAIL_CORE_MEMBER_PROBE_CONTROL_H_
#define DOGWOODRAIL_CORE_MEMBER_PROBE_CONTROL_H_

#include <cstdint>
#include <vector>

#include "core/base/random_type.h"
#include "core/member/member_message_type.h"
#include "core/member/member_settings_type.h"
#include "core/member/member_store.h"

namespace dogwoodrail::core::member {

// Result of a finished probe.
struct ProbeResult {
  MemberIndex target;
  bool answered = false;
};

// SWIM failure detector. Probes one member in each interval, mostly in this
// node's zone, and sends ping requests to other members if there is no
// acknowledgement. Stretches its timeouts while this node itself seems to be
// slow, as in Lifeguard.
class ProbeControl {
 public:
  ProbeControl(const MemberSettings& settings, const MemberSelf& self,
               base::Random* random);

  // Starts probes, sends ping requests for late ones, and returns the results
  // of finished ones.
  std::vector<ProbeResult> Tick(const MemberStore& store, base::TimePoint now,
                                std::vector<SendMemberMessage>* out);
  // Handles a ping, acknowledgement, ping request or negative acknowledgement.
  void OnMessage(const base::NodeAddress& from, const MemberMessage& message,
                 base::TimePoint now, std::vector<SendMemberMessage>* out);
  // Drops the open probes and relays after a pause of this process.
  void Restart(base::TimePoint now);
  // Increases the health penalty, because this node was suspected or paused.
  void IncreaseHealthPenalty();
  // Factor by which timeouts are stretched: 1 if this node is healthy.
  int scale() const { return 1 + health_penalty_; }

 private:
  struct Probe {
    MemberIndex target;
    base::NodeAddress address;
    std::uint64_t sequence = 0;
    base::TimePoint started;
    bool answered = false;
    bool indirect = false;
    std::size_t helpers = 0;
    std::size_t nacks = 0;
  };
  // Ping sent on behalf of another node.
  struct Relay {
    base::NodeAddress origin;
    std::uint64_t origin_sequence = 0;
    base::NodeAddress target;
    std::uint64_t sequence = 0;
    base::TimePoint started;
  };

  void StartProbe(const MemberStore& store, base::TimePoint now,
                  std::vector<SendMemberMessage>* out);
  void SendPingRequests(const MemberStore& store, Probe* probe,
                        std::vector<SendMemberMessage>* out);
  void ExpireRelays(base::TimePoint now, std::vector<SendMemberMessage>* out);
  void FinishProbe(const MemberStore& store, const Probe& probe,
                   base::TimePoint now);
  void OnAck(const MemberMessage& message, std::vector<SendMemberMessage>* out);
  MemberIndex PickTarget(const MemberStore& store, base::TimePoint now);
  MemberIndex NextInZone(const MemberStore& store);

  const MemberSettings& settings_;
  const MemberSelf& self_;
  base::Random* random_;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  // Members of this node's zone that are left to probe in the current round.
  std::vector<MemberIndex> probe_order_;
  std::uint64_t next_sequence_;
  std::uint64_t probe_count_ = 0;
  base::TimePoint next_probe_{};
  // Zone of this region in which a probe has failed. Until focus_until_ its
  // members are probed more often.
  base::ZoneName focus_zone_;
  base::TimePoint focus_until_{};
  int health_penalty_ = 0;  // 0 if this node is healthy
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_PROBE_CONTROL_H_
