//! Capacity of an engine, estimated from what the sidecar observes.
