//! Counts the calls that servers began, and reports them to the platform for all entries.
//!
//! Each entry sends its counts to the holder of the duty and to the entries that would take over first. [`runner`] takes over
//! the duty when nobody holds it, and reports as long as this entry holds it.

mod runner;

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tanagerford_core::duty::wire::{self, CountsPart, DutyMessage, HolderNews};
use tanagerford_core::duty::{
    BootId, CommitResult, FencingNumber, Holding, HoldingSettings, LeaseId, RecordRead,
    RecordWrite, TrueTime, UsageBook, UsageReport, UsageSender, WindowId, Windows, workspace_hash,
};
use tanagerford_core::exchange::EntryNumber;
use tanagerford_sync::lock;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::AttemptError;
use crate::call::Call;
use crate::codec::Codec;
use crate::gateway::Gateway;
use crate::in_flight::ExchangeResult;

pub use runner::start;

/// Shortest time between two answers to one entry.
const ANSWER_INTERVAL: Duration = Duration::from_millis(900);
/// Time for which an entry that is known to hold the duty counts as holder without further news.
const NEWS_TTL: Duration = Duration::from_secs(10);
/// Largest fencing number of another entry that is believed: up to it, all JSON parsers read numbers exactly.
const MAX_HEARD_NUMBER: FencingNumber = (1 << 53) - 3;
/// Number of counts from which a message is assumed to hold only a part of what its sender has. It is answered at once, so
/// that the next part follows.
const FULL_PART_ITEMS: usize = 64;
/// Most entries whose messages are tracked.
const MAX_SENDERS: usize = 2_048;

/// Settings of the usage report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutySettings {
    /// Time after which a holder that does not renew its right loses it.
    pub lease: Duration,
    /// Windows that are reported.
    pub windows: Windows,
    /// Whether the platform refuses calls with a lower fencing number than it has seen.
    pub is_fence_checked: bool,
}

/// Result of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportResult {
    /// The platform accepted the report.
    Accepted,
    /// The platform has seen a higher fencing number.
    Fenced,
    /// The report was refused for another reason, or its outcome is unknown.
    Failed,
}

/// Calls to the platform. They block, and each returns within its own timeout.
pub trait DutyBackend: Send + 'static {
    /// Longest time that a report takes.
    const REPORT_TIMEOUT: Duration;

    /// Reads the record and the lock of the duty; `None` if that fails.
    fn read(&self) -> Option<RecordRead>;

    /// Asks for a lease; returns it with its time to live.
    fn grant_lease(&self, ttl: Duration) -> Option<(LeaseId, Duration)>;

    /// Renews a lease and returns its time to live; `None` if the outcome is unknown, `Some(None)` if the lease has ended.
    fn renew_lease(&self, lease: LeaseId) -> Option<Option<Duration>>;

    /// Writes the record.
    fn write(&self, write: &RecordWrite) -> CommitResult;

    /// Reports the usage of a window as holder with this number.
    fn report(&self, number: FencingNumber, report: &UsageReport) -> ReportResult;
}

/// Part of one entry in the usage report.
#[derive(Debug)]
pub(crate) struct UsageDuty {
    settings: DutySettings,
    entry: EntryNumber,
    boot: BootId,
    time: Mutex<TrueTime>,
    sender: Mutex<UsageSender>,
    received: Mutex<Received>,
    holder: Mutex<Option<KnownHolder>>,
    holding: Mutex<Holding>,
}

/// Counts of other entries.
#[derive(Debug, Default)]
struct Received {
    book: UsageBook,
    senders: HashMap<EntryNumber, SenderState>,
}

#[derive(Debug, Clone, Copy)]
struct SenderState {
    boot: BootId,
    /// Sequence number up to which all changes of the sender arrived.
    sequence: u64,
    answered_at: Option<Duration>,
}

/// Entry that holds the duty, as far as it is known.
#[derive(Debug, Clone, Copy)]
struct KnownHolder {
    entry: EntryNumber,
    number: FencingNumber,
    /// Time at which it said so.
    at: Duration,
}

/// Returns the time of a steady clock that also runs while the machine is suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanoseconds)
}

fn time_of_day_ms() -> i64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl UsageDuty {
    pub(crate) fn new(vm: &str, settings: DutySettings) -> Self {
        let (now, boot) = (boot_time(), rand::random());
        let holding = HoldingSettings {
            vm: vm.to_owned(),
            boot,
            lease: settings.lease,
        };
        let mut time = TrueTime::default();
        time.observe(now, time_of_day_ms());
        Self {
            settings,
            entry: xxh3_64(vm.as_bytes()),
            boot,
            time: Mutex::new(time),
            sender: Mutex::default(),
            received: Mutex::default(),
            holder: Mutex::default(),
            holding: Mutex::new(Holding::new(now, holding)),
        }
    }

    /// Returns the estimate of true time as time since the Unix epoch.
    fn true_time(&self, now: Duration) -> Duration {
        lock(&self.time).at(now).unwrap_or_default()
    }

    fn window(&self, now: Duration) -> WindowId {
        self.settings.windows.at(self.true_time(now))
    }

    /// Counts a call that a server began just now.
    fn on_begun(&self, workspace: &str) {
        let window = self.window(boot_time());
        lock(&self.sender).on_begun(window, workspace_hash(workspace));
    }

    /// Returns a message without counts.
    fn message(&self, now: Duration) -> DutyMessage {
        DutyMessage {
            sender: self.entry,
            boot: self.boot,
            time_ms: millis(self.true_time(now)),
            holder: self.holder_news(now),
            acknowledged: None,
            counts: None,
        }
    }

    fn holder_news(&self, now: Duration) -> Option<HolderNews> {
        if let Some((number, _)) = lock(&self.holding).holder(now) {
            return Some(HolderNews {
                holder: self.entry,
                number,
                age_ms: 0,
            });
        }
        let known = self.known_holder(now)?;
        Some(HolderNews {
            holder: known.entry,
            number: known.number,
            age_ms: millis(now.saturating_sub(known.at)),
        })
    }

    fn known_holder(&self, now: Duration) -> Option<KnownHolder> {
        let known = *lock(&self.holder);
        known.filter(|known| now.saturating_sub(known.at) < NEWS_TTL)
    }

    fn on_holder_news(&self, now: Duration, news: HolderNews) {
        // The own holding is known better here; news of it are older.
        if news.holder == self.entry || news.number > MAX_HEARD_NUMBER {
            return;
        }
        let age = Duration::from_millis(news.age_ms);
        let heard = KnownHolder {
            entry: news.holder,
            number: news.number,
            at: now.saturating_sub(age),
        };
        let mut holder = lock(&self.holder);
        let is_newer = |known: KnownHolder| (heard.number, heard.at) > (known.number, known.at);
        if holder.is_none_or(is_newer) {
            *holder = Some(heard);
        }
        drop(holder);
        lock(&self.holding).on_holder_heard(now, news.number, age);
    }

    /// Processes a message of another entry; returns the answer, if one is due.
    fn receive(&self, now: Duration, message: &DutyMessage) -> Option<DutyMessage> {
        let time_ms = i64::try_from(message.time_ms).ok()?;
        lock(&self.time).on_peer(now, message.sender, time_ms);
        if let Some(news) = message.holder {
            self.on_holder_news(now, news);
        }
        if let Some((boot, sequence)) = message.acknowledged {
            if boot == self.boot {
                lock(&self.sender).on_acknowledged(message.sender, message.boot, sequence);
            }
            return None;
        }
        let current = self.window(now);
        let sequence = lock(&self.received).receive(now, current, message)?;
        Some(DutyMessage {
            acknowledged: Some((message.boot, sequence)),
            ..self.message(now)
        })
    }

    /// Returns the changed counts for a receiver.
    fn counts_for(&self, receiver: EntryNumber, max_bytes: usize) -> Option<CountsPart> {
        let (base, sequence, items) = lock(&self.sender).pending(receiver, max_bytes)?;
        Some(CountsPart {
            base,
            sequence,
            items,
        })
    }
}

impl Received {
    /// Takes over counts; returns the sequence number that is to be acknowledged, if an answer is due.
    fn receive(&mut self, now: Duration, current: WindowId, message: &DutyMessage) -> Option<u64> {
        let is_known = self.senders.contains_key(&message.sender);
        if !is_known && self.senders.len() >= MAX_SENDERS {
            return None;
        }
        let new = SenderState {
            boot: message.boot,
            sequence: 0,
            answered_at: None,
        };
        let sender = self.senders.entry(message.sender).or_insert(new);
        if sender.boot != message.boot {
            *sender = new;
        }
        let mut has_gap = false;
        let mut is_full = false;
        if let Some(counts) = &message.counts {
            // Counts of a window that is far ahead are not acknowledged: either clock may be corrected, and they are sent again.
            let mut windows = counts.items.iter().map(|item| item.window);
            if windows.any(|window| UsageBook::is_ahead(current, window)) {
                return None;
            }
            is_full = counts.items.len() >= FULL_PART_ITEMS;
            let source = (message.sender, message.boot);
            self.book
                .merge(current, source, counts.items.iter().copied());
            has_gap = counts.base > sender.sequence;
            if !has_gap {
                sender.sequence = sender.sequence.max(counts.sequence);
            }
        }
        let answered_at = sender.answered_at;
        let is_due = answered_at.is_none_or(|at| now.saturating_sub(at) >= ANSWER_INTERVAL);
        if !is_due && !has_gap && !is_full {
            return None;
        }
        sender.answered_at = Some(now);
        Some(sender.sequence)
    }
}

impl<C: Codec> Gateway<C> {
    /// Counts a call if its attempt shows that a server began to work on it. A model engine that breaks off before the first
    /// part of its answer probably had the call in its queue; a plain service probably worked on it.
    pub(crate) fn on_attempt_result(&self, call: &Call, result: &ExchangeResult) {
        let is_plain = call.demand.prompt_tokens == 0;
        let has_begun = match result {
            Ok(_) => true,
            Err(error) => *error == AttemptError::Broken && is_plain,
        };
        if has_begun {
            self.on_call_begun(call);
        }
    }

    /// Counts a call that a server began to work on, once.
    pub(crate) fn on_call_begun(&self, call: &Call) {
        let Some(duty) = &self.duty else {
            return;
        };
        if !call.workspace_name().is_empty() && !call.is_begun.swap(true, Ordering::Relaxed) {
            duty.on_begun(call.workspace_name());
        }
    }

    /// Processes a message about a duty.
    pub(crate) fn on_duty_datagram(&self, datagram: &[u8]) {
        let Some(duty) = &self.duty else {
            return;
        };
        let Some(message) = wire::decode(datagram) else {
            self.metrics.on_duty_event("unreadable_message");
            return;
        };
        let is_registered = |entry| self.summaries.peer_address(entry).is_some();
        let has_known_holder = message
            .holder
            .is_none_or(|news| news.holder == duty.entry || is_registered(news.holder));
        if !is_registered(message.sender) || !has_known_holder {
            self.metrics.on_duty_event("message_of_unknown_entry");
            return;
        }
        if let Some(answer) = duty.receive(boot_time(), &message) {
            self.summaries.send(message.sender, &wire::encode(&answer));
        }
    }
}
