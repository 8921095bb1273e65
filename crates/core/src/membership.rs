//! Membership of processes: a SWIM-style failure detector with dissemination.
