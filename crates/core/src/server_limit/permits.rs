//! Permits that an entry holds for one server.

use std::collections::VecDeque;
use std::time::Duration;

use super::{GRANT_WAIT, REQUEST_TTL, RequestRate};
use crate::dispatch::Rank;

/// Range of the time for which a permit can be used. A longer time gives more calls the chance to use it, but lets more
/// permits of earlier seconds be used at once.
const PERMIT_TTL_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// Number of permits of earlier seconds that may be used at once, if the shortest time is not too long for it.
const MAX_EARLIER_PERMITS: f64 = 2.0;
/// Time for which uses are counted to predict how many permits are needed next.
const USE_WINDOW: Duration = Duration::from_millis(500);
/// Largest number of permits that one request asks for.
const MAX_REQUESTED: u32 = 16;

/// Request that waits for its grant.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    sequence: u64,
    rank: Rank,
    sent_at: Duration,
}

/// Permission to send one call.
#[derive(Debug, Clone, Copy)]
struct Permit {
    /// Rank for which it was granted. A call of a lower rank may not use it, since a call of this rank waits elsewhere
    /// while permits are scarce.
    rank: Rank,
    expires_at: Duration,
}

impl Permit {
    fn is_usable(&self, now: Duration, rank: Rank) -> bool {
        now < self.expires_at && rank <= self.rank
    }
}

/// Permits and the pending request for one server.
#[derive(Debug, Default)]
pub(super) struct Permits {
    held: Vec<Permit>,
    /// Times of the recent uses, which predict how many permits are needed next.
    used: VecDeque<Duration>,
    pending: Option<PendingRequest>,
    /// Whether the last request was not granted at once.
    is_slow: bool,
}

impl Permits {
    /// Returns whether a request is likely to be granted at once, so that a call can wait for it.
    pub(super) fn are_granted_at_once(&self, now: Duration) -> bool {
        let is_late = |pending: PendingRequest| now.saturating_sub(pending.sent_at) >= GRANT_WAIT;
        !self.is_slow && !self.pending.is_some_and(is_late)
    }

    pub(super) fn has_permit(&self, now: Duration, rank: Rank) -> bool {
        let mut permits = self.held.iter();
        permits.any(|permit| permit.is_usable(now, rank))
    }

    /// Uses the permit that expires first.
    pub(super) fn take(&mut self, now: Duration, rank: Rank) -> bool {
        let usable = self.held.iter().enumerate();
        let usable = usable.filter(|(_, permit)| permit.is_usable(now, rank));
        let Some((position, _)) = usable.min_by_key(|(_, permit)| permit.expires_at) else {
            return false;
        };
        self.held.swap_remove(position);
        self.used.push_back(now);
        true
    }

    pub(super) fn is_pending(&self, now: Duration) -> bool {
        self.pending
            .is_some_and(|pending| now.saturating_sub(pending.sent_at) < REQUEST_TTL)
    }

    /// Returns the number of permits to ask for, or `None` while a request of the same or a higher rank is pending.
    pub(super) fn begin_request(
        &mut self,
        now: Duration,
        sequence: u64,
        rank: Rank,
    ) -> Option<u32> {
        if self.is_pending(now) && self.pending.is_some_and(|pending| pending.rank <= rank) {
            return None;
        }
        let is_old = |at: &Duration| now.saturating_sub(*at) >= USE_WINDOW;
        while self.used.front().is_some_and(is_old) {
            self.used.pop_front();
        }
        self.is_slow |= self.pending.is_some();
        self.pending = Some(PendingRequest {
            sequence,
            rank,
            sent_at: now,
        });
        let used = u32::try_from(self.used.len()).unwrap_or(MAX_REQUESTED);
        Some((used + 1).min(MAX_REQUESTED))
    }

    /// Records a grant; returns `false` if its request is no longer pending, so that the permits must be returned.
    pub(super) fn on_grant(
        &mut self,
        now: Duration,
        sequence: u64,
        count: u32,
        limit: RequestRate,
    ) -> bool {
        let is_current = |pending: &PendingRequest| pending.sequence == sequence;
        let Some(PendingRequest { sent_at, rank, .. }) = self.pending.filter(is_current) else {
            return false;
        };
        if now.saturating_sub(sent_at) >= REQUEST_TTL {
            return false;
        }
        self.pending = None;
        self.is_slow = now.saturating_sub(sent_at) >= GRANT_WAIT;
        // Permits that are granted at once are not scarce.
        let rank = if self.is_slow { rank } else { Rank::MAX };
        let expires_at = now + permit_ttl(limit);
        let permits = (0..count).map(|_| Permit { rank, expires_at });
        self.held.extend(permits);
        true
    }

    /// Removes the expired permits and returns their number.
    pub(super) fn take_expired(&mut self, now: Duration) -> u32 {
        let before = self.held.len();
        self.held.retain(|permit| now < permit.expires_at);
        u32::try_from(before - self.held.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time at which the next permit expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.held.iter().map(|permit| permit.expires_at).min()
    }
}

fn permit_ttl(limit: RequestRate) -> Duration {
    let (shortest, longest) = PERMIT_TTL_RANGE;
    let ttl = Duration::try_from_secs_f64(MAX_EARLIER_PERMITS / limit).unwrap_or(longest);
    ttl.clamp(shortest, longest)
}
