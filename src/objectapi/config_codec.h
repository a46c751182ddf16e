#ifndef DOGWOODRAIL_OBJECTAPI_CONFIG_CODEC_H_
#define DOGWOODRAIL_OBJECTAPI_CONFIG_CODEC_H_

#include <string>

#include "core/base/error_type.h"
#include "core/config/config_base.h"
#include "core/config/config_type.h"

namespace dogwoodrail::objectapi {

// The configuration in force and the ticket that produced it, stored as the
// object config/head.
struct ConfigHead {
  core::config::ConfigState state;
  core::config::Ticket last_ticket;
};

// Parses a ticket file, which holds entries only. Number, id, author and time
// stay unset until the ticket is submitted.
core::base::Result<core::config::Ticket> DecodeTicketFile(
    const std::string& text);

// Encode and decode a complete ticket as JSON text, the format of the history.
std::string EncodeTicket(const core::config::Ticket& ticket,
                         bool indented = false);
core::base::Result<core::config::Ticket> DecodeTicket(const std::string& text);

// Encode and decode the configuration and its last ticket as JSON text.
// Decoding validates each entry again and rejects a head whose ticket and state
// have different numbers.
std::string EncodeHead(const ConfigHead& head);
core::base::Result<ConfigHead> DecodeHead(const std::string& text);

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_CONFIG_CODEC_H_
