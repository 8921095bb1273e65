//! Deterministic subset of each pool for each entry.
