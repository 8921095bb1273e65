//! Client for plain services.

mod client;
mod error;

pub use client::{Answer, Call, Header, ServiceClient};
pub use error::ServiceError;
