//! Client for plain services.

mod client;
mod error;
mod resolver;

pub use client::{Answer, Call, Header, ServiceClient};
pub use error::ServiceError;
