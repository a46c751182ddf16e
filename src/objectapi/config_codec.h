#ifndef DOGWOODRAIL_OBJECTAPI_CONFIG_CODEC_H_
#define DOGWOODRAIL_OBJECTAPI_CONFIG_CODEC_H_

#include <string>

#include "core/base/error_type.h"
#include "core/config/config_base.h"
#include "core/config/config_type.h"

namespace dogwoodrail::objectapi {

// The configuration in force with the ticket that produced it; the value of the
// object config/head.
struct ConfigHead {
  core::config::ConfigState state;
  core::config::Ticket last_ticket;
};

// Reads a ticket file: entries only. Number, id, author and time are left
// empty; they are given when the ticket is submitted.
core::base::Result<core::config::Ticket> DecodeTicketFile(
    const std::string& text);

// Whole ticket as JSON text, as kept in the history.
std::string EncodeTicket(const core::config::Ticket& ticket,
                         bool indented = false);
core::base::Result<core::config::Ticket> DecodeTicket(const std::string& text);

// Configuration and its last ticket as JSON text. Decoding checks each entry
// again and refuses a head whose ticket has another number than its state.
std::string EncodeHead(const ConfigHead& head);
core::base::Result<ConfigHead> DecodeHead(const std::string& text);

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_CONFIG_CODEC_H_
