//! Outputs of the detector: actions, events, counters and the state dump.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use super::item::Item;
use super::member::{Member, Profile};
use super::message::Message;
use crate::ids::{Generation, Incarnation};

/// Action that the caller of [`Membership`](super::Membership) must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to encode and authenticate.
        message: Message,
    },
    /// Pass an event to the other modules of the process.
    Notify(Event),
}

/// Change that concerns other modules of the process.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A member joined, or restarted with a higher incarnation.
    Joined(Member),
    /// The state of a member changed.
    Changed(Member),
    /// A dead member was removed after the retention period.
    Removed(Arc<Profile>),
    /// A peer uses a newer configuration than this process, which can fetch it from the peer.
    GenerationAhead {
        /// Generation that the peer uses.
        generation: Generation,
        /// Profile of the peer.
        peer: Arc<Profile>,
    },
    /// An opaque item was received for the first time or with a higher version.
    Item(Item),
    /// A process with the same id and a higher incarnation exists; this process must stop.
    Superseded {
        /// Incarnation of the newer process.
        incarnation: Incarnation,
    },
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams sent, of all kinds.
    pub sent_messages: u64,
    /// Datagrams received that passed authentication.
    pub received_messages: u64,
    /// Probe rounds without a response, direct or indirect.
    pub failed_probes: u64,
    /// Suspicions that this process raised because of its own probes.
    pub suspicions: u64,
    /// Members that this process declared dead after a suspicion timeout.
    pub declared_dead: u64,
    /// Suspicions about itself that this process refuted.
    pub refutations: u64,
    /// Dissemination rounds and exchanges skipped because a byte budget was exhausted.
    pub throttled: u64,
    /// Members, items and indirect probes refused because they were invalid or a limit was reached.
    pub refused: u64,
}

/// State of the detector, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct StateDump {
    /// This process as a member, as its peers see it.
    pub own: Member,
    /// All other known members, including dead ones.
    pub members: Vec<Member>,
    /// Factor by which the probe period and timeouts are multiplied; 1 if this process is healthy.
    pub health_factor: u32,
    /// Updates that are queued for dissemination.
    pub queued_updates: usize,
    /// Number of stored opaque items.
    pub items: usize,
    /// Counters since the start of the process.
    pub counters: Counters,
}
