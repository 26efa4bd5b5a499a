#pragma once

#include "kumquatbeam/settings/setting_row.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquatbeam {

/// A virtual machine that runs a router daemon, as listed by the platform.
struct entry_vm {
    entry_vm_id id;
    failure_domain_id domain;
    std::string address;
    std::int64_t peerPort = 0;
    bool isLeaving = false;
};

/// The platform's status of an endpoint's machine.
struct endpoint_machine {
    endpoint_id id;
    bool isLeaving = false;
};

/// The platform's list of running and leaving machines. It may be out of date, so it serves only as a hint.
struct member_list {
    revision revisionNumber;
    std::map<entry_vm_id, entry_vm> entryVms;
    std::map<endpoint_id, endpoint_machine> endpointMachines;
};

/// Result of parsing a member list.
struct member_list_parse_result {
    member_list members;
    std::vector<failure> faults;
    /// Whether the text could be parsed; the members are empty otherwise.
    bool isReadable = false;
};

/// Settings table of an entry VM.
std::span<const setting_row<entry_vm>> entryVmTable();

/// Parses the platform's list. Sections with failures are left out; the others are used.
member_list_parse_result parseMembers(revision, const std::string& text);

} // namespace kumquatbeam
