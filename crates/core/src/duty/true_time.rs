//! Estimate of true time from clocks that jump.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::exchange::EntryNumber;

/// Largest change of the clock between two observations that counts as drift or as a correction of it. Larger ones are jumps.
const MAX_STEP_MS: i64 = 200;
/// Difference to the other entries from which the own estimate counts as wrong. It exceeds the time for which a message waits
/// for the processor of a busy entry.
const MAX_DIFFERENCE_MS: i64 = 500;
/// Time for which another entry's estimate is used.
const PEER_TTL: Duration = Duration::from_secs(15);
/// Fewest estimates of other entries that outvote the own one.
const MIN_PEERS: usize = 2;
/// Time after which a jump is followed if too few other entries are heard, since it may correct a wrong clock.
const LONE_JUMP_DELAY: Duration = Duration::from_mins(2);
/// Time for which the highest offset of an entry is kept. A message that waited for a processor or a link implies an offset that is
/// too low, never one that is too high.
const OFFSET_TTL: Duration = Duration::from_secs(3);
/// Most entries whose estimates are kept.
const MAX_PEERS: usize = 1_024;

/// Estimate of true time: a steady clock with an offset that follows the time of day while it does not jump.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::duty::TrueTime;
///
/// let mut time = TrueTime::default();
/// time.observe(Duration::from_secs(1), 101_000);
/// // The time of day jumps back by 7 s; the estimate does not.
/// time.observe(Duration::from_secs(2), 95_000);
/// assert_eq!(time.at(Duration::from_secs(2)), Some(Duration::from_secs(102)));
/// ```
#[derive(Debug, Default)]
pub struct TrueTime {
    /// Time since the Unix epoch at time 0 of the steady clock.
    offset_ms: Option<i64>,
    /// Time since which the time of day has differed from the estimate.
    jumped_at: Option<Duration>,
    /// Offsets that other entries' estimates imply, with the times at which they were received.
    peers: BTreeMap<EntryNumber, (Duration, i64)>,
}

impl TrueTime {
    /// Observes the time of day in milliseconds since the Unix epoch.
    pub fn observe(&mut self, now: Duration, time_of_day_ms: i64) {
        let clock = time_of_day_ms.saturating_sub(millis(now));
        let offset = self.offset_ms.unwrap_or(clock);
        let is_jump = (clock - offset).abs() > MAX_STEP_MS;
        self.jumped_at = is_jump.then(|| self.jumped_at.unwrap_or(now));
        let mut estimate = if is_jump { offset } else { clock };
        match self.median(now, estimate) {
            Some(median) if (estimate - median).abs() > MAX_DIFFERENCE_MS => {
                let is_clock_right = (clock - median).abs() <= MAX_DIFFERENCE_MS;
                estimate = if is_clock_right { clock } else { median };
            }
            None if self
                .jumped_at
                .is_some_and(|at| now.saturating_sub(at) >= LONE_JUMP_DELAY) =>
            {
                estimate = clock;
            }
            _ => {}
        }
        self.offset_ms = Some(estimate);
    }

    /// Records the estimate of another entry, in milliseconds since the Unix epoch.
    pub fn on_peer(&mut self, now: Duration, peer: EntryNumber, time_ms: i64) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            return;
        }
        let offset = time_ms.saturating_sub(millis(now));
        let known = self.peers.entry(peer).or_insert((now, offset));
        if offset >= known.1 || now.saturating_sub(known.0) >= OFFSET_TTL {
            *known = (now, offset);
        }
    }

    /// Returns whether the estimates of two other entries agree with the own one.
    #[must_use]
    pub fn is_confirmed(&self, now: Duration) -> bool {
        let Some(own) = self.offset_ms else {
            return false;
        };
        let peers = self.peers.values();
        let recent = peers.filter(|(at, _)| now.saturating_sub(*at) < PEER_TTL);
        let agreeing = recent.filter(|(_, offset)| (offset - own).abs() <= MAX_DIFFERENCE_MS);
        agreeing.count() >= MIN_PEERS
    }

    /// Returns the estimate of true time as time since the Unix epoch; `None` before the first observation.
    #[must_use]
    pub fn at(&self, now: Duration) -> Option<Duration> {
        let time_ms = self.offset_ms?.saturating_add(millis(now));
        Some(Duration::from_millis(
            u64::try_from(time_ms).unwrap_or_default(),
        ))
    }

    /// Returns the median of the own estimate and those of other entries; `None` if too few of them are heard. The own one counts,
    /// so that a single other entry cannot outvote it.
    fn median(&mut self, now: Duration, own: i64) -> Option<i64> {
        self.peers
            .retain(|_, (at, _)| now.saturating_sub(*at) < PEER_TTL);
        let mut offsets: Vec<_> = self.peers.values().map(|(_, offset)| *offset).collect();
        if offsets.len() < MIN_PEERS {
            return None;
        }
        offsets.push(own);
        offsets.sort_unstable();
        // Of an even number of values, the one that is closer to the own estimate.
        let (low, high) = (offsets[(offsets.len() - 1) / 2], offsets[offsets.len() / 2]);
        let is_low_closer = (low - own).abs() <= (high - own).abs();
        Some(if is_low_closer { low } else { high })
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
