//! Stand-ins for the backend servers and the platform, shared by the tests and the `standalone` command.

pub mod engine;
pub mod kv;
pub mod service;
pub mod vm_list;
