//! What the detector gives out: actions, events, counts and the state dump.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use super::item::Item;
use super::member::{Member, Profile};
use super::message::Message;
use crate::ids::{Generation, Incarnation};

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Datagram.
        message: Message,
    },
    /// Tell the rest of the process.
    Notify(Event),
}

/// Change that the rest of the process may act on.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A process joined, or restarted with a higher incarnation.
    Joined(Member),
    /// The state of a member changed.
    Changed(Member),
    /// A member that was dead for long was forgotten.
    Removed(Arc<Profile>),
    /// A peer uses a newer configuration than this process and can be asked for it.
    GenerationAhead {
        /// Generation of the peer.
        generation: Generation,
        /// The peer.
        peer: Arc<Profile>,
    },
    /// An opaque item is new.
    Item(Item),
    /// A process with the same id and a higher incarnation exists; this process has to stop.
    Superseded {
        /// Incarnation of the other process.
        incarnation: Incarnation,
    },
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent_messages: u64,
    /// Datagrams received.
    pub received_messages: u64,
    /// Probe rounds that got no answer.
    pub failed_probes: u64,
    /// Suspicions that this process began.
    pub suspicions: u64,
    /// Members that this process declared dead.
    pub declared_dead: u64,
    /// Suspicions about itself that this process refuted.
    pub refutations: u64,
    /// Dissemination rounds and exchanges skipped because the byte budget was used up.
    pub throttled: u64,
    /// Members and items refused because a bound was reached.
    pub refused: u64,
}

/// State of the detector for operators.
#[derive(Debug, Clone, Serialize)]
pub struct StateDump {
    /// This process.
    pub own: Member,
    /// All other members.
    pub members: Vec<Member>,
    /// Factor by which probe times are stretched.
    pub health_factor: u32,
    /// Updates that wait for dissemination.
    pub queued_updates: usize,
    /// Opaque items that are stored.
    pub items: usize,
    /// Counts since the start.
    pub counters: Counters,
}
