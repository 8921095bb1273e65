//! HTTP client for model engines.
//!
//! An engine serves the OpenAI-style interface with a few extensions: `priority` orders its queue, closing the connection
//! of a stream cancels it, and `resume_from_tokens` continues a stream that another engine started.

mod client;
mod error;
mod orders;
mod sse;
mod text;

pub use client::{CancelHandle, EngineClient, EngineStream, GenerateRequest, LoadReport};
pub use error::EngineError;
pub use orders::{FencingToken, Models, OrderKind, OrderRequest};
pub use sse::{Event, EventReader};
