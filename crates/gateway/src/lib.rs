//! Entry that calls backend servers directly, without sidecars.
//!
//! A request passes through these modules: [`gateway`] reads it, checks its route and key against the [`table`] and
//! applies overload control; `dispatch` serves the [`Call`] and decides about retries; `attempt` chooses a server from the
//! [`fleet`] and sends the call; `hedge` sends it to a second server if the first is silent for too long; `in_flight` holds what was sent until a server answers; `relay` and `buffered` return the
//! response to the caller; `request_end` accounts for the end of each request. Beside this path, [`peers`] exchanges load
//! summaries with the other entries, [`copies`] reads newer configurations from them, [`changes`] hands on what one of them
//! read in the key-value service, and [`registry`] tracks the backend servers. [`duty`] counts the calls that servers began and, at
//! one entry, reports them for all.
//!
//! A [`Codec`] translates between the protocol of callers and servers and the neutral [`Call`]. Nothing else in this
//! crate depends on the wire format or the platform.

mod attempt;
mod buffered;
pub mod call;
pub mod changes;
pub mod codec;
pub mod copies;
mod dispatch;
pub mod duty;
pub mod events;
pub mod fleet;
pub mod gateway;
mod handover;
mod hedge;
mod in_flight;
pub mod limits;
mod log;
mod memory;
mod metrics;
pub mod peers;
pub mod preview;
mod processor;
pub mod quarantine;
pub mod refusal;
pub mod registry;
mod relay;
mod request_end;
pub mod table;
mod versions;

pub use call::Call;
pub use codec::Codec;
pub use gateway::Gateway;
