//! Members and the precedence of claims about them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Generation, Incarnation, PoolId, ZoneId};

/// Hash of a process id, which identifies a member in datagrams.
pub type MemberKey = u64;

/// Returns the key of the process called `process_id`.
///
/// ```
/// use tanagerford_core::membership::member_key;
/// assert_ne!(member_key("entry-1"), member_key("entry-2"));
/// ```
#[must_use]
pub fn member_key(process_id: &str) -> MemberKey {
    xxh3_64(process_id.as_bytes())
}

/// Role of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Controls one backend server.
    Sidecar,
}

/// State of a member. Among claims with equal incarnation and refutation, the one with the later variant takes
/// precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Did not respond to probes and has not refuted the suspicion yet.
    Suspect,
    /// Announced that it is leaving; accepts no new work.
    Leaving,
    /// Left, or did not refute a suspicion in time.
    Dead,
}

/// Properties of a process that do not change until it restarts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Unique in the fleet; for a sidecar also the name of its backend server.
    pub process_id: String,
    /// Whether the process is an entry or a sidecar.
    pub role: Role,
    /// Pool of the sidecar's backend server; empty for an entry.
    pub pool: PoolId,
    /// Availability zone of the process.
    pub availability_zone: ZoneId,
    /// Region of the availability zone.
    pub region: String,
    /// Address on which the process accepts links.
    pub link_address: SocketAddr,
    /// Address on which the process receives membership datagrams.
    pub gossip_address: SocketAddr,
}

/// Incarnation and state that a claim asserts about a member. A greater status replaces a smaller one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Increases with each restart of the process.
    pub incarnation: Incarnation,
    /// Number of suspicions that the process has refuted in this incarnation. It is separate from the incarnation
    /// because orders and leases refer to the incarnation, which must not change while the process runs.
    pub refutation: u32,
    /// State that the claim asserts.
    pub state: MemberState,
}

/// Member in the view of this process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Properties that do not change until the member restarts.
    #[serde(serialize_with = "serialize_profile")]
    pub profile: Arc<Profile>,
    /// Greatest status received in a claim about the member.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// Highest configuration generation received from the member itself; 0 if none was received.
    pub generation: Generation,
}

impl Member {
    /// Returns whether new work may be sent to the member, that is, whether it is alive or merely suspected.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.status.state < MemberState::Leaving
    }
}

fn serialize_profile<S: Serializer>(
    profile: &Arc<Profile>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    profile.as_ref().serialize(serializer)
}
