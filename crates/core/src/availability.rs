//! When an entry may send calls to a server, by what the answers of that server asked for.
//!
//! The state belongs to one start of a server. It does not depend on the registry: a server that leaves the registry and
//! returns, or moves to another pool, keeps its state.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ServerId;
use crate::server_limit::ServerKey;

/// Longest rest that is granted. A faulty server would otherwise stay unused for ever.
pub const MAX_REST: Duration = Duration::from_hours(24);
/// Time after a rest at which the number of calls is no longer limited.
const SLOW_START_TIME: Duration = Duration::from_secs(10);
/// Number of calls in flight from which the slow start is over.
const SLOW_START_END: u32 = 64;
/// Shortest delay that is advised before a retry, and the range of the spread that is added to it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const RETRY_SPREAD_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(5));
/// Part of the delay before a retry (as a divisor) over which retries are spread.
const RETRY_SPREAD_DIVISOR: u32 = 4;
/// Time after the first word that a server leaves in which it may still be used if no other one is available. It is well
/// below the time after which the rules forbid calls there.
const LEAVING_GRACE: Duration = Duration::from_secs(1);
/// Time for which the state of a server that leaves is kept after it was last registered. It exceeds the age of a backup that
/// the store is restored from.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// Whether this entry may send a call to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// A call may be sent now.
    Now,
    /// A call may be sent from this time on. The present time means that a call may be sent once another one is answered.
    At(Duration),
    /// The server leaves. A call may be sent only if no other server is available.
    LastResort,
    /// No call may be sent any more.
    Never,
}

/// First call to a server after its rest, or one of the next ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialCall {
    server: ServerKey,
    rest: u64,
}

/// Servers of a pool to which a call may not be sent now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolAvailability {
    /// Servers to which no call may be sent now.
    pub unavailable: Vec<ServerId>,
    /// Time at which the first server is available that the call may use; `None` if no rest keeps the call from a server.
    pub back_at: Option<Duration>,
    /// Time at which the first server of the pool is available; `None` if one is available now, or none will be.
    pub pool_back_at: Option<Duration>,
}

/// What one start of a server asked for.
#[derive(Debug, Default)]
struct ServerState {
    rest: Option<Rest>,
    leaving: Option<Leaving>,
}

impl ServerState {
    fn is_empty(&self) -> bool {
        self.rest.is_none() && self.leaving.is_none()
    }
}

#[derive(Debug)]
struct Rest {
    /// Number among all rests, so that calls of an earlier slow start are not counted in this one.
    number: u64,
    ends_at: Duration,
    /// Calls that were sent after the rest and have no answer yet, and their largest number.
    in_flight: u32,
    max_in_flight: u32,
}

impl Rest {
    /// Returns whether the number of calls after the rest is limited.
    fn is_slow_start(&self, now: Duration) -> bool {
        (self.ends_at..self.ends_at + SLOW_START_TIME).contains(&now)
    }
}

#[derive(Debug)]
struct Leaving {
    /// Time of the first answer that said so.
    first_at: Duration,
    /// Time at which the server last was registered, or said that it leaves.
    last_seen_at: Duration,
}

impl Leaving {
    /// Returns whether the server may still be used if no other one is available.
    fn is_grace(&self, now: Duration) -> bool {
        now < self.first_at + LEAVING_GRACE
    }
}

/// What servers asked this entry for.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::availability::{Availability, AvailabilityTable};
///
/// let at = Duration::from_secs;
/// let mut table = AvailabilityTable::default();
/// assert!(table.on_rest(at(10), 77, at(3)));
/// // A shorter rest does not end the longer one.
/// assert!(!table.on_rest(at(11), 77, at(1)));
/// assert_eq!(table.resting_count(at(12)), 1);
/// assert_eq!(table.resting_count(at(13)), 0);
/// // After the rest, the server gets one call until its first answer.
/// assert_eq!(table.availability(at(12), 77), Availability::At(at(13)));
/// let call = table.on_send(at(13), 77).unwrap();
/// assert_eq!(table.availability(at(13), 77), Availability::At(at(13)));
/// table.on_accepted(at(13), 77);
/// table.on_end(call);
/// assert_eq!(table.availability(at(13), 77), Availability::Now);
/// assert!(table.on_leaving(at(13), 77));
/// assert!(!table.on_leaving(at(14), 77));
/// assert_eq!(table.leaving_count(), 1);
/// assert_eq!(table.availability(at(13), 77), Availability::LastResort);
/// assert_eq!(table.availability(at(14), 77), Availability::Never);
/// assert!(table.is_leaving(77));
/// ```
#[derive(Debug, Default)]
pub struct AvailabilityTable {
    servers: BTreeMap<ServerKey, ServerState>,
    next_rest: u64,
}

impl AvailabilityTable {
    /// Records that an answer which arrived now asked for a rest; returns whether the rest ends later than known before.
    pub fn on_rest(&mut self, now: Duration, server: ServerKey, rest: Duration) -> bool {
        self.remove_ended(now);
        let ends_at = now + rest.min(MAX_REST);
        let state = self.servers.entry(server).or_default();
        let is_later = state
            .rest
            .as_ref()
            .is_none_or(|rest| rest.ends_at < ends_at);
        if is_later {
            state.rest = Some(Rest {
                number: self.next_rest,
                ends_at,
                in_flight: 0,
                max_in_flight: 1,
            });
            self.next_rest += 1;
        }
        is_later
    }

    /// Records an answer that asks for no rest, to a request that was sent at `requested_at`. Each such answer after a rest
    /// doubles the number of calls in flight.
    pub fn on_accepted(&mut self, requested_at: Duration, server: ServerKey) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        state.rest.take_if(|rest| {
            if requested_at >= rest.ends_at {
                rest.max_in_flight *= 2;
            }
            rest.max_in_flight >= SLOW_START_END
        });
        if state.is_empty() {
            self.servers.remove(&server);
        }
    }

    /// Returns whether this entry may send a call to a server.
    #[must_use]
    pub fn availability(&self, now: Duration, server: ServerKey) -> Availability {
        let Some(state) = self.servers.get(&server) else {
            return Availability::Now;
        };
        if let Some(leaving) = &state.leaving {
            return if leaving.is_grace(now) && self.may_send(now, server) {
                Availability::LastResort
            } else {
                Availability::Never
            };
        }
        match &state.rest {
            Some(rest) if now < rest.ends_at => Availability::At(rest.ends_at),
            Some(rest) if rest.is_slow_start(now) && rest.in_flight >= rest.max_in_flight => {
                Availability::At(now)
            }
            _ => Availability::Now,
        }
    }

    /// Returns whether a call that was selected earlier may still be sent to a server.
    #[must_use]
    pub fn may_send(&self, now: Duration, server: ServerKey) -> bool {
        let Some(state) = self.servers.get(&server) else {
            return true;
        };
        let rest = state.rest.as_ref();
        let leaving = state.leaving.as_ref();
        rest.is_none_or(|rest| rest.ends_at <= now)
            && leaving.is_none_or(|leaving| leaving.is_grace(now))
    }

    /// Returns whether a server said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, server: ServerKey) -> bool {
        let state = self.servers.get(&server);
        state.is_some_and(|state| state.leaving.is_some())
    }

    /// Records a call to a server. If it is one of the first calls after a rest, its end has to be reported with
    /// [`AvailabilityTable::on_end`].
    pub fn on_send(&mut self, now: Duration, server: ServerKey) -> Option<TrialCall> {
        let rest = self.servers.get_mut(&server)?.rest.as_mut()?;
        rest.is_slow_start(now).then(|| {
            rest.in_flight += 1;
            TrialCall {
                server,
                rest: rest.number,
            }
        })
    }

    /// Records that a call was answered or given up.
    pub fn on_end(&mut self, call: TrialCall) {
        let state = self.servers.get_mut(&call.server);
        if let Some(rest) = state.and_then(|state| state.rest.as_mut())
            && rest.number == call.rest
        {
            rest.in_flight = rest.in_flight.saturating_sub(1);
        }
    }

    /// Returns the servers of a pool to which a call may not be sent now. A server that leaves is among them if another one
    /// is left for the call, and soon in any case. `is_excluded` tells which servers the call cannot
    /// use for another reason.
    pub fn of_pool<'a>(
        &self,
        now: Duration,
        servers: impl IntoIterator<Item = (&'a str, ServerKey)>,
        is_excluded: impl Fn(&str) -> bool,
    ) -> PoolAvailability {
        let earlier = |known: Option<Duration>, time: Duration| {
            Some(known.map_or(time, |known| known.min(time)))
        };
        let mut result = PoolAvailability::default();
        let mut is_any_available = false;
        let mut is_other_left = false;
        let mut last_resorts = Vec::new();
        for (id, key) in servers {
            match self.availability(now, key) {
                Availability::Now => {
                    is_any_available = true;
                    is_other_left |= !is_excluded(id);
                }
                Availability::LastResort => {
                    is_any_available = true;
                    last_resorts.push(id.to_owned());
                }
                Availability::Never => result.unavailable.push(id.to_owned()),
                Availability::At(time) => {
                    result.unavailable.push(id.to_owned());
                    result.pool_back_at = earlier(result.pool_back_at, time);
                    if !is_excluded(id) {
                        result.back_at = earlier(result.back_at, time);
                    }
                }
            }
        }
        if is_any_available {
            result.pool_back_at = None;
        }
        if is_other_left {
            result.unavailable.append(&mut last_resorts);
        }
        result
    }

    /// Returns whether no server asked for anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Records that a server said in an answer that it leaves; returns whether it said so for the first time.
    pub fn on_leaving(&mut self, now: Duration, server: ServerKey) -> bool {
        let state = self.servers.entry(server).or_default();
        let is_first = state.leaving.is_none();
        let leaving = state.leaving.get_or_insert(Leaving {
            first_at: now,
            last_seen_at: now,
        });
        leaving.last_seen_at = now;
        is_first
    }

    /// Returns the number of servers at rest.
    #[must_use]
    pub fn resting_count(&self, now: Duration) -> usize {
        let rests = self
            .servers
            .values()
            .filter_map(|state| state.rest.as_ref());
        rests.filter(|rest| rest.ends_at > now).count()
    }

    /// Returns the number of servers that leave.
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|state| state.leaving.is_some()).count()
    }

    /// Forgets servers that left and have not been registered for ten minutes, and rests whose slow start has ended.
    pub fn settle(&mut self, now: Duration, is_registered: impl Fn(ServerKey) -> bool) {
        for (server, state) in &mut self.servers {
            state.leaving.take_if(|leaving| {
                if is_registered(*server) {
                    leaving.last_seen_at = now;
                }
                now.saturating_sub(leaving.last_seen_at) >= LEAVING_RETENTION
            });
        }
        self.remove_ended(now);
    }

    fn remove_ended(&mut self, now: Duration) {
        self.servers.retain(|_, state| {
            state
                .rest
                .take_if(|rest| now >= rest.ends_at + SLOW_START_TIME);
            !state.is_empty()
        });
    }
}

/// Returns the delay to advise before a retry when the first server is back after `back_in`. Calls with different values of
/// `hash` get delays that are spread, so that their callers do not return at once.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::availability::retry_after;
///
/// assert_eq!(retry_after(Duration::from_secs(4), 0), Duration::from_secs(4));
/// let last = retry_after(Duration::from_secs(4), u64::MAX);
/// assert!(last > Duration::from_millis(4_990) && last <= Duration::from_secs(5));
/// ```
#[must_use]
pub fn retry_after(back_in: Duration, hash: u64) -> Duration {
    let (shortest, longest) = RETRY_SPREAD_RANGE;
    let spread = (back_in / RETRY_SPREAD_DIVISOR).clamp(shortest, longest);
    let step = u32::try_from(hash >> 48).unwrap_or_default();
    back_in.max(MIN_RETRY_AFTER) + spread * step / (1 << 16)
}
