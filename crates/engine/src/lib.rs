//! Client for model engines.
//!
//! An engine speaks the OpenAI-style HTTP interface with a few extensions: `priority` orders its queue, a stream is
//! cancelled by closing its connection, and `resume_from_tokens` continues a stream that another engine began.

mod client;
mod error;
mod orders;
mod sse;
mod text;

pub use client::{CancelHandle, EngineClient, EngineStream, Generate, LoadReport};
pub use error::EngineError;
pub use orders::{FenceNumber, Models, OrderKind, OrderRequest};
pub use sse::{Event, EventReader};
