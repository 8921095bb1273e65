//! Thread that follows the configuration in the key-value service.

use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use tanagerford_core::generation::{WatchAction, WatchMonitor};
use tanagerford_kv::kv::{Call, Refusal, Revision};

use super::Shared;
use super::store::{self, PREFIX};

/// Pause after a watch that ended before its timeout without an event, so that a service that ends each watch at once
/// is not called in a loop.
const EMPTY_WATCH_PAUSE: Duration = Duration::from_millis(100);

/// Pause after the first failed call; it doubles up to the interval of the head's reads.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why following ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    /// The feed was told to stop watching.
    Stopped,
    /// The configuration must be read as a whole.
    Reload,
}

/// Runs until `stop` is disconnected.
pub(super) fn run(shared: &Shared, stop: &Receiver<()>) {
    let mut watcher = Watcher {
        shared,
        stop,
        started_at: Instant::now(),
        retry_pause: FIRST_RETRY_PAUSE,
    };
    while let Some(revision) = watcher.load() {
        if watcher.follow(revision + 1) == End::Stopped {
            return;
        }
    }
}

struct Watcher<'a> {
    shared: &'a Shared,
    stop: &'a Receiver<()>,
    started_at: Instant,
    retry_pause: Duration,
}

impl Watcher<'_> {
    /// Reads the whole configuration, as often as needed, and returns its revision; `None` when stopped.
    fn load(&mut self) -> Option<Revision> {
        loop {
            match self.shared.load() {
                Ok(revision) => {
                    self.retry_pause = FIRST_RETRY_PAUSE;
                    return Some(revision);
                }
                Err(report) => {
                    tracing::warn!(error = %report, "configuration could not be read");
                    if self.pause_after_failure() {
                        return None;
                    }
                }
            }
        }
    }

    fn follow(&mut self, from: Revision) -> End {
        let mut from = from;
        let mut monitor = WatchMonitor::new(self.shared.settings.watch_interval, self.now());
        loop {
            if self.pause(Duration::ZERO) {
                return End::Stopped;
            }
            match monitor.next(self.now()) {
                WatchAction::ReadHead if self.is_behind(&mut monitor) => return End::Reload,
                WatchAction::ReadHead => {}
                WatchAction::Wait(left) => {
                    if let Some(end) = self.watch(&mut from, left, &mut monitor) {
                        return end;
                    }
                }
            }
        }
    }

    /// Reads the head and tells whether the watch missed it.
    fn is_behind(&mut self, monitor: &mut WatchMonitor) -> bool {
        let read = store::read_head(&*self.shared.kv, self.shared.settings.call_timeout);
        let Ok(read) = read else {
            monitor.on_failure(self.now());
            return false;
        };
        let generation = self.shared.generation();
        let is_missed = monitor.on_head(self.now(), read.head.generation, generation);
        if is_missed {
            self.shared.count_missed();
            let head = read.head.generation;
            tracing::warn!(
                generation,
                head,
                "watch missed a configuration; reading it as a whole"
            );
        }
        is_missed
    }

    fn watch(
        &mut self,
        from: &mut Revision,
        left: Duration,
        monitor: &mut WatchMonitor,
    ) -> Option<End> {
        match self.shared.kv.watch(PREFIX, *from, left) {
            Call::Done(events) if events.is_empty() => {
                self.retry_pause = FIRST_RETRY_PAUSE;
                self.pause(EMPTY_WATCH_PAUSE).then_some(End::Stopped)
            }
            Call::Done(events) => {
                self.retry_pause = FIRST_RETRY_PAUSE;
                monitor.on_event(self.now());
                *from = events.last().map_or(*from, |event| event.mod_revision + 1);
                let is_applied = self.shared.apply_events(&events);
                (!is_applied).then_some(End::Reload)
            }
            Call::Refused(Refusal::Rejected(reason)) => {
                // The start of the watch may be compacted, since the configuration changes more rarely than the rest of
                // the store. From the next write on, the head's reads cover what the watch leaves out.
                tracing::debug!(reason, "watch was refused; watching from the next write on");
                *from = 0;
                self.pause_after_failure().then_some(End::Stopped)
            }
            Call::Refused(_) | Call::Unknown => self.pause_after_failure().then_some(End::Stopped),
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn pause_after_failure(&mut self) -> bool {
        let pause = self.retry_pause;
        self.retry_pause = (2 * pause).min(self.shared.settings.watch_interval);
        self.pause(pause)
    }

    /// Waits and tells whether the feed was told to stop watching.
    fn pause(&self, pause: Duration) -> bool {
        self.stop.recv_timeout(pause) != Err(RecvTimeoutError::Timeout)
    }
}
