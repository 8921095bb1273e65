//! Delay with which an entry runs work that is due.
//!
//! Work that waits for the processor of an entry has no queue that could be measured directly. A periodic probe measures
//! instead how late the entry runs. As in `CoDel` (RFC 8289), a delay that disappears at once is a short burst, and a delay
//! that persists is a backlog.

use std::time::Duration;

/// Interval of the probes. Each probe is a wake-up, so a shorter interval takes processor time from calls on a small
/// VM.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Delay up to which two late probes are required to detect a backlog. A processor quota is refilled after this period,
/// and work that waits for the refill is not a backlog.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// Delay with which an entry runs work that is due.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::dispatch::{PROBE_INTERVAL, ProcessorDelay};
///
/// let ms = Duration::from_millis;
/// let mut delay = ProcessorDelay::default();
/// delay.on_probe(ms(1_000));
/// delay.on_probe(ms(1_000) + PROBE_INTERVAL + ms(30));
/// assert_eq!(delay.latest(ms(1_090)), ms(30));
/// // An overdue probe shows a delay before it runs.
/// assert_eq!(delay.latest(ms(1_630)), ms(500));
/// ```
#[derive(Debug, Default)]
pub struct ProcessorDelay {
    probe_due: Option<Duration>,
    /// Delay of the last probe.
    last: Duration,
    /// Delay of the probe before the last.
    previous: Duration,
}

impl ProcessorDelay {
    /// Records that the probe runs and schedules the next one. Returns the delay of this probe.
    pub fn on_probe(&mut self, now: Duration) -> Duration {
        self.previous = self.last;
        self.last = self.overdue(now);
        self.probe_due = Some(now + PROBE_INTERVAL);
        self.last
    }

    fn overdue(&self, now: Duration) -> Duration {
        self.probe_due
            .map_or(Duration::ZERO, |due| now.saturating_sub(due))
    }

    /// Returns the delay of the last probe, or that of the next probe if it is already later.
    #[must_use]
    pub fn latest(&self, now: Duration) -> Duration {
        self.last.max(self.overdue(now))
    }

    /// Returns the delay without short bursts: the latest delay if it exceeds the quota period, otherwise the delay
    /// that two consecutive probes have found.
    #[must_use]
    pub fn persistent(&self, now: Duration) -> Duration {
        let latest = self.latest(now);
        if latest > QUOTA_PERIOD {
            latest
        } else {
            self.sustained()
        }
    }

    /// Returns the delay that two consecutive probes have found.
    pub(super) fn sustained(&self) -> Duration {
        self.last.min(self.previous)
    }
}
