#ifndef DOGWOODRAIL_REVIEW_COMMON_PARTITION_H_
#define DOGWOODRAIL_REVIEW_COMMON_PARTITION_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dogwoodrail::review {

// Relays between the nodes of a fleet, TCP and UDP, that can cut one machine
// off from all other machines. Each node is reached at the address of its
// relay. A cut is silent: bytes wait, datagrams are lost.
class Partition {
 public:
  // The nodes listen at `nodes`, the relays at `relays`, in the same order.
  bool Start(std::vector<std::string> nodes, std::vector<std::string> relays);
  // Cuts off a machine; -1 ends the cut.
  void CutOff(int machine) { cut_ = machine; }

 private:
  bool IsCut(int a, int b) const;
  void RelayDatagrams(int to);
  void ServeConnection(int to, int fd);
  // Reads the first frame of a link, which names the machine that opened it.
  int ReadSender(int fd, std::string* bytes) const;

  std::vector<std::string> nodes_;
  std::vector<std::string> relays_;
  std::vector<int> sockets_;
  std::atomic<int> cut_{-1};
};

constexpr std::uint16_t kPeerPort = 7000;

}  // namespace dogwoodrail::review

#endif  // DOGWOODRAIL_REVIEW_COMMON_PARTITION_H_
