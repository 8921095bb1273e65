//! Tests of the quarantine of prompt parts that crash backend servers, on an emulated fleet: entries that exchange their
//! suspects, servers that crash and come back, and requests that share parts.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tanagerford_core::dispatch::PartId;
use tanagerford_core::suspect_parts::{QuarantineChange, SuspectParts};

/// Requests with a deadly part that may reach servers long after the fifth crash, as the platform's rules state it.
const MAX_LATE_REQUESTS: u32 = 3;
/// Time after the fifth crash from which they count.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Smallest share of the sound requests that must be sent while the deadly ones come.
const MIN_SOUND_SHARE: f64 = 0.5;

const STEP: Duration = Duration::from_millis(10);
/// Time from sending a request to the first byte of its answer, at which a deadly part crashes the server.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(400);
const ANSWER_TIME: Duration = Duration::from_millis(1_500);
const RESTART_TIME: Duration = Duration::from_secs(3);
const SUMMARY_INTERVAL: Duration = Duration::from_millis(300);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[derive(Debug, Clone)]
struct Request {
    parts: Vec<PartId>,
    entry: usize,
    server: usize,
    sent_at: Duration,
}

/// Load and faults of one run.
struct Scenario {
    seed: u64,
    entries: usize,
    servers: usize,
    requests_per_s: f64,
    /// Number of different parts at each position of a prompt.
    variants: Vec<u64>,
    /// Deadly parts, each with the share of the requests that hold it and its position.
    deadly: Vec<(PartId, f64, usize)>,
    /// Time from which requests hold deadly parts.
    deadly_from: Duration,
    /// Crashes for another reason: time and number of servers.
    other_crashes: Vec<(Duration, usize)>,
    /// Entries that receive no summaries before this time, from the given one on.
    cut_off: Option<(usize, Duration)>,
    length: Duration,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 12,
            servers: 12,
            requests_per_s: 40.0,
            variants: vec![4, 270],
            deadly: vec![],
            deadly_from: Duration::ZERO,
            other_crashes: vec![],
            cut_off: None,
            length: ms(25_000),
        }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Crashes and requests sent late, by deadly part.
    crashes: BTreeMap<PartId, u32>,
    late_requests: BTreeMap<PartId, u32>,
    sound: u32,
    sound_refused: u32,
    /// Sound parts that were quarantined at some entry.
    wrongly_quarantined: Vec<PartId>,
}

impl Outcome {
    fn sound_share(&self) -> f64 {
        1.0 - f64::from(self.sound_refused) / f64::from(self.sound)
    }

    fn check(&self) {
        for (part, late) in &self.late_requests {
            assert!(
                *late <= MAX_LATE_REQUESTS,
                "{late} late requests with part {part}: {self:?}"
            );
        }
        assert!(self.sound_share() >= MIN_SOUND_SHARE, "{self:?}");
    }
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    random: Pcg64,
    entries: Vec<SuspectParts>,
    /// Time from which a server works, and the number of its crashes.
    servers: Vec<(Duration, u64)>,
    running: Vec<Request>,
    fifth_crashes: BTreeMap<PartId, Duration>,
    outcome: Outcome,
}

impl Fleet<'_> {
    fn run(scenario: &Scenario) -> Outcome {
        let mut fleet = Fleet {
            scenario,
            random: Pcg64::seed_from_u64(scenario.seed),
            entries: (0..scenario.entries)
                .map(|_| SuspectParts::default())
                .collect(),
            servers: vec![(Duration::ZERO, 0); scenario.servers],
            running: Vec::new(),
            fifth_crashes: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        let mut now = Duration::ZERO;
        while now < scenario.length {
            now += STEP;
            fleet.send_requests(now);
            fleet.answer_requests(now);
            fleet.crash_for_other_reasons(now);
            if now.as_millis().is_multiple_of(SUMMARY_INTERVAL.as_millis()) {
                fleet.exchange(now);
            }
        }
        fleet.outcome
    }

    fn deadly_part(&self, parts: &[PartId]) -> Option<PartId> {
        let mut deadly = self.scenario.deadly.iter().map(|(part, ..)| *part);
        deadly.find(|part| parts.contains(part))
    }

    fn send_requests(&mut self, now: Duration) {
        let expected = self.scenario.requests_per_s * STEP.as_secs_f64();
        if !self.random.random_bool(expected.min(1.0)) {
            return;
        }
        let variants = (1..).zip(&self.scenario.variants);
        let mut parts: Vec<PartId> = variants
            .map(|(position, count)| position * 10_000 + self.random.random_range(0..*count))
            .collect();
        for (part, share, position) in &self.scenario.deadly {
            if now >= self.scenario.deadly_from && self.random.random_bool(*share) {
                parts.insert(*position, *part);
                break;
            }
        }
        let entry = self.random.random_range(0..self.entries.len());
        let deadly = self.deadly_part(&parts);
        let is_refused = self.entries[entry].quarantined_part(now, &parts).is_some();
        match deadly {
            None => {
                self.outcome.sound += 1;
                self.outcome.sound_refused += u32::from(is_refused);
            }
            Some(part) => {
                let fifth = self.fifth_crashes.get(&part);
                let is_late = fifth.is_some_and(|fifth| now > *fifth + STABLE_TIME);
                *self.outcome.late_requests.entry(part).or_default() +=
                    u32::from(is_late && !is_refused);
            }
        }
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].0 <= now)
            .collect();
        if is_refused || up.is_empty() {
            return;
        }
        let server = up[self.random.random_range(0..up.len())];
        self.running.push(Request {
            parts,
            entry,
            server,
            sent_at: now,
        });
    }

    fn answer_requests(&mut self, now: Duration) {
        let deadly_first_bytes: Vec<(PartId, usize)> = self
            .running
            .iter()
            .filter(|request| now >= request.sent_at + FIRST_BYTE_TIME)
            .filter_map(|request| Some((self.deadly_part(&request.parts)?, request.server)))
            .collect();
        for (part, server) in deadly_first_bytes {
            // The crash for an earlier request of this step ended this one, too.
            if self.servers[server].0 > now {
                continue;
            }
            let crashes = self.outcome.crashes.entry(part).or_default();
            *crashes += 1;
            if *crashes == 5 {
                self.fifth_crashes.insert(part, now);
            }
            self.crash(now, server);
        }
        let (complete, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| now >= request.sent_at + ANSWER_TIME);
        self.running = running;
        for request in complete {
            let changes = self.entries[request.entry].on_complete_answer(now, &request.parts);
            self.record(&changes);
        }
    }

    fn crash(&mut self, now: Duration, server: usize) {
        let (up_at, crashes) = &mut self.servers[server];
        *up_at = now + RESTART_TIME;
        *crashes += 1;
        let crash_id = u64::try_from(server).unwrap() << 32 | *crashes;
        let (lost, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.server == server);
        self.running = running;
        for entry in 0..self.entries.len() {
            let own = lost.iter().filter(|request| request.entry == entry);
            let parts = own.flat_map(|request| request.parts.iter().copied());
            let changes = self.entries[entry].on_crash(now, crash_id, parts);
            self.record(&changes);
        }
    }

    fn crash_for_other_reasons(&mut self, now: Duration) {
        let due: Vec<usize> = self
            .scenario
            .other_crashes
            .iter()
            .filter(|(at, _)| *at == now)
            .map(|(_, count)| *count)
            .collect();
        for count in due {
            let up: Vec<usize> = (0..self.servers.len())
                .filter(|server| self.servers[*server].0 <= now)
                .collect();
            for server in up.into_iter().take(count) {
                self.crash(now, server);
            }
        }
    }

    fn exchange(&mut self, now: Duration) {
        let summaries: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.summary(now))
            .collect();
        for receiver in 0..self.entries.len() {
            for (sender, summary) in summaries.iter().enumerate() {
                let is_cut = self.scenario.cut_off.is_some_and(|(first, until)| {
                    now < until && (sender >= first) != (receiver >= first)
                });
                if sender != receiver && !is_cut {
                    let changes = self.entries[receiver].merge(now, summary);
                    self.record(&changes);
                }
            }
        }
    }

    fn record(&mut self, changes: &[QuarantineChange]) {
        for change in changes {
            if let QuarantineChange::Began(part) = change
                && self.deadly_part(&[*part]).is_none()
            {
                self.outcome.wrongly_quarantined.push(*part);
            }
        }
    }
}

/// Guards against a part that crashes one server after the other because no two requests with it are alike.
#[test]
fn deadly_part_is_quarantined_wherever_it_stands_in_the_prompt() {
    for position in 0..3 {
        for seed in 1..=5 {
            let outcome = Fleet::run(&Scenario {
                seed,
                deadly: vec![(66, 0.05, position)],
                ..Scenario::default()
            });
            outcome.check();
            assert!(outcome.crashes[&66] >= 3);
        }
    }
}

/// Guards against parts that all requests share being quarantined in place of the deadly ones, while servers crash so fast that
/// no answer is complete any more.
#[test]
fn deadly_parts_are_quarantined_while_most_servers_crash() {
    for seed in 1..=5 {
        let outcome = Fleet::run(&Scenario {
            seed,
            entries: 40,
            servers: 50,
            requests_per_s: 100.0,
            variants: vec![4, 80],
            // The deadly requests begin when the others have been answered for a while.
            deadly: vec![(66, 0.08, 1), (77, 0.06, 1)],
            deadly_from: ms(5_000),
            ..Scenario::default()
        });
        outcome.check();
        assert!(
            !outcome
                .wrongly_quarantined
                .iter()
                .any(|part| *part < 20_000),
            "{outcome:?}"
        );
    }
}

/// Guards against a second deadly part that hides behind the first.
#[test]
fn two_deadly_parts_at_once_are_quarantined() {
    for seed in 1..=5 {
        let outcome = Fleet::run(&Scenario {
            seed,
            deadly: vec![(66, 0.05, 1), (77, 0.03, 1)],
            ..Scenario::default()
        });
        outcome.check();
        assert_eq!(outcome.crashes.len(), 2);
    }
}

/// Guards against a deadly part that stays unknown while crashes for another reason happen all the time.
#[test]
fn deadly_part_is_quarantined_among_crashes_for_another_reason() {
    for seed in 1..=5 {
        let outcome = Fleet::run(&Scenario {
            seed,
            deadly: vec![(66, 0.05, 1)],
            other_crashes: (1..15).map(|number| (ms(number * 1_400), 1)).collect(),
            ..Scenario::default()
        });
        outcome.check();
    }
}

/// Guards against sound parts that are quarantined because servers crash for another reason: a rack that loses power, a
/// release, or servers that go down again and again.
#[test]
fn shared_parts_stay_allowed_when_servers_crash_for_another_reason() {
    let rack = vec![(ms(5_000), 6), (ms(12_000), 6)];
    let release = (0..12).map(|number| (ms(4_000 + number * 700), 1));
    let flapping = (1..15).map(|number| (ms(number * 1_400), 1));
    for other_crashes in [rack, release.collect(), flapping.collect()] {
        for seed in 1..=5 {
            let outcome = Fleet::run(&Scenario {
                seed,
                // Parts that all requests share, parts that some share, and parts that few share.
                variants: vec![2, 40, 400],
                other_crashes: other_crashes.clone(),
                ..Scenario::default()
            });
            outcome.check();
            // Of the parts that few requests share, one can meet three crashes and no complete answer.
            let is_rare = |part: &PartId| *part >= 30_000;
            assert!(
                outcome.wrongly_quarantined.iter().all(is_rare),
                "seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against entries that learn of a deadly part only from their own calls: each of them would see five crashes.
#[test]
fn entries_that_were_cut_off_or_join_later_know_the_deadly_part() {
    for seed in 1..=5 {
        // The last entry hears from the others when the crashes are long over.
        let outcome = Fleet::run(&Scenario {
            seed,
            deadly: vec![(66, 0.05, 1)],
            cut_off: Some((11, ms(12_000))),
            ..Scenario::default()
        });
        assert!(outcome.crashes[&66] <= 12, "{outcome:?}");
        assert!(outcome.sound_share() >= MIN_SOUND_SHARE);
    }
    let mut suspects = crashed_three_times(&[10, 66]);
    suspects.on_complete_answer(ms(3_500), &[10]);
    // Ten minutes of silence have not passed, and the summary still names the part.
    for now in [ms(4_000), ms(20_500), ms(300_500)] {
        let summaries = (0..50).map(|step| suspects.summary(now + ms(step * 100)));
        let mut joined = SuspectParts::default();
        // The clock of the new entry starts at another time.
        for summary in summaries {
            joined.merge(ms(100), &summary);
        }
        assert_eq!(joined.quarantined_part(ms(200), &[10, 66]), Some(66));
        assert_eq!(joined.quarantined_part(ms(200), &[10, 11]), None);
    }
}

/// Returns suspects after three crashes of requests with these parts, at 1, 2 and 3 s.
fn crashed_three_times(parts: &[PartId]) -> SuspectParts {
    let mut suspects = SuspectParts::default();
    for crash in 1..=3 {
        suspects.on_crash(ms(crash * 1_000), crash, parts.iter().copied());
    }
    suspects
}

/// Guards against companions of a deadly part, which many requests of a crashed batch hold, being refused with it.
#[test]
fn the_companion_of_a_deadly_part_stays_allowed() {
    let mut suspects = SuspectParts::default();
    let now = |crash: u64| ms(crash * 1_000);
    for crash in 1..=6 {
        // Part 20 comes with the deadly part in four of six requests, and no request with it has been answered.
        let parts = if crash <= 4 { vec![20, 66] } else { vec![66] };
        let batch = parts.into_iter().chain([30 + crash, 40 + crash]);
        suspects.on_crash(now(crash), crash, batch);
    }
    assert_eq!(suspects.quarantined(now(7)), [66]);
}

/// Guards against a crash that counts for each entry that reports it, and against servers that fail at once and count
/// separately.
#[test]
fn crashes_at_the_same_time_count_once() {
    let mut suspects = SuspectParts::default();
    for crash in 1..=8 {
        for _ in 0..3 {
            suspects.on_crash(ms(1_000 + crash), crash, [10]);
        }
    }
    assert!(suspects.quarantined(ms(1_100)).is_empty());
}

/// Guards against a part that answers have proved sound, and that a few servers which fail at about the same time convict.
#[test]
fn a_part_that_an_answer_has_cleared_needs_four_separate_crashes() {
    let mut suspects = SuspectParts::default();
    suspects.on_crash(ms(1_000), 1, [10]);
    suspects.on_complete_answer(ms(1_500), &[10]);
    let crashes = (2..).zip([2_000, 2_100, 2_200, 3_100, 4_200, 5_300]);
    let quarantined_after: Vec<u64> = crashes
        .filter(|(crash, at)| {
            suspects.on_crash(ms(*at), *crash, [10]);
            !suspects.quarantined(ms(*at)).is_empty()
        })
        .map(|(_, at)| at)
        .collect();
    assert_eq!(quarantined_after, [5_300]);
}

/// Guards against a part that stays refused after its fault is mended, and against a single complete answer that does not
/// count.
#[test]
fn a_part_recovers_with_time_or_with_a_complete_answer() {
    let suspects = crashed_three_times(&[66]);
    assert_eq!(suspects.quarantined_part(ms(599_000), &[66]), Some(66));
    assert_eq!(suspects.quarantined_part(ms(602_000), &[66]), None);
    let mut suspects = crashed_three_times(&[66]);
    let changes = suspects.on_complete_answer(ms(3_100), &[66]);
    assert_eq!(changes, [QuarantineChange::Ended(66)]);
    assert_eq!(suspects.quarantined_part(ms(3_200), &[66]), None);
}

/// Guards against a table that grows without bound, and against a quarantined part that is displaced by a flood of others.
#[test]
fn the_table_is_bounded_and_keeps_quarantined_parts() {
    let mut suspects = crashed_three_times(&[66]);
    for crash in 4..=100 {
        let parts = (0..50).map(|part| crash * 1_000 + part);
        suspects.on_crash(ms(crash * 1_000), crash, parts);
    }
    let now = ms(101_000);
    assert_eq!(suspects.quarantined(now), [66]);
    assert!(suspects.len() <= 1_024, "{} parts", suspects.len());
    assert_eq!(suspects.summary(ms(100_500)).len(), 32);
    assert_eq!(suspects.summary(ms(100_500))[0].fingerprint, 66);
}
