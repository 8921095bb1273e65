//! Who holds a duty.
//!
//! Two keys of the key-value service decide: a record with the holder and its fencing number, which is only changed by
//! compare-and-set, and a lock that ends with the holder's lease. An entry takes over by one transaction that requires the
//! lock's absence and the record that it has read. The holder renews the lease and acts only while it cannot have ended,
//! measured from the start of the last successful renewal by a steady clock that counts the time asleep.
//!
//! What the holder decides, it first adds to the record. Whoever takes over finds the decision there and repeats it exactly.

use std::time::Duration;

use super::record::MAX_NUMBER;
use super::{BootId, DutyRecord, FencingNumber, UsageReport, WindowId, fencing_number};
use crate::store_position::Era;

/// Identifier of a lease, assigned by the key-value service.
pub type LeaseId = i64;
/// Revision of a key; 0 if it does not exist.
pub type Revision = u64;

/// Share of the lease after which it is renewed, as a divisor. Two renewals may fail before the lease ends.
const RENEWALS_PER_LEASE: u32 = 3;
/// Delay before the next try after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time by which the holder stops before its lease can have ended, for the delay between the check and the call.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
/// Time after which the next entry in order tries to take over. A try of the entry before it has ended by then.
const RANK_DELAY: Duration = Duration::from_millis(700);
/// Time after its start before an entry tries to take over. By then it has heard of the other entries.
const START_DELAY: Duration = Duration::from_secs(2);
/// Most reports that are kept until the platform has accepted them.
const MAX_REPORTS: usize = 4;

/// Settings of an entry that may hold a duty.
#[derive(Debug, Clone)]
pub struct HoldingSettings {
    /// VM of the entry.
    pub vm: String,
    /// Start of the entry's process.
    pub boot: BootId,
    /// Time after which the right to act ends without a renewal.
    pub lease: Duration,
}

/// Call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HoldingCall {
    /// Read the record and the lock.
    Read,
    /// Ask for a lease.
    GrantLease,
    /// Renew a lease.
    Renew(LeaseId),
    /// Write the record.
    Write(RecordWrite),
}

/// Transaction that writes the record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RecordWrite {
    /// Revision that the record must have.
    pub record_revision: Revision,
    /// Revision that the lock must have; 0 for a takeover, which creates it.
    pub lock_revision: Revision,
    /// New record.
    pub record: DutyRecord,
}

impl RecordWrite {
    /// Returns whether the transaction creates the lock.
    #[must_use]
    pub fn is_takeover(&self) -> bool {
        self.lock_revision == 0
    }
}

/// Record as read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RecordState {
    /// There is none.
    Absent,
    /// The value cannot be decoded.
    Unreadable,
    /// Decoded value.
    Readable(DutyRecord),
}

/// Result of reading the record and the lock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RecordRead {
    /// Era of the key-value service.
    pub era: Era,
    /// Record.
    pub record: RecordState,
    /// Revision of the record.
    pub record_revision: Revision,
    /// Revision of the lock.
    pub lock_revision: Revision,
}

/// Result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CommitResult {
    /// Written at this revision.
    Applied(Revision),
    /// Not written, since a condition did not hold or the lease has ended.
    Conflict,
    /// Not written.
    Refused,
    /// It is unknown whether it was or will be written.
    Unknown,
}

/// Change of the holding that is worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldingEvent {
    /// This entry took over with this fencing number.
    TookOver(FencingNumber),
    /// This entry lost the duty that it held with this number, for this reason.
    Lost(FencingNumber, &'static str),
    /// The record cannot be decoded and is replaced.
    UnreadableRecord,
}

#[derive(Debug, Clone)]
enum Phase {
    /// Another entry may hold the duty.
    Following,
    /// The lock was absent; a lease is needed.
    Granting(RecordRead),
    /// A lease was granted; the takeover is to be written.
    Taking(Takeover),
    /// The outcome of the takeover is unknown and is read.
    Confirming(Takeover),
    Holding(Box<Held>),
}

#[derive(Debug, Clone)]
struct Takeover {
    write: RecordWrite,
    valid_until: Duration,
}

#[derive(Debug, Clone)]
struct Held {
    record: DutyRecord,
    record_revision: Revision,
    lock_revision: Revision,
    since: Duration,
    valid_until: Duration,
    renew_at: Duration,
    /// Record with a decision that is not known to be written. Its content is final, since the write may be carried out.
    unwritten: Option<DutyRecord>,
    /// Whether the outcome of the last write is unknown and must be read.
    is_outcome_unknown: bool,
    write_at: Duration,
}

/// State of one entry that may hold a duty.
///
/// The caller carries out the calls of [`Holding::next_call`] one after another and passes on their results.
#[derive(Debug)]
pub struct Holding {
    settings: HoldingSettings,
    phase: Phase,
    /// Earliest time of the next call while following.
    try_at: Duration,
    /// Time at which a holder was last known to act.
    heard_at: Duration,
    /// Highest fencing number known.
    highest: FencingNumber,
    events: Vec<HoldingEvent>,
}

impl Holding {
    /// Creates the state of a process that starts at `now`.
    #[must_use]
    pub fn new(now: Duration, settings: HoldingSettings) -> Self {
        Self {
            settings,
            phase: Phase::Following,
            try_at: now + START_DELAY,
            heard_at: now,
            highest: 0,
            events: Vec::new(),
        }
    }

    /// Returns the call that is due, if any. `rank` is the position of this entry among those that may take over.
    #[must_use]
    pub fn next_call(&mut self, now: Duration, rank: u32) -> Option<HoldingCall> {
        self.check_lease(now);
        match &self.phase {
            Phase::Following => {
                let silence = self.settings.lease / 2 + RANK_DELAY.saturating_mul(rank);
                let is_due = now >= self.try_at && now >= self.heard_at.saturating_add(silence);
                is_due.then_some(HoldingCall::Read)
            }
            Phase::Granting(_) => Some(HoldingCall::GrantLease),
            Phase::Taking(takeover) => Some(HoldingCall::Write(takeover.write.clone())),
            Phase::Confirming(_) => (now >= self.try_at).then_some(HoldingCall::Read),
            Phase::Holding(held) if now >= held.renew_at => {
                Some(HoldingCall::Renew(held.record.lease))
            }
            Phase::Holding(held) if now < held.write_at => None,
            Phase::Holding(held) if held.is_outcome_unknown => Some(HoldingCall::Read),
            Phase::Holding(held) => {
                let record = held.unwritten.clone()?;
                Some(HoldingCall::Write(RecordWrite {
                    record_revision: held.record_revision,
                    lock_revision: held.lock_revision,
                    record,
                }))
            }
        }
    }

    /// Records that another entry is known to have held the duty `age` ago.
    pub fn on_holder_heard(&mut self, now: Duration, number: FencingNumber, age: Duration) {
        if number < self.highest || number >= MAX_NUMBER {
            return;
        }
        self.highest = number;
        self.heard_at = self.heard_at.max(now.saturating_sub(age));
        self.lose_if(
            |held| held.record.number < number,
            "another entry has a higher number",
        );
    }

    /// Processes a read. `window` is the open window of true time.
    pub fn on_read(
        &mut self,
        now: Duration,
        rank: u32,
        window: WindowId,
        read: Option<RecordRead>,
    ) {
        let Some(read) = read else {
            self.delay(now, rank);
            return;
        };
        if let RecordState::Readable(record) = &read.record {
            self.highest = self.highest.max(record.number);
        }
        match std::mem::replace(&mut self.phase, Phase::Following) {
            Phase::Holding(held) => self.resolve(now, *held, &read),
            Phase::Confirming(takeover) if is_record(&read, &takeover.write.record) => {
                if read.lock_revision == read.record_revision {
                    self.hold(now, takeover, read.record_revision);
                } else {
                    self.delay(now, rank);
                }
            }
            _ if read.lock_revision > 0 => self.delay(now, rank),
            _ => {
                if read.record == RecordState::Unreadable {
                    self.events.push(HoldingEvent::UnreadableRecord);
                }
                // The record that follows depends on the window, which the grant does not change by much.
                self.phase = Phase::Granting(with_floor(read, window));
            }
        }
    }

    /// Processes the answer to [`HoldingCall::GrantLease`], which was sent at `sent_at`: the lease and its time to live.
    pub fn on_lease(
        &mut self,
        now: Duration,
        rank: u32,
        sent_at: Duration,
        lease: Option<(LeaseId, Duration)>,
    ) {
        let Phase::Granting(read) = &self.phase else {
            return;
        };
        let Some((lease, ttl)) = lease else {
            self.phase = Phase::Following;
            self.delay(now, rank);
            return;
        };
        let RecordState::Readable(known) = &read.record else {
            return;
        };
        let record = DutyRecord {
            // Above all known numbers, also if the record was reverted by a restoration.
            number: fencing_number(read.era, [known.number, self.highest]),
            holder: self.settings.vm.clone(),
            boot: self.settings.boot,
            lease,
            era: read.era,
            last_window: known.last_window,
            reports: known.reports.clone(),
        };
        let write = RecordWrite {
            record_revision: read.record_revision,
            lock_revision: 0,
            record,
        };
        let valid_until = (sent_at + ttl.min(self.settings.lease)).saturating_sub(LEASE_MARGIN);
        self.phase = Phase::Taking(Takeover { write, valid_until });
    }

    /// Processes the result of a renewal that was sent at `sent_at`. `None` if it is unknown; `Some(None)` if the lease has
    /// ended.
    pub fn on_renewed(&mut self, now: Duration, sent_at: Duration, ttl: Option<Option<Duration>>) {
        let lease = self.settings.lease;
        let Phase::Holding(held) = &mut self.phase else {
            return;
        };
        match ttl {
            Some(Some(ttl)) => {
                let until = (sent_at + ttl.min(lease)).saturating_sub(LEASE_MARGIN);
                held.valid_until = held.valid_until.max(until);
                held.renew_at = sent_at + lease / RENEWALS_PER_LEASE;
            }
            Some(None) => self.lose_if(|_| true, "the lease has ended"),
            None => held.renew_at = now + RETRY_DELAY,
        }
    }

    /// Processes the result of [`HoldingCall::Write`].
    pub fn on_written(&mut self, now: Duration, rank: u32, result: CommitResult) {
        match std::mem::replace(&mut self.phase, Phase::Following) {
            Phase::Taking(takeover) => match result {
                CommitResult::Applied(revision) => self.hold(now, takeover, revision),
                CommitResult::Conflict | CommitResult::Refused => self.delay(now, rank),
                CommitResult::Unknown => {
                    self.try_at = now + RETRY_DELAY;
                    self.phase = Phase::Confirming(takeover);
                }
            },
            Phase::Holding(mut held) => {
                match result {
                    CommitResult::Applied(revision) => held.on_applied(revision),
                    // After an unknown outcome the write itself may have caused the conflict.
                    CommitResult::Conflict | CommitResult::Unknown => {
                        held.is_outcome_unknown = true;
                    }
                    CommitResult::Refused => held.write_at = now + RETRY_DELAY,
                }
                self.phase = Phase::Holding(held);
            }
            phase => self.phase = phase,
        }
    }

    /// Decides the report of a window. It is sent only after it was written. Returns false if this entry may not decide now.
    pub fn decide(&mut self, now: Duration, report: UsageReport) -> bool {
        let may_act = self.may_act(now, Duration::ZERO);
        let Phase::Holding(held) = &mut self.phase else {
            return false;
        };
        if !may_act || held.unwritten.is_some() || report.window <= held.record.last_window {
            return false;
        }
        let mut record = held.record.clone();
        record.last_window = report.window;
        record.reports.push(report);
        let surplus = record.reports.len().saturating_sub(MAX_REPORTS);
        record.reports.drain(..surplus);
        held.unwritten = Some(record);
        held.write_at = now;
        true
    }

    /// Returns the last window that has a report or never gets one, if this entry may decide about the next one.
    #[must_use]
    pub fn last_window(&self, now: Duration) -> Option<WindowId> {
        let held = self.held().filter(|held| held.unwritten.is_none())?;
        self.may_act(now, Duration::ZERO)
            .then_some(held.record.last_window)
    }

    /// Returns the written report that is to be sent next, with the fencing number, if a call that takes at most `timeout` ends
    /// before the lease can have ended.
    #[must_use]
    pub fn report_to_send(
        &self,
        now: Duration,
        timeout: Duration,
    ) -> Option<(FencingNumber, &UsageReport)> {
        let held = self.held()?;
        let report = held.record.reports.first()?;
        self.may_act(now, timeout)
            .then_some((held.record.number, report))
    }

    /// Records that the platform accepted the report of a window, or that it is too late for it.
    pub fn on_report_done(&mut self, window: WindowId) {
        if let Phase::Holding(held) = &mut self.phase {
            held.record.reports.retain(|report| report.window != window);
        }
    }

    /// Records that the platform refused a call because it has seen a higher number.
    pub fn on_fenced(&mut self) {
        self.lose_if(|_| true, "the platform has seen a higher number");
    }

    /// Returns whether this entry holds the duty and a call that takes at most `timeout` ends before its lease can have ended.
    #[must_use]
    pub fn may_act(&self, now: Duration, timeout: Duration) -> bool {
        self.held()
            .is_some_and(|held| now + timeout < held.valid_until)
    }

    /// Returns the fencing number of this entry and the time since which it holds the duty, if it does.
    #[must_use]
    pub fn holder(&self, now: Duration) -> Option<(FencingNumber, Duration)> {
        let held = self.held()?;
        self.may_act(now, Duration::ZERO)
            .then_some((held.record.number, held.since))
    }

    /// Returns the highest fencing number known.
    #[must_use]
    pub fn highest_number(&self) -> FencingNumber {
        self.highest
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<HoldingEvent> {
        std::mem::take(&mut self.events)
    }

    fn held(&self) -> Option<&Held> {
        match &self.phase {
            Phase::Holding(held) => Some(held),
            _ => None,
        }
    }

    fn hold(&mut self, now: Duration, takeover: Takeover, revision: Revision) {
        let number = takeover.write.record.number;
        self.highest = self.highest.max(number);
        self.phase = Phase::Holding(Box::new(Held {
            record: takeover.write.record,
            record_revision: revision,
            lock_revision: revision,
            since: now,
            valid_until: takeover.valid_until,
            renew_at: now,
            unwritten: None,
            is_outcome_unknown: false,
            write_at: now,
        }));
        self.events.push(HoldingEvent::TookOver(number));
    }

    /// Continues after a write of unknown outcome, with what was read since.
    fn resolve(&mut self, now: Duration, mut held: Held, read: &RecordRead) {
        held.is_outcome_unknown = false;
        held.write_at = now;
        let is_written = held
            .unwritten
            .as_ref()
            .is_some_and(|record| is_record(read, record));
        let is_unchanged = read.record_revision == held.record_revision;
        let has_lock = read.era == held.record.era && read.lock_revision == held.lock_revision;
        if has_lock && is_written {
            held.on_applied(read.record_revision);
        } else if !has_lock || !is_unchanged {
            let number = held.record.number;
            self.events.push(HoldingEvent::Lost(
                number,
                "another entry changed the record",
            ));
            self.try_at = now + self.settings.lease;
            return;
        }
        self.phase = Phase::Holding(Box::new(held));
    }

    /// Ends a takeover whose lease can have ended.
    fn check_lease(&mut self, now: Duration) {
        let (Phase::Taking(takeover) | Phase::Confirming(takeover)) = &self.phase else {
            return;
        };
        if now >= takeover.valid_until {
            self.phase = Phase::Following;
            self.try_at = now + RETRY_DELAY;
        }
    }

    fn lose_if(&mut self, is_lost: impl FnOnce(&Held) -> bool, reason: &'static str) {
        if let Phase::Holding(held) = &self.phase
            && is_lost(held)
        {
            self.events
                .push(HoldingEvent::Lost(held.record.number, reason));
            self.try_at = held.valid_until.max(self.try_at);
            self.phase = Phase::Following;
        }
    }

    /// Delays the next try. Entries that come later in order try less often, so that all of them together make few calls.
    fn delay(&mut self, now: Duration, rank: u32) {
        self.try_at = now + RETRY_DELAY + RANK_DELAY.saturating_mul(rank);
        if let Phase::Holding(held) = &mut self.phase {
            held.write_at = now + RETRY_DELAY;
        }
    }
}

impl Held {
    fn on_applied(&mut self, revision: Revision) {
        self.record_revision = revision;
        if let Some(record) = self.unwritten.take() {
            // Reports that the platform accepted meanwhile need not be sent again.
            let is_open = |report: &UsageReport| {
                let is_new = report.window > self.record.last_window;
                is_new || self.record.reports.contains(report)
            };
            let reports = record.reports.iter().filter(|report| is_open(report));
            let reports = reports.cloned().collect();
            self.record = DutyRecord { reports, ..record };
        }
        self.is_outcome_unknown = false;
    }
}

fn is_record(read: &RecordRead, record: &DutyRecord) -> bool {
    matches!(&read.record, RecordState::Readable(known) if known == record)
}

/// Sets the last window of a record that says nothing reliable about windows. Without a record, all counts of the open window
/// are known. Otherwise reports of the open window and those before may have been sent.
fn with_floor(mut read: RecordRead, window: WindowId) -> RecordRead {
    let (last_window, number) = match &read.record {
        RecordState::Readable(record) if record.era == read.era => return read,
        RecordState::Readable(record) => (window.max(record.last_window), record.number),
        RecordState::Unreadable => (window, read.record_revision),
        RecordState::Absent if read.era > 0 => (window, 0),
        RecordState::Absent => (window.saturating_sub(1), 0),
    };
    read.record = RecordState::Readable(DutyRecord {
        number,
        holder: String::new(),
        boot: 0,
        lease: 0,
        era: read.era,
        last_window,
        reports: Vec::new(),
    });
    read
}
