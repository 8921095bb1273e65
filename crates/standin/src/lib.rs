//! Stand-ins for engine, plain service and platform.

pub mod kv;
pub mod vm_list;
