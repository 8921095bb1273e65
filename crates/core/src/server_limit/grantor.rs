//! Grants of permits for one server, by the entry that is responsible for it.

use std::time::Duration;

use super::bucket::TokenBucket;
use super::{REQUEST_TTL, RequestRate};
use crate::dispatch::Rank;
use crate::exchange::EntryNumber;

/// Of this many grants, one goes to the lowest rank that waits, so that no rank is starved.
const GRANTS_PER_EXCEPTION: u64 = 30;

/// Request of an entry that waits for permits.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    pub(super) entry: EntryNumber,
    pub(super) sequence: u64,
    pub(super) rank: Rank,
    pub(super) count: u32,
    pub(super) received_at: Duration,
}

/// Permits that a request is granted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Grant {
    pub(super) entry: EntryNumber,
    pub(super) sequence: u64,
    pub(super) count: u32,
}

/// Waiting requests for the permits of one server, at most one of each entry.
#[derive(Debug, Default)]
pub(super) struct Grantor {
    bucket: TokenBucket,
    requests: Vec<WaitingRequest>,
    grants: u64,
}

impl Grantor {
    /// Adds a request; it replaces an older one of the same entry.
    pub(super) fn push(&mut self, request: WaitingRequest) {
        self.requests.retain(|other| other.entry != request.entry);
        self.requests.push(request);
    }

    pub(super) fn put_back(&mut self, count: u32, rate: RequestRate) {
        self.bucket.put_back(count, rate);
    }

    /// Grants permits at `rate` to the waiting requests, highest rank first.
    pub(super) fn grant(&mut self, now: Duration, rate: RequestRate) -> Vec<Grant> {
        self.bucket.refill(now, rate);
        self.requests
            .retain(|request| now.saturating_sub(request.received_at) < REQUEST_TTL);
        let mut grants = Vec::new();
        while let Some(position) = self.next_request() {
            let count = self.bucket.take(self.requests[position].count);
            if count == 0 {
                break;
            }
            let request = self.requests.remove(position);
            self.grants += 1;
            grants.push(Grant {
                entry: request.entry,
                sequence: request.sequence,
                count,
            });
        }
        grants
    }

    /// Returns the position of the request to grant next.
    fn next_request(&self) -> Option<usize> {
        let is_exception = self.grants % GRANTS_PER_EXCEPTION == GRANTS_PER_EXCEPTION - 1;
        let waiting = self.requests.iter().enumerate();
        let next = waiting.min_by_key(|(_, request)| {
            let rank = i16::from(request.rank);
            let order = if is_exception { -rank } else { rank };
            (order, request.received_at)
        });
        next.map(|(position, _)| position)
    }

    /// Returns the time of the next grant; `None` while no request waits.
    pub(super) fn next_due(&self, rate: RequestRate) -> Option<Duration> {
        let is_waiting = !self.requests.is_empty();
        self.bucket.next_token_at(rate).filter(|_| is_waiting)
    }
}
