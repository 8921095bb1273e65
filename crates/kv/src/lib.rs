//! Platform services: clients of the key-value service and of the VM list, and the rate limit of the weight store.

pub mod etcd;
mod http;
pub mod kv;
pub mod memory;
pub mod vm_list;
pub mod weight_store;
pub mod wire;
