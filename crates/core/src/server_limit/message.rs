//! Messages between entries about permits.

use super::{LimitStatement, ServerKey};
use crate::dispatch::Rank;
use crate::exchange::EntryNumber;

/// Step of the exchange of permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAction {
    /// Asks the responsible entry for permits.
    Request {
        /// Number of permits.
        count: u32,
        /// Rank of the call that needs the first one.
        rank: Rank,
    },
    /// Grants permits to the sender of a request.
    Grant {
        /// Number of permits.
        count: u32,
    },
    /// Returns permits that were not used.
    Return {
        /// Number of permits.
        count: u32,
    },
}

/// Part of a message about the permits of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitItem {
    /// Server that the permits are for.
    pub server: ServerKey,
    /// Number of the request that is made or granted.
    pub sequence: u64,
    /// What the sender asks for or gives.
    pub action: PermitAction,
    /// Newest statement of the server that the sender knows.
    pub statement: Option<LimitStatement>,
}

/// Message between two entries about permits.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitMessage {
    /// Entry that sends the message.
    pub sender: EntryNumber,
    /// Items in the order in which they apply.
    pub items: Vec<PermitItem>,
}
