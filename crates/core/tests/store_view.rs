//! Properties of the time for which changes of the key-value service can be unknown to an entry.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::store_position::StorePosition;
use tanagerford_core::store_view::{PeerReport, StoreView};

const ENTRIES: usize = 3;
const START: Duration = Duration::from_secs(100);
/// Delay of the fastest message between two entries.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Part of the time since the fastest message by which the clocks may have drifted apart, as the view has to assume.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// Event in a system whose answers and messages arrive late and in any order.
#[derive(Debug, Clone)]
enum Step {
    /// The service changes.
    Change,
    /// An entry asks the service, which answers at once.
    Ask(usize),
    /// One of the answers on the way arrives.
    Answer(usize),
    /// An entry sends a report to all others.
    Report(usize),
    /// One of the reports on the way arrives.
    Deliver(usize),
    /// Milliseconds pass.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Change),
        2 => (0..ENTRIES).prop_map(Step::Ask),
        3 => any::<usize>().prop_map(Step::Answer),
        2 => (0..ENTRIES).prop_map(Step::Report),
        4 => any::<usize>().prop_map(Step::Deliver),
        4 => (1..1_500_u64).prop_map(Step::Wait),
    ]
}

/// Answer of the service to an entry, with the time of the question by the clock of the entry.
struct Answer {
    entry: usize,
    asked_at: Duration,
    position: StorePosition,
}

struct System {
    now: Duration,
    /// Times of the changes of the service; the position is their number.
    changes: Vec<Duration>,
    views: Vec<StoreView>,
    answers: Vec<Answer>,
    /// Reports on the way, with their receivers.
    reports: Vec<(usize, PeerReport)>,
}

impl System {
    /// Creates a system in which each entry has heard the others with [`MIN_DELAY`] for long enough to know their clocks.
    fn new() -> Self {
        let mut system = Self {
            now: START,
            changes: Vec::new(),
            views: (0..ENTRIES).map(|_| StoreView::default()).collect(),
            answers: Vec::new(),
            reports: Vec::new(),
        };
        for _ in 0..4 {
            (0..ENTRIES).for_each(|entry| system.report(entry));
            system.now += MIN_DELAY;
            while !system.reports.is_empty() {
                system.deliver(0);
            }
            system.now += Duration::from_secs(1);
        }
        system
    }

    /// Returns the time by the clock of an entry. The clocks start at different times.
    fn clock(&self, entry: usize) -> Duration {
        self.now + Duration::from_secs([7, 0, 5_000][entry])
    }

    fn position(&self) -> StorePosition {
        let revision = u64::try_from(self.changes.len()).unwrap();
        StorePosition { era: 0, revision }
    }

    fn report(&mut self, entry: usize) {
        let view = &self.views[entry];
        let report = PeerReport {
            entry: u64::try_from(entry).unwrap(),
            boot: u64::try_from(entry).unwrap(),
            sent_at: Some(self.clock(entry)),
            position: view.position(),
            confirmed_age: view.confirmed_age(self.clock(entry)),
        };
        let receivers = (0..ENTRIES).filter(|receiver| *receiver != entry);
        self.reports
            .extend(receivers.map(|receiver| (receiver, report)));
    }

    fn deliver(&mut self, index: usize) {
        if self.reports.is_empty() {
            return;
        }
        let (receiver, report) = self.reports.swap_remove(index % self.reports.len());
        let now = self.clock(receiver);
        self.views[receiver].on_report(now, &report);
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Change => self.changes.push(self.now),
            Step::Ask(entry) => self.answers.push(Answer {
                entry: *entry,
                asked_at: self.clock(*entry),
                position: self.position(),
            }),
            Step::Answer(index) if !self.answers.is_empty() => {
                let answer = self.answers.swap_remove(index % self.answers.len());
                let view = &mut self.views[answer.entry];
                view.set_position(answer.position.max(view.position()));
                view.confirm(answer.asked_at);
            }
            Step::Answer(_) => {}
            Step::Report(entry) => self.report(*entry),
            Step::Deliver(index) => self.deliver(*index),
            Step::Wait(ms) => self.now += Duration::from_millis(*ms),
        }
    }

    /// Asserts that each change which an entry does not know is younger than the time for which it expects such changes.
    fn check(&self) {
        for (entry, view) in self.views.iter().enumerate() {
            let Some(age) = view.age(self.clock(entry)) else {
                continue;
            };
            let known = usize::try_from(view.position().revision).unwrap();
            if let Some(unknown_since) = self.changes.get(known) {
                let since = self.now.saturating_sub(*unknown_since);
                let drift = self.now.saturating_sub(START).mul_f64(MAX_CLOCK_DRIFT);
                assert!(
                    since <= age + MIN_DELAY + drift,
                    "entry {entry} takes its copy to be {age:?} old; a change is unknown for {since:?}"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 5_000, ..ProptestConfig::default() })]

    /// Guards against a copy that counts as newer than it is, by answers and messages that arrive late or by a time that entries
    /// learn from each other.
    #[test]
    fn no_older_change_is_unknown(steps in prop::collection::vec(step(), 1..80)) {
        let mut system = System::new();
        for step in &steps {
            system.apply(step);
            system.check();
        }
    }
}

fn report(entry: u64, revision: u64) -> PeerReport {
    PeerReport {
        entry,
        boot: entry,
        sent_at: Some(Duration::from_secs(50)),
        position: StorePosition { era: 0, revision },
        confirmed_age: Some(Duration::ZERO),
    }
}

/// Guards against an entry that counts as up to date with each change it reads, although others know ever newer ones.
#[test]
fn an_entry_that_follows_too_slowly_lags() {
    let mut view = StoreView::default();
    for second in 1..=10 {
        view.on_report(Duration::from_secs(second), &report(1, 2 * second));
        let revision = second;
        view.set_position(StorePosition { era: 0, revision });
    }
    // Of the reports, those up to position 10 are known, which was reported after five seconds.
    assert_eq!(view.lag(Duration::from_secs(10)), Duration::from_secs(4));
    view.set_position(StorePosition {
        era: 0,
        revision: 20,
    });
    assert_eq!(view.lag(Duration::from_secs(10)), Duration::ZERO);
    assert_eq!(view.newest_ahead(), None);
}

/// Guards against an entry that trusts the clock of another one whose first message waited while the entry was frozen.
#[test]
fn the_first_messages_of_an_incarnation_confirm_nothing() {
    let mut view = StoreView::default();
    view.on_report(Duration::from_secs(10), &report(1, 0));
    assert_eq!(view.age(Duration::from_secs(11)), None);
    assert_eq!(
        view.age(Duration::from_secs(12)),
        Some(Duration::from_secs(2))
    );
}

/// Guards against a position that counts as known by all although a registered entry was never heard, or is older there.
#[test]
fn a_position_is_known_by_all_once_each_entry_reported_it() {
    let mut view = StoreView::default();
    view.set_position(StorePosition {
        era: 0,
        revision: 9,
    });
    let others = BTreeSet::from([1, 2]);
    let now = Duration::from_secs(1);
    let mut known = HashMap::new();
    for (step, (entry, revision)) in [(1, 8), (2, 5), (2, 9), (1, 12)].into_iter().enumerate() {
        view.on_report(now, &report(entry, revision));
        known.insert(step, view.known_by(&others).revision);
    }
    assert_eq!(known, HashMap::from([(0, 0), (1, 5), (2, 8), (3, 9)]));
    assert_eq!(view.known_by(&BTreeSet::new()), StorePosition::MAX);
}
