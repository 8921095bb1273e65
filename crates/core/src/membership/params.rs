//! Parameters of the membership protocol. `docs/membership.md` gives the reasons and the measurements.

use std::time::Duration;

/// Parameters of the membership protocol; all processes of a fleet use the same.
#[derive(Debug, Clone, PartialEq)]
pub struct Params {
    /// Time of one probe round while this process is healthy.
    pub probe_period: Duration,
    /// Time until an unanswered ping is repeated.
    pub ping_repeat_after: Duration,
    /// Time until an unanswered ping is repeated and helpers are asked.
    pub indirect_after: Duration,
    /// Count of helpers asked in a probe round.
    pub helpers: usize,
    /// Time between dissemination rounds while there is something to spread.
    pub gossip_period: Duration,
    /// Count of members that a dissemination round sends to.
    pub gossip_fanout: usize,
    /// Count of members that the announcement of leaving is sent to at once.
    pub leave_fanout: usize,
    /// Lower bound on the suspicion timeout, in probe periods; the bound grows with the logarithm of the fleet.
    pub suspicion_min_periods: u32,
    /// Ratio between the suspicion timeout without confirmations and the one with all of them.
    pub suspicion_max_ratio: u32,
    /// Mean time between anti-entropy exchanges while the tables agree.
    pub sync_period: Duration,
    /// Mean time between anti-entropy exchanges while the last one brought changes.
    pub fast_sync_period: Duration,
    /// Most datagrams that answer the first request of a newcomer, or a request for profiles.
    pub profile_datagrams: usize,
    /// Most datagrams with claims that answer a comparison of digests.
    pub claim_datagrams: usize,
    /// Mean time between attempts to reach a dead member or a seed that is no member.
    pub reconnect_period: Duration,
    /// Time for which dead members are remembered.
    pub dead_retention: Duration,
    /// Sustained rate of sent bytes, UDP and IP headers included, of probes and dissemination together. Dissemination
    /// waits when it is used up; probes do not.
    pub gossip_bytes_per_second: u32,
    /// Sustained rate of sent bytes of anti-entropy, separate so that a storm of updates does not stop the exchange
    /// that ends it.
    pub sync_bytes_per_second: u32,
    /// Bytes that probes and dissemination may send in a burst after quiet times.
    pub gossip_burst_bytes: u32,
    /// Bytes that anti-entropy may send in a burst after quiet times.
    pub sync_burst_bytes: u32,
    /// Most members that are remembered.
    pub max_members: usize,
    /// Longest opaque item in bytes.
    pub item_bytes: usize,
    /// Most opaque items.
    pub max_items: usize,
    /// Time for which an item is remembered.
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
