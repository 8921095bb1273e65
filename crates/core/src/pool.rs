//! Admission for work that cannot be preempted.
