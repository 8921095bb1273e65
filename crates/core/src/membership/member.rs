//! Members and the order of claims about them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Generation, Incarnation, PoolId, ZoneId};

/// Hash of a process id; datagrams name members by it.
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

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers.
    Entry,
    /// Controls one backend server.
    Sidecar,
}

/// State of a member. The order decides between claims with equal incarnation and refutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Works.
    Alive,
    /// Did not answer probes and has not refuted yet.
    Suspect,
    /// Announced that it leaves; takes no new work.
    Leaving,
    /// Left, or was suspected for too long.
    Dead,
}

/// Data of a process that stay the same until it restarts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Name of the process, unique in the fleet; for a sidecar also the name of its backend server.
    pub process_id: String,
    /// What the process does.
    pub role: Role,
    /// Pool of the backend server; empty for an entry.
    pub pool: PoolId,
    /// Availability zone.
    pub availability_zone: ZoneId,
    /// Region.
    pub region: String,
    /// Address that accepts links.
    pub link_address: SocketAddr,
    /// Address that receives membership datagrams.
    pub gossip_address: SocketAddr,
}

/// Claim about a member. A greater claim replaces a smaller one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Restart of the process.
    pub incarnation: Incarnation,
    /// Count of suspicions that the process refuted in this incarnation. It is separate from the incarnation because
    /// orders and leases name the incarnation, which must stay the same while the process runs.
    pub refutation: u32,
    /// State.
    pub state: MemberState,
}

/// A member as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Data that stay the same until a restart.
    #[serde(serialize_with = "serialize_profile")]
    pub profile: Arc<Profile>,
    /// Newest claim.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// Newest configuration generation received from the member itself; 0 if none was.
    pub generation: Generation,
}

impl Member {
    /// Returns whether the member may get new work: alive or only suspected.
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
