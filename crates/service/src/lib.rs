//! HTTP client for plain services, whose calls are forwarded without interpreting their bodies.

mod client;
mod error;

pub use client::{Call, Header, Response, ServiceClient};
pub use error::ServiceError;
