//! Platform services: key-value service, VM list and weight store.

pub mod etcd;
mod http;
pub mod kv;
pub mod memory;
pub mod vm_list;
pub mod weight_store;
pub mod wire;
