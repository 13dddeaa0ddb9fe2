#pragma once

#include <cstdint>

namespace mustardshift::proxy {

/** Identifies a request at one ServerAdmission, from Add() until its refusal, Remove() or
    Finish(); never zero. */
using AdmissionTicket = std::uint64_t;

} // namespace mustardshift::proxy
