//! Stand-ins for engines, plain services, the key-value service and the platform's list of VMs, shared by tests,
//! examples and the `standalone` command.

pub mod engine;
pub mod kv;
pub mod service;
pub mod vm_list;
