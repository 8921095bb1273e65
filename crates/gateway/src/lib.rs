//! Entry that calls backend servers itself, without sidecars.
//!
//! A [`Codec`] translates between a caller-side protocol and the neutral [`Call`]; everything else here knows neither
//! the wire nor the platform: routes and keys ([`table`]), the choice of servers ([`fleet`]), attempts, answers and the
//! stop of the process.

mod attempt;
pub mod call;
pub mod codec;
pub mod copies;
pub mod events;
pub mod fleet;
pub mod gateway;
mod held;
mod log;
mod metrics;
pub mod peers;
mod processor;
pub mod quarantine;
pub mod refusal;
pub mod registry;
mod relay;
pub mod table;

pub use call::Call;
pub use codec::Codec;
pub use gateway::Gateway;
