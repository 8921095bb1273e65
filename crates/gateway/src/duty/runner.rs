//! Thread that exchanges counts, takes over the duty when nobody holds it, and reports.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tanagerford_core::duty::wire::{self, DutyMessage};
use tanagerford_core::duty::{
    HoldingCall, HoldingEvent, RecordState, UsageReport, WindowId, WorkspaceHash, workspace_hash,
};
use tanagerford_core::exchange::EntryNumber;
use tanagerford_core::ids::WorkspaceId;
use tanagerford_sync::{lock, spawn_restarting};

use super::{DutyBackend, ReportResult, UsageDuty, boot_time, time_of_day_ms};
use crate::codec::Codec;
use crate::gateway::Gateway;

/// Shortest interval at which an entry sends its counts. What a killed entry counted since is lost, on average half of this
/// time of one entry.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Send interval per live entry, so that a receiver gets at most 125 messages a second from each of its senders' fleet.
const SEND_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(8);
/// Interval of the loop while this entry holds the duty or tries to.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which the holder tells the entries that would take over that it is alive.
const BEACON_INTERVAL: Duration = Duration::from_millis(500);
/// Entries that receive these messages.
const BEACON_RECEIVERS: usize = 4;
/// Number of times that a new holder tells all entries.
const ANNOUNCEMENTS: u32 = 3;
/// Interval between these messages.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Entries that receive the counts, so that a holder that is killed together with one successor loses nothing.
const RECEIVERS: usize = 3;
/// Bytes of counts per second for one receiver; all receivers get less than the 6 KB/s of an entry's messages.
const BYTES_PER_S: u32 = 1_700;
/// Largest size of the counts in one datagram, which fits into one packet.
const MAX_COUNTS_BYTES: usize = 1_200;
/// Shortest time after the end of a window at which its counts are final. It covers two messages, one of them lost.
const MIN_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time before a report is late at which a new holder no longer waits for the counts of all entries.
const LAST_DECISION_TIME: Duration = Duration::from_secs(3);
/// Delay after a report that failed.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Most calls to the key-value service in one round of the loop.
const MAX_CALLS_PER_ROUND: usize = 4;
/// Most names of workspaces that are kept.
const MAX_NAMES: usize = 16_384;

/// Starts the thread, which runs until the process ends. Without settings of a duty, nothing is started.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<C: Codec>(gateway: Arc<Gateway<C>>, backend: impl DutyBackend) -> io::Result<()> {
    if gateway.duty.is_none() {
        return Ok(());
    }
    let mut runner = Runner {
        gateway,
        backend,
        send_at: Duration::ZERO,
        beacon_at: Duration::ZERO,
        announce_at: Duration::ZERO,
        announcements: 0,
        report_at: Duration::ZERO,
        names: HashMap::new(),
    };
    spawn_restarting("duty", move || runner.run())
}

struct Runner<C, B> {
    gateway: Arc<Gateway<C>>,
    backend: B,
    send_at: Duration,
    beacon_at: Duration,
    announce_at: Duration,
    /// Announcements of the takeover that are left.
    announcements: u32,
    /// Earliest time of the next report.
    report_at: Duration,
    /// Names of workspaces, also of those that were removed from the configuration a short time ago.
    names: HashMap<WorkspaceHash, WorkspaceId>,
}

impl<C: Codec, B: DutyBackend> Runner<C, B> {
    fn run(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        let Some(duty) = &gateway.duty else {
            return;
        };
        loop {
            let interval = self.round(duty);
            thread::sleep(interval);
        }
    }

    /// Does what is due; returns the time until the next round.
    fn round(&mut self, duty: &UsageDuty) -> Duration {
        let now = boot_time();
        lock(&duty.time).observe(now, time_of_day_ms());
        let entries = self.gateway.summaries().entries_by_capacity();
        let interval = send_interval(entries.len());
        if now >= self.send_at {
            self.send_at = now + interval;
            lock(&duty.sender).forget_before(duty.window(now));
            self.send_counts(duty, now, &entries, interval);
        }
        let position = entries.iter().position(|entry| *entry == duty.entry);
        let rank = u32::try_from(position.unwrap_or_default()).unwrap_or(u32::MAX);
        self.step_holding(duty, rank, entries.len());
        self.log_events(duty);
        let now = boot_time();
        let holder = lock(&duty.holding).holder(now);
        self.gateway
            .metrics
            .set_duty_number(holder.map_or(0, |(number, _)| number));
        let Some((_, since)) = holder else {
            let is_first = rank < 2;
            return if is_first {
                ACTIVE_INTERVAL * 2
            } else {
                interval.min(MIN_SEND_INTERVAL)
            };
        };
        self.announce(duty, now, &entries);
        self.decide(duty, now, since, interval);
        // What was decided is written before it is sent.
        self.step_holding(duty, rank, entries.len());
        self.send_report(duty, since);
        self.log_events(duty);
        ACTIVE_INTERVAL
    }

    /// Sends the changed counts to the holder and to the entries that would take over first.
    fn send_counts(
        &self,
        duty: &UsageDuty,
        now: Duration,
        entries: &[EntryNumber],
        interval: Duration,
    ) {
        let holder = duty.known_holder(now).map(|known| known.entry);
        let mut receivers: Vec<EntryNumber> = holder.into_iter().collect();
        for entry in entries {
            if receivers.len() < RECEIVERS && *entry != duty.entry && !receivers.contains(entry) {
                receivers.push(*entry);
            }
        }
        lock(&duty.sender).retain_receivers(&receivers);
        let max_bytes = usize::try_from((BYTES_PER_S * interval).as_secs()).unwrap_or(usize::MAX);
        for receiver in &receivers {
            let counts = duty.counts_for(*receiver, max_bytes.min(MAX_COUNTS_BYTES));
            // A message without counts still brings news of the holder, and its answer confirms true time.
            let message = DutyMessage {
                counts,
                ..duty.message(now)
            };
            self.send(*receiver, &message);
        }
    }

    fn send(&self, receiver: EntryNumber, message: &DutyMessage) {
        self.gateway
            .summaries()
            .send(receiver, &wire::encode(message));
    }

    /// Makes the calls to the key-value service that are due.
    fn step_holding(&self, duty: &UsageDuty, rank: u32, live_entries: usize) {
        for _ in 0..MAX_CALLS_PER_ROUND {
            let sent_at = boot_time();
            let is_holder = lock(&duty.holding).holder(sent_at).is_some();
            let summaries = self.gateway.summaries();
            // A holder whose time is wrong would decide windows that have not ended.
            let has_time = live_entries < 3 || lock(&duty.time).is_confirmed(sent_at);
            let may_take_over = self.gateway.is_ready() && summaries.is_registered() && has_time;
            if !is_holder && !may_take_over {
                return;
            }
            let Some(call) = lock(&duty.holding).next_call(sent_at, rank) else {
                return;
            };
            match call {
                HoldingCall::Read => {
                    let read = self.backend.read();
                    if read
                        .as_ref()
                        .is_some_and(|read| read.record == RecordState::Unreadable)
                    {
                        self.gateway.metrics.on_duty_event("unreadable_record");
                    }
                    let now = boot_time();
                    let window = duty.window(now);
                    lock(&duty.holding).on_read(now, rank, window, read);
                }
                HoldingCall::GrantLease => {
                    let lease = self.backend.grant_lease(duty.settings.lease);
                    lock(&duty.holding).on_lease(boot_time(), rank, sent_at, lease);
                }
                HoldingCall::Renew(lease) => {
                    let renewed = self.backend.renew_lease(lease);
                    lock(&duty.holding).on_renewed(boot_time(), sent_at, renewed);
                }
                HoldingCall::Write(write) => {
                    let result = self.backend.write(&write);
                    lock(&duty.holding).on_written(boot_time(), rank, result);
                }
            }
        }
    }

    fn log_events(&mut self, duty: &UsageDuty) {
        let events = lock(&duty.holding).take_events();
        for event in events {
            match event {
                HoldingEvent::TookOver(number) => {
                    tracing::info!(number, "took over the report of usage");
                    self.gateway.metrics.on_duty_event("took_over");
                    self.announcements = ANNOUNCEMENTS;
                    self.announce_at = Duration::ZERO;
                    self.report_at = Duration::ZERO;
                }
                HoldingEvent::Lost(number, reason) => {
                    tracing::info!(number, reason, "lost the report of usage");
                    self.gateway.metrics.on_duty_event("lost");
                }
                HoldingEvent::UnreadableRecord => {
                    tracing::warn!(
                        "the record of the report of usage cannot be decoded; replacing it"
                    );
                }
            }
        }
    }

    /// Tells other entries that this one holds the duty: all of them after a takeover, later those that would take over.
    fn announce(&mut self, duty: &UsageDuty, now: Duration, entries: &[EntryNumber]) {
        let message = duty.message(now);
        let others = || entries.iter().filter(|entry| **entry != duty.entry);
        if self.announcements > 0 && now >= self.announce_at {
            self.announcements -= 1;
            self.announce_at = now + ANNOUNCEMENT_INTERVAL;
            self.beacon_at = now + BEACON_INTERVAL;
            for entry in others() {
                self.send(*entry, &message);
            }
        } else if now >= self.beacon_at {
            self.beacon_at = now + BEACON_INTERVAL;
            for entry in others().take(BEACON_RECEIVERS) {
                self.send(*entry, &message);
            }
        }
    }

    /// Decides the report of the next window once its counts have arrived.
    fn decide(&mut self, duty: &UsageDuty, now: Duration, since: Duration, interval: Duration) {
        let windows = duty.settings.windows;
        let time = duty.true_time(now);
        let current = windows.at(time);
        let Some(last) = lock(&duty.holding).last_window(now) else {
            return;
        };
        let oldest = windows.at(time.saturating_sub(windows.late_after + windows.length));
        if last > current {
            tracing::warn!(last, current, "the last decided window is in the future");
            self.gateway.metrics.on_duty_event("window_ahead");
            return;
        }
        let mut candidates = oldest.max(last.saturating_add(1))..current;
        let not_late = candidates.find(|window| !windows.is_late(*window, time));
        let Some(window) = not_late else {
            return;
        };
        let settle = MIN_SETTLE_TIME.max(interval * 2);
        let end = windows.end(window);
        let has_all_counts = time >= end + settle && now.saturating_sub(since) >= settle;
        let is_last_moment = time + LAST_DECISION_TIME >= end + windows.late_after;
        if !has_all_counts && !is_last_moment {
            return;
        }
        let report = UsageReport {
            window,
            counts: self.counts(duty, current, window),
        };
        let (workspaces, calls) = (
            report.counts.len(),
            report
                .counts
                .values()
                .fold(0, |sum: u64, count| sum.saturating_add(*count)),
        );
        if lock(&duty.holding).decide(now, report) {
            tracing::info!(
                window,
                workspaces,
                calls,
                skipped = window - last - 1,
                "usage of a window is decided"
            );
        }
    }

    /// Returns the counts of all entries for a window by the names of the workspaces.
    fn counts(
        &mut self,
        duty: &UsageDuty,
        current: WindowId,
        window: WindowId,
    ) -> tanagerford_core::duty::Counts {
        if let Some(table) = self.gateway.table() {
            for workspace in table.workspaces() {
                let hash = workspace_hash(&workspace.name);
                if self.names.len() < MAX_NAMES && !self.names.contains_key(&hash) {
                    self.names.insert(hash, workspace.name.clone());
                }
            }
        }
        let sums = {
            // Calls need the lock of the sender, so it is not held while the sums are computed.
            let own: Vec<_> = lock(&duty.sender).items().collect();
            let mut received = lock(&duty.received);
            let source = (duty.entry, duty.boot);
            received.book.merge(current, source, own);
            received.book.sums(window)
        };
        let named = sums.into_iter().filter_map(|(hash, count)| {
            let name = self.names.get(&hash).cloned();
            if name.is_none() {
                self.gateway.metrics.on_duty_event("unknown_workspace");
            }
            Some((name?, count))
        });
        named.collect()
    }

    /// Sends the reports that are written and not accepted yet.
    fn send_report(&mut self, duty: &UsageDuty, since: Duration) {
        let now = boot_time();
        // Without a check of the fence, calls of the previous holder that the platform carries out late come first.
        let delay = if duty.settings.is_fence_checked {
            Duration::ZERO
        } else {
            duty.settings.lease
        };
        if now < self.report_at.max(since + delay) {
            return;
        }
        let next = {
            let holding = lock(&duty.holding);
            let next = holding.report_to_send(now, B::REPORT_TIMEOUT);
            next.map(|(number, report)| (number, report.clone()))
        };
        let Some((number, report)) = next else {
            return;
        };
        let window = report.window;
        let windows = duty.settings.windows;
        let metrics = &self.gateway.metrics;
        if windows.is_late(window, duty.true_time(now)) {
            tracing::warn!(
                number,
                window,
                "usage of a window is too late to be reported"
            );
            metrics.on_duty_event("report_late");
            lock(&duty.holding).on_report_done(window);
            return;
        }
        match self.backend.report(number, &report) {
            ReportResult::Accepted => {
                let after = duty
                    .true_time(boot_time())
                    .saturating_sub(windows.end(window));
                tracing::info!(
                    number,
                    window,
                    after_ms = after.as_millis(),
                    "usage of a window is reported"
                );
                metrics.on_duty_event("reported");
                lock(&duty.holding).on_report_done(window);
            }
            ReportResult::Fenced => {
                tracing::warn!(
                    number,
                    window,
                    "the platform has seen a higher fencing number"
                );
                metrics.on_duty_event("fenced");
                lock(&duty.holding).on_fenced();
            }
            ReportResult::Failed => {
                tracing::warn!(number, window, "report of usage failed; trying again");
                metrics.on_duty_event("report_failed");
                self.report_at = boot_time() + REPORT_RETRY_DELAY;
            }
        }
    }
}

/// Returns the interval at which an entry sends its counts in a fleet of this size.
fn send_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    SEND_INTERVAL_PER_ENTRY
        .saturating_mul(entries)
        .max(MIN_SEND_INTERVAL)
}
