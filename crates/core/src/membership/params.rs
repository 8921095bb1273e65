//! Parameters of the membership protocol. `docs/membership.md` explains the values.

use std::time::Duration;

/// Parameters of the membership protocol, which must be the same in all processes of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Params {
    /// Duration of a probe round while this process is healthy.
    pub probe_period: Duration,
    /// Time after which an unanswered ping is repeated.
    pub ping_repeat_after: Duration,
    /// Time after which an unanswered ping is repeated again and indirect probes are requested.
    pub indirect_after: Duration,
    /// Number of members that are asked for an indirect probe.
    pub helpers: usize,
    /// Time between dissemination rounds while updates or items are queued.
    pub gossip_period: Duration,
    /// Number of members to which a dissemination round sends.
    pub gossip_fanout: usize,
    /// Number of members to which a leaving process sends its announcement immediately.
    pub leave_fanout: usize,
    /// Minimum suspicion timeout, in probe periods; in large fleets the logarithm of the fleet's size is the minimum.
    pub suspicion_min_periods: u32,
    /// Ratio of the suspicion timeout without confirmations to the one with all confirmations.
    pub suspicion_max_ratio: u32,
    /// Mean time between anti-entropy exchanges while the tables agree.
    pub sync_period: Duration,
    /// Mean time to the next anti-entropy exchange after one that brought changes.
    pub fast_sync_period: Duration,
    /// Maximum number of datagrams in the response to the first request of a new process or to a request for profiles.
    pub profile_datagrams: usize,
    /// Maximum number of datagrams in the response to a comparison of digests.
    pub claim_datagrams: usize,
    /// Mean time between attempts to contact a dead member or a seed that is not a live member.
    pub reconnect_period: Duration,
    /// Time after which a dead member is removed from the table.
    pub dead_retention: Duration,
    /// Sustained send rate of probes and dissemination together, including UDP and IP headers. When the budget is
    /// exhausted, dissemination waits but probes do not.
    pub gossip_bytes_per_second: u32,
    /// Sustained send rate of anti-entropy. The budget is separate, so that a storm of updates does not stop the
    /// exchanges by which the tables converge.
    pub sync_bytes_per_second: u32,
    /// Maximum burst of probes and dissemination.
    pub gossip_burst_bytes: u32,
    /// Maximum burst of anti-entropy.
    pub sync_burst_bytes: u32,
    /// Maximum number of other members in the table, including dead ones.
    pub max_members: usize,
    /// Maximum length of an opaque item's value in bytes.
    pub item_bytes: usize,
    /// Maximum number of stored opaque items.
    pub max_items: usize,
    /// Time after which a stored item is removed.
    pub item_retention: Duration,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            ping_repeat_after: Duration::from_millis(250),
            indirect_after: Duration::from_millis(500),
            helpers: 3,
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 3,
            leave_fanout: 8,
            suspicion_min_periods: 3,
            suspicion_max_ratio: 4,
            sync_period: Duration::from_secs(10),
            fast_sync_period: Duration::from_millis(1_500),
            profile_datagrams: 8,
            claim_datagrams: 3,
            reconnect_period: Duration::from_secs(10),
            dead_retention: Duration::from_mins(30),
            gossip_bytes_per_second: 1_400,
            sync_bytes_per_second: 1_100,
            gossip_burst_bytes: 32 * 1_024,
            sync_burst_bytes: 96 * 1_024,
            max_members: 8_192,
            item_bytes: 512,
            max_items: 256,
            item_retention: Duration::from_mins(10),
        }
    }
}
