#ifndef DOGWOODRAIL_TESTS_INTEGRATION_COMMON_RAW_HTTP_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_COMMON_RAW_HTTP_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dogwoodrail::integration {

// One HTTP header.
struct RawHeader {
  std::string name;
  std::string value;
};

// A received response. `complete` is false if the connection closed or timed
// out before the end of the response; `status` may then be 0.
struct RawResponse {
  int status = 0;
  bool complete = false;
  bool closed = false;  // the server closed before the response was complete
  std::vector<RawHeader> headers;
  std::string body;

  // Value of a header, or an empty string.
  std::string Header(const std::string& name) const;
  // Value of a string member of a flat JSON body, or an empty string.
  std::string JsonMember(const std::string& name) const;
};

// A blocking TCP connection that sends bytes unmodified.
class RawConnection {
 public:
  explicit RawConnection(std::uint16_t port);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // True if the connection is established.
  bool IsOpen() const { return fd_ >= 0; }
  // Sends bytes; false if the server has closed.
  bool Send(const std::string& bytes) const;
  // Closes the sending direction of the connection.
  void FinishSending() const;
  // Reads one response.
  RawResponse ReadResponse(std::chrono::milliseconds timeout);
  // True if the server closes within the timeout. Received bytes are discarded.
  bool WaitClosed(std::chrono::milliseconds timeout) const;
  // Closes the connection.
  void Close();

 private:
  int fd_ = -1;
  std::string pending_;  // received bytes that follow the last response
};

// An HTTP/1.1 request.
struct RawRequest {
  std::string method = "GET";
  std::string target;
  std::vector<RawHeader> headers;
  std::string body;

  // Adds a header; returns the request itself.
  RawRequest& AddHeader(const std::string& name, const std::string& value);
  // Returns the request in wire format, with Host and, if there is a body,
  // Content-Length.
  std::string Serialize() const;
};

constexpr std::chrono::seconds kRequestTimeout{5};

// Sends a request on a new connection and reads the response.
RawResponse SendRequest(std::uint16_t port, const RawRequest& request,
                        std::chrono::milliseconds timeout = kRequestTimeout);

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_COMMON_RAW_HTTP_H_
