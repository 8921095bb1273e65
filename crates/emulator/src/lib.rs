//! Discrete-event simulation of entries, backend servers and callers on a virtual clock.
//!
//! A [`load`] file describes model engines, plain services, callers, disturbances and the policies to compare. The
//! [`simulation`] runs it with the decision code of `tanagerford-core` that entries use: server selection, admission of
//! long prompts, the shared retry budget, and load summaries with their network delays. A [`report`] lists the results
//! of each class of requests; [`plot`] draws them.
//!
//! Runs are deterministic: equal load files and seeds give equal reports on every machine.

mod arrivals;
mod engine;
mod entry;
mod links;
pub mod load;
pub mod plot;
mod processor;
pub mod report;
mod service;
pub mod simulation;

pub use engine::{Engine, EngineRequest, StepOutput};
pub use service::PlainServer;
