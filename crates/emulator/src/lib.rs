//! Emulator of the systems that an entry serves, on a virtual clock.
//!
//! A [`load`] file describes model engines, plain services, callers, disturbances and the policies to compare. The
//! [`simulation`] plays it with the decision code of `tanagerford-core` that entries run: choice of a server, room for long
//! prompts, shared budget of repeated calls, and load summaries with their delays. A [`report`] tells what each class of
//! callers got; [`plot`] draws it.
//!
//! Runs are repeatable: equal load files and seeds give equal reports, whatever the machine does.

mod arrivals;
mod engine;
mod entry;
pub mod load;
pub mod plot;
mod processor;
pub mod report;
mod service;
pub mod simulation;

pub use arrivals::{Job, arrivals};
pub use engine::{Engine, EngineRequest, StepOutput};
pub use service::PlainServer;
