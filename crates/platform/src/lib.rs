//! Platform services: key-value service, VM list and weight store.

pub mod kv;
pub mod memory;
