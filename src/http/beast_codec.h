#ifndef DOGWOODRAIL_HTTP_BEAST_CODEC_H_
#define DOGWOODRAIL_HTTP_BEAST_CODEC_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <exception>
#include <string>

#include "core/base/error_type.h"
#include "http/message_type.h"

// Conversions between the messages of this folder and those of Beast. Beast
// throws an exception for a message that it cannot represent; here that is an
// error like any other, so that it ends one exchange only.
namespace dogwoodrail::http {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// Builds the message for a backend server, with `default_host` as Host header
// if the request has none. Moves the body out of the request.
core::base::Result<BeastRequest> EncodeRequest(Request& request,
                                               const std::string& default_host);
// Builds the message for a caller.
core::base::Result<BeastResponse> EncodeResponse(Response response,
                                                 bool keep_alive);

Request DecodeRequest(BeastRequest&& message);
Response DecodeResponse(BeastResponse&& message);

// Parses received bytes and returns how many were consumed. A header field that
// is too large for the parser is reported as header_limit.
template <typename Parser>
std::size_t ParseBytes(Parser& parser,
                       const boost::asio::const_buffer& received,
                       boost::system::error_code& ec) {
  try {
    return parser.put(received, ec);
  } catch (const std::exception&) {
    ec = boost::beast::http::error::header_limit;
    return 0;
  }
}

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_BEAST_CODEC_H_
