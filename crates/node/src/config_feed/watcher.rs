//! Thread that watches the configuration in the key-value service.

use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use tanagerford_core::generation::{WatchAction, WatchMonitor};
use tanagerford_kv::kv::{Call, Refusal, Revision};

use super::Shared;
use super::store::{self, PREFIX};

/// Pause after a watch that ended without an event. It prevents a loop of calls if the service ends each watch at once.
const EMPTY_WATCH_PAUSE: Duration = Duration::from_millis(100);

/// Pause after the first failed call. It doubles with each further failure, up to the interval of reads of the head.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why [`Watcher::follow`] ended.
#[derive(Debug, PartialEq, Eq)]
enum FollowEnd {
    /// The feed has stopped the watcher.
    Stopped,
    /// The complete configuration must be read.
    Reload,
}

/// Runs the watcher until the sender of `stop` is dropped.
pub(super) fn run(shared: &Shared, stop: &Receiver<()>) {
    let mut watcher = Watcher {
        shared,
        stop,
        started_at: Instant::now(),
        retry_pause: INITIAL_RETRY_PAUSE,
    };
    while let Some(revision) = watcher.load() {
        if watcher.follow(revision + 1) == FollowEnd::Stopped {
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
    /// Reads the complete configuration and returns its revision. Retries until a read succeeds; returns `None` when
    /// stopped.
    fn load(&mut self) -> Option<Revision> {
        loop {
            match self.shared.load() {
                Ok(revision) => {
                    self.retry_pause = INITIAL_RETRY_PAUSE;
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

    /// Watches from the revision `from` on and reads the head when no event arrives.
    fn follow(&mut self, from: Revision) -> FollowEnd {
        let mut from = from;
        let mut monitor = WatchMonitor::new(self.shared.settings.watch_interval, self.now());
        loop {
            if self.pause(Duration::ZERO) {
                return FollowEnd::Stopped;
            }
            match monitor.next(self.now()) {
                WatchAction::ReadHead if self.has_missed_change(&mut monitor) => {
                    return FollowEnd::Reload;
                }
                WatchAction::ReadHead => {}
                WatchAction::Wait(timeout) => {
                    if let Some(end) = self.watch(&mut from, timeout, &mut monitor) {
                        return end;
                    }
                }
            }
        }
    }

    /// Reads the head. Returns whether it is newer than the configuration in force because the watch missed a change.
    fn has_missed_change(&mut self, monitor: &mut WatchMonitor) -> bool {
        let read = store::read_head(&*self.shared.kv, self.shared.settings.call_timeout);
        let Ok(read) = read else {
            monitor.on_failure(self.now());
            return false;
        };
        let generation = self.shared.generation();
        let is_missed = monitor.on_head(self.now(), read.head.generation, generation);
        if is_missed {
            self.shared.count_missed_change();
            let head = read.head.generation;
            tracing::warn!(
                generation,
                head,
                "watch missed a configuration; reading the complete configuration"
            );
        }
        is_missed
    }

    /// Waits for events and applies them. Returns why following must end, if so.
    fn watch(
        &mut self,
        from: &mut Revision,
        timeout: Duration,
        monitor: &mut WatchMonitor,
    ) -> Option<FollowEnd> {
        match self.shared.kv.watch(PREFIX, *from, timeout) {
            Call::Done(events) if events.is_empty() => {
                self.retry_pause = INITIAL_RETRY_PAUSE;
                self.pause(EMPTY_WATCH_PAUSE).then_some(FollowEnd::Stopped)
            }
            Call::Done(events) => {
                self.retry_pause = INITIAL_RETRY_PAUSE;
                monitor.on_event(self.now());
                *from = events.last().map_or(*from, |event| event.mod_revision + 1);
                let is_applied = self.shared.apply_events(&events);
                (!is_applied).then_some(FollowEnd::Reload)
            }
            Call::Refused(Refusal::Rejected(reason)) => {
                // The revision may have been compacted, because the configuration changes more rarely than other keys.
                // The watch then starts at the next write, and reads of the head find the changes before it.
                tracing::debug!(reason, "watch was refused; watching from the next write on");
                *from = 0;
                self.pause_after_failure().then_some(FollowEnd::Stopped)
            }
            Call::Refused(_) | Call::Unknown => {
                self.pause_after_failure().then_some(FollowEnd::Stopped)
            }
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Waits after a failed call, with exponential backoff. Returns whether the watcher must stop.
    fn pause_after_failure(&mut self) -> bool {
        let pause = self.retry_pause;
        self.retry_pause = (2 * pause).min(self.shared.settings.watch_interval);
        self.pause(pause)
    }

    /// Waits for the duration `pause`. Returns whether the watcher must stop.
    fn pause(&self, pause: Duration) -> bool {
        self.stop.recv_timeout(pause) != Err(RecvTimeoutError::Timeout)
    }
}
