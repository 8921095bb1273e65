//! How far an entry's copy of the key-value service is known to be complete.
//!
//! An answer proves only what was true when it was given, and a message only what its sender knew when it was sent. Both can
//! arrive late: after a network partition has healed, or after the receiver was frozen. So a copy counts as complete up to a
//! time that is derived from the question that was asked, or from the sender's clock.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use crate::exchange::{BootId, EntryNumber};
use crate::store_position::StorePosition;

/// Time for which messages of an incarnation must have arrived before its clock is trusted. Messages that waited while the
/// receiver was frozen arrive together, and their delay cannot be told from a difference of the clocks.
const CLOCK_SETTLING: Duration = Duration::from_secs(2);
/// Part of the elapsed time by which two clocks may drift apart. An estimate that is a minute old is wrong by 60 ms at most.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Time after which the clock of a silent incarnation is forgotten.
const CLOCK_RETENTION: Duration = Duration::from_mins(1);
/// Largest number of positions of other entries that are remembered until they are known here.
const MAX_AHEAD: usize = 64;

/// What a message of another entry tells of its copy of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// Sender.
    pub entry: EntryNumber,
    /// Incarnation of the sender.
    pub boot: BootId,
    /// Time of sending by the clock of that incarnation; `None` if the sender does not tell.
    pub sent_at: Option<Duration>,
    /// Position up to which the sender knew all changes.
    pub position: StorePosition,
    /// Time since the service confirmed to the sender itself that `position` was the newest one; `None` if it never did.
    pub confirmed_age: Option<Duration>,
}

/// Clock of another incarnation, and up to when its copy was complete by that clock.
#[derive(Debug)]
struct PeerClock {
    first_heard_at: Duration,
    last_heard_at: Duration,
    /// Smallest difference of a message's arrival by this entry's clock and its sending by the sender's, in nanoseconds: the
    /// difference of the clocks and the delay of the fastest message. Rises with the drift that is allowed for.
    offset_ns: i128,
    /// Time by the sender's clock up to which all changes are known here, too.
    complete_until: Option<Duration>,
}

impl PeerClock {
    fn new(now: Duration, offset_ns: i128) -> Self {
        Self {
            first_heard_at: now,
            last_heard_at: now,
            offset_ns,
            complete_until: None,
        }
    }

    fn on_message(&mut self, now: Duration, offset_ns: i128) {
        let silence = now.saturating_sub(self.last_heard_at);
        if silence >= CLOCK_RETENTION {
            *self = Self::new(now, offset_ns);
            return;
        }
        let drift = silence.mul_f64(MAX_CLOCK_DRIFT).as_nanos();
        let drifted = self.offset_ns + i128::try_from(drift).unwrap_or(0);
        self.offset_ns = offset_ns.min(drifted);
        self.last_heard_at = now;
    }

    /// Returns the time by this entry's clock up to which all changes are known here.
    fn complete_until(&self, now: Duration) -> Option<Duration> {
        let is_settled = now.saturating_sub(self.first_heard_at) >= CLOCK_SETTLING;
        let until = self.complete_until.filter(|_| is_settled)?;
        let local_ns = i128::try_from(until.as_nanos()).ok()? + self.offset_ns;
        let local_ns = u64::try_from(local_ns).ok()?;
        Some(Duration::from_nanos(local_ns).min(now))
    }
}

/// One entry's copy of the key-value service: the position that it has reached, how long ago that was the newest one, and the
/// positions of the other entries.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::store_view::StoreView;
///
/// let mut view = StoreView::default();
/// assert_eq!(view.age(Duration::from_secs(5)), None);
/// view.confirm(Duration::from_secs(5));
/// assert_eq!(view.age(Duration::from_secs(7)), Some(Duration::from_secs(2)));
/// ```
#[derive(Debug, Default)]
pub struct StoreView {
    position: StorePosition,
    /// Position of this entry's own registration; `None` before it is registered.
    registered: Option<StorePosition>,
    /// Time up to which all changes are known from this entry's own calls.
    confirmed_until: Option<Duration>,
    clocks: HashMap<BootId, PeerClock>,
    /// Newest position that each other entry has reported.
    peer_positions: HashMap<EntryNumber, StorePosition>,
    /// Reported positions that are not known here, with the times at which they were first heard of, oldest first.
    ahead: VecDeque<(StorePosition, Duration)>,
}

impl StoreView {
    /// Returns the position up to which all changes are known here.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Sets the position up to which all changes are known here; returns whether it differs from the one before.
    pub fn set_position(&mut self, position: StorePosition) -> bool {
        let is_change = self.position != position;
        if self.position.era != position.era {
            // The registration may be missing in the backup that the service was restored from.
            self.registered = None;
        }
        self.position = position;
        self.ahead.retain(|(ahead, _)| *ahead > position);
        is_change
    }

    /// Records that this entry is registered as of a position.
    pub fn set_registered(&mut self, position: StorePosition) {
        self.registered = Some(position);
    }

    /// Returns whether this entry has read past its own registration. Another entry that uses a change before all registered
    /// ones have reported it may not know this entry until then.
    #[must_use]
    pub fn has_read_own_registration(&self) -> bool {
        self.registered
            .is_some_and(|registered| registered <= self.position)
    }

    /// Records that an own call showed that all changes up to the time `until` are known here; returns whether that is later
    /// than known before.
    pub fn confirm(&mut self, until: Duration) -> bool {
        let is_later = self.confirmed_until.is_none_or(|known| until > known);
        if is_later {
            self.confirmed_until = Some(until);
        }
        is_later
    }

    /// Takes over the report of another entry.
    pub fn on_report(&mut self, now: Duration, report: &PeerReport) {
        let position = self.peer_positions.entry(report.entry).or_default();
        *position = report.position.max(*position);
        self.add_ahead(now, report.position);
        let Some(sent_at) = report.sent_at else {
            return;
        };
        let nanoseconds = |time: Duration| i128::try_from(time.as_nanos()).unwrap_or(i128::MAX);
        let offset_ns = nanoseconds(now).saturating_sub(nanoseconds(sent_at));
        let clock = self.clocks.entry(report.boot);
        let clock = clock.or_insert_with(|| PeerClock::new(now, offset_ns));
        clock.on_message(now, offset_ns);
        // What the sender knew to be complete is complete here, too, unless it knows more.
        if report.position <= self.position
            && let Some(age) = report.confirmed_age
        {
            let until = sent_at.checked_sub(age);
            clock.complete_until = clock.complete_until.max(until);
        }
    }

    fn add_ahead(&mut self, now: Duration, position: StorePosition) {
        let newest = self
            .ahead
            .back()
            .map_or(self.position, |(newest, _)| *newest);
        if position <= newest {
            return;
        }
        let is_full = self.ahead.len() >= MAX_AHEAD;
        match self.ahead.back_mut().filter(|_| is_full) {
            // The entry then counts as behind for too long rather than too short a time.
            Some((newest, _)) => *newest = position,
            None => self.ahead.push_back((position, now)),
        }
    }

    /// Forgets the positions of entries that are not registered any more, and clocks of incarnations that fell silent long ago.
    pub fn retain(&mut self, now: Duration, registered: &BTreeSet<EntryNumber>) {
        self.peer_positions
            .retain(|entry, _| registered.contains(entry));
        self.clocks
            .retain(|_, clock| now.saturating_sub(clock.last_heard_at) < CLOCK_RETENTION);
    }

    /// Returns the time for which changes can be unknown here; `None` before the first read.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let from_peers = self
            .clocks
            .values()
            .filter_map(|clock| clock.complete_until(now));
        let until = from_peers.chain(self.confirmed_until).max()?;
        Some(now.saturating_sub(until))
    }

    /// Returns the time since an own call last showed that no change was missing here, which is what other entries may build
    /// on: a time that was learned from them would grow younger each time it is passed on.
    #[must_use]
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_until.map(|until| now.saturating_sub(until))
    }

    /// Returns the newest position that another entry reported, if it is not known here yet.
    #[must_use]
    pub fn newest_ahead(&self) -> Option<StorePosition> {
        self.ahead.back().map(|(newest, _)| *newest)
    }

    /// Returns the time for which another entry has known of a change that is unknown here; zero if there is none.
    #[must_use]
    pub fn lag(&self, now: Duration) -> Duration {
        let since = self.ahead.front().map(|(_, since)| *since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns the position that all the `others` have reached; [`StorePosition::MAX`] if there are none. An entry that was never
    /// heard has reached none.
    #[must_use]
    pub fn known_by(&self, others: &BTreeSet<EntryNumber>) -> StorePosition {
        let reached = |entry| self.peer_positions.get(entry).copied().unwrap_or_default();
        others
            .iter()
            .map(reached)
            .min()
            .unwrap_or(StorePosition::MAX)
    }
}
