#pragma once

namespace kumquatbeam {

/// @{ Non-standard header fields between callers and the router.
inline constexpr char deadlineField[] = "Kumquatbeam-Deadline-Ms";
inline constexpr char urgencyField[] = "Kumquatbeam-Urgency";
inline constexpr char ticketField[] = "Kumquatbeam-Ticket";
inline constexpr char affinityField[] = "Kumquatbeam-Affinity";
inline constexpr char outcomeField[] = "Kumquatbeam-Outcome";
inline constexpr char failureField[] = "Kumquatbeam-Failure";
/// @}

/// @{ Header fields between the router and endpoints.
inline constexpr char streamField[] = "Stream-Id";
inline constexpr char resumeAtField[] = "Resume-At";
inline constexpr char resumedAtField[] = "Resumed-At";
inline constexpr char remainingTimeField[] = "Deadline-Ms";
inline constexpr char notRunField[] = "Not-Run";
inline constexpr char fencingField[] = "Fencing-Number";
/// @}

/// Header field with the revision of a text that the platform serves.
inline constexpr char revisionField[] = "Revision";

} // namespace kumquatbeam
