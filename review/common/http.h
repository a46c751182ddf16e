#ifndef DOGWOODRAIL_REVIEW_COMMON_HTTP_H_
#define DOGWOODRAIL_REVIEW_COMMON_HTTP_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

// HTTP/1.1 over blocking sockets, as much as the stand-ins of the review need.
namespace dogwoodrail::review {

// Milliseconds of the steady clock since the process started.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

struct Message {
  std::string method;  // of a request
  std::string target;
  int status = 0;  // of a response
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the value of a header, or an empty string.
  std::string Get(const std::string& name) const;
  bool Has(const std::string& name) const;
};

enum class ReadEnd {
  kWhole,    // a whole message was read
  kClosed,   // the peer closed or reset the connection before its end
  kTimeout,  // the time was over before its end
  kInvalid,  // the bytes are no message
};

// Reads the next message of a connection. `rest` holds bytes read beyond it.
ReadEnd ReadMessage(int fd, std::string* rest, Message* out,
                    std::int64_t deadline_ms);
// Writes all bytes; returns false if the connection ends before.
bool WriteAll(int fd, const std::string& bytes);
// Formats a response with a length.
std::string FormatResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body);
// Formats a request with a length if it has a body.
std::string FormatRequest(
    const std::string& method, const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body);

// Opens a listener; returns -1 if the address is in use.
int Listen(const std::string& ip, std::uint16_t port);
// Connects within a time; returns -1 on failure.
int Connect(const std::string& ip, std::uint16_t port, std::int64_t timeout_ms);
// Returns true if the peer has closed the connection. Reads nothing.
bool IsClosedByPeer(int fd);
void SetNoDelay(int fd);

}  // namespace dogwoodrail::review

#endif  // DOGWOODRAIL_REVIEW_COMMON_HTTP_H_
