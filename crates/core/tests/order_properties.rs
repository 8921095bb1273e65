//! Property tests of the order gate, the claim pages and the page decoder.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tanagerford_core::order::{
    BeginOutcome, Change, ChangeOutcome, ClaimId, DecodeError, Gate, GateAnswer, GateLimits,
    MAX_PAGE_BYTES, OrderKey, Owner, Page, PageLimits, PageNumber, Shard, StoredPage,
};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn key(number: u8) -> OrderKey {
    OrderKey::new("north", &number.to_string())
}

/// Returns owners with names of different lengths, so that a page that is full for one sidecar has room for another.
fn owner(number: usize) -> Owner {
    let server = format!("w{number}{}", "-long".repeat(10 * number));
    Owner {
        server,
        incarnation: 1,
    }
}

#[derive(Debug, Clone, Copy)]
enum GateStep {
    Begin(u8),
    Start(u8),
    Withdraw(u8),
    Fail(u8),
    Abandon(u8),
    Finish(u8),
    Lose(u8),
    Query(u8),
    Wait(u16),
    Prune,
}

fn gate_step() -> impl Strategy<Value = GateStep> {
    let key = 0..3_u8;
    prop_oneof![
        3 => key.clone().prop_map(GateStep::Begin),
        3 => key.clone().prop_map(GateStep::Start),
        1 => key.clone().prop_map(GateStep::Withdraw),
        1 => key.clone().prop_map(GateStep::Fail),
        1 => key.clone().prop_map(GateStep::Abandon),
        2 => key.clone().prop_map(GateStep::Finish),
        1 => key.clone().prop_map(GateStep::Lose),
        2 => key.prop_map(GateStep::Query),
        1 => (0..400_u16).prop_map(GateStep::Wait),
        1 => Just(GateStep::Prune),
    ]
}

/// Expected state of a key, tracked independently of the gate.
#[derive(Debug, Default)]
struct KeyHistory {
    attempts: u32,
    /// Started, and neither finished, lost nor abandoned.
    running: bool,
    done_at: Option<Duration>,
    refused_at: Option<Duration>,
    /// Sent, with the answer lost.
    lost: bool,
}

/// Claim pages of one shard in the key-value service.
#[derive(Debug, Default)]
struct Store {
    pages: BTreeMap<PageNumber, StoredPage>,
    revision: u64,
}

impl Store {
    fn view(&self) -> Shard {
        Shard::load(
            self.pages
                .iter()
                .map(|(number, stored)| (*number, stored.clone())),
        )
    }
}

#[derive(Debug, Clone, Copy)]
enum PageStep {
    Refresh(usize),
    Claim(usize, u8),
    Finish(usize, u8),
    Release(usize, u8),
    Wait(u16),
}

fn page_step() -> impl Strategy<Value = PageStep> {
    let sidecar = 0..3_usize;
    prop_oneof![
        2 => sidecar.clone().prop_map(PageStep::Refresh),
        6 => (sidecar.clone(), 0..12_u8).prop_map(|(sidecar, key)| PageStep::Claim(sidecar, key)),
        3 => (sidecar.clone(), 0..12_u8).prop_map(|(sidecar, key)| PageStep::Finish(sidecar, key)),
        2 => (sidecar, 0..12_u8).prop_map(|(sidecar, key)| PageStep::Release(sidecar, key)),
        1 => (0..50_u16).prop_map(PageStep::Wait),
    ]
}

/// Sidecars that write one shard from possibly outdated views.
struct Writers {
    store: Store,
    views: Vec<Shard>,
    sequence: u64,
    limits: PageLimits,
    now: Duration,
    /// Latest claim of each key that was not released, whether it is finished, and the time of its last change.
    claims: BTreeMap<u8, (ClaimId, bool, Duration)>,
}

impl Writers {
    /// Stages and writes one change as `sidecar`. Returns its outcome, or `None` if the write conflicted.
    fn write(&mut self, sidecar: usize, change: Change) -> Option<ChangeOutcome> {
        self.sequence += 1;
        let staged = self.views[sidecar].stage(
            &owner(sidecar),
            self.sequence,
            self.now,
            &self.limits,
            &[change],
        );
        assert!(staged.puts.len() <= self.limits.max_pages_per_write);
        if staged.puts.is_empty() {
            return Some(staged.outcomes[0]);
        }
        let revision_of = |number| {
            self.store
                .pages
                .get(&number)
                .map_or(0, |stored| stored.revision)
        };
        let puts_are_current = staged
            .puts
            .iter()
            .all(|put| revision_of(put.number) == put.base);
        let deletes_are_current = staged
            .deletes
            .iter()
            .all(|delete| revision_of(delete.number) == delete.base);
        if !puts_are_current || !deletes_are_current {
            return None;
        }
        self.store.revision += 1;
        let revision = self.store.revision;
        for delete in &staged.deletes {
            self.store.pages.remove(&delete.number);
        }
        for put in &staged.puts {
            let bytes = put.page.encode();
            let names: usize = put
                .page
                .owners
                .iter()
                .map(|owner| owner.server.len() + 20)
                .sum();
            let limit = self.limits.page_bytes + names;
            assert!(
                bytes.len() <= limit || put.page.records.len() <= 1,
                "{} bytes",
                bytes.len()
            );
            assert_eq!(Page::decode(&bytes).as_ref(), Ok(&put.page));
            self.store.pages.insert(
                put.number,
                StoredPage {
                    page: put.page.clone(),
                    revision,
                },
            );
        }
        self.views[sidecar].commit(&staged, revision);
        let known: BTreeMap<PageNumber, u64> = self.views[sidecar].revisions().collect();
        assert!(
            staged
                .puts
                .iter()
                .all(|put| known.get(&put.number) == Some(&revision))
        );
        Some(staged.outcomes[0])
    }

    fn claim(&mut self, sidecar: usize, number: u8) {
        let change = Change::Claim {
            key: key(number),
            body: 1,
            released: None,
        };
        let Some(ChangeOutcome::Claimed(attempt)) = self.write(sidecar, change) else {
            return;
        };
        if let Some((claim, done, changed_at)) = self.claims.get(&number) {
            let expired = *done && self.now >= *changed_at + self.limits.retention;
            assert!(
                expired,
                "key {number} was claimed again while {claim:?} is valid"
            );
        }
        let claim = ClaimId {
            owner: owner(sidecar),
            attempt,
        };
        self.claims.insert(number, (claim, false, self.now));
    }

    fn complete(&mut self, sidecar: usize, number: u8, done: bool) {
        let Some((claim, false, _)) = self.claims.get(&number).cloned() else {
            return;
        };
        let attempt = claim.attempt;
        let key = key(number);
        let change = if done {
            Change::Finish { key, attempt }
        } else {
            Change::Release { key, attempt }
        };
        match self.write(sidecar, change) {
            Some(ChangeOutcome::Changed) if done => {
                assert_eq!(claim.owner, owner(sidecar));
                self.claims.insert(number, (claim, true, self.now));
            }
            Some(ChangeOutcome::Changed) => {
                assert_eq!(claim.owner, owner(sidecar));
                self.claims.remove(&number);
            }
            _ => {}
        }
    }

    fn check(&self) {
        let view = self.store.view();
        assert!(
            view.page_count() <= self.limits.max_pages + 1,
            "{} pages",
            view.page_count()
        );
        for (number, (claim, done, changed_at)) in &self.claims {
            let is_retained = !done || self.now < *changed_at + self.limits.retention;
            assert!(
                !is_retained || view.is_latest_claim(&key(*number), claim),
                "the claim of key {number} was lost"
            );
        }
        let open = self
            .store
            .pages
            .values()
            .filter(|stored| !stored.page.closed)
            .count();
        assert!(open <= 1, "{open} open pages");
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// Guards against a claim that starts twice, and against a start after a query was answered with not-run.
    #[test]
    fn gate_starts_a_claim_once_and_never_after_a_refusal(steps in vec(gate_step(), 1..60)) {
        let limits = GateLimits {
            max_keys: 3,
            retention: Duration::from_secs(1_000),
            refusal_retention: Duration::from_mins(5),
        };
        let mut gate = Gate::default();
        let mut now = Duration::ZERO;
        let mut histories: BTreeMap<u8, KeyHistory> = BTreeMap::new();
        for step in steps {
            match step {
                GateStep::Wait(seconds) => now += Duration::from_secs(u64::from(seconds)),
                GateStep::Prune => gate.prune(&limits, now),
                GateStep::Withdraw(number) => gate.withdraw(&key(number)),
                GateStep::Fail(number) => gate.claim_failed(&key(number)),
                GateStep::Begin(number) => {
                    let history = histories.entry(number).or_default();
                    let began = gate.begin(&limits, now, &key(number));
                    if began == BeginOutcome::Claim {
                        prop_assert!(!history.running && !history.lost);
                        prop_assert!(history.done_at.is_none_or(|done| now >= done + limits.retention));
                        prop_assert!(history.refused_at.is_none_or(|at| now >= at + limits.refusal_retention));
                        history.refused_at = None;
                        history.done_at = None;
                    }
                }
                GateStep::Start(number) => {
                    let history = histories.entry(number).or_default();
                    history.attempts += 1;
                    let attempt = history.attempts;
                    if gate.start(now, &key(number), attempt) {
                        prop_assert!(!history.running && history.done_at.is_none() && history.refused_at.is_none());
                        history.running = true;
                    }
                    prop_assert!(!gate.start(now, &key(number), attempt), "the same claim started twice");
                }
                GateStep::Abandon(number) => {
                    if gate.abandon(&key(number)) {
                        histories.entry(number).or_default().running = false;
                    }
                }
                GateStep::Finish(number) => {
                    let history = histories.entry(number).or_default();
                    let finished = gate.finish(now, &key(number));
                    prop_assert_eq!(finished, history.running);
                    if finished {
                        history.running = false;
                        history.done_at = Some(now);
                    }
                }
                GateStep::Lose(number) => {
                    if gate.mark_answer_lost(&key(number)) {
                        let history = histories.entry(number).or_default();
                        prop_assert!(history.running);
                        history.running = false;
                        history.lost = true;
                    }
                }
                GateStep::Query(number) => {
                    let history = histories.entry(number).or_default();
                    if gate.query(now, &key(number)) == GateAnswer::NotRun {
                        prop_assert!(!history.running && !history.lost);
                        prop_assert!(history.done_at.is_none_or(|done| now >= done + limits.retention));
                        history.refused_at = Some(now);
                    }
                }
            }
        }
    }

    /// Guards against two valid claims of a key, lost claims, oversized pages and early deletion, when sidecars with
    /// outdated views write the same shard while its pages fill, close and expire.
    #[test]
    fn shard_holds_one_valid_claim_of_a_key(
        steps in vec(page_step(), 1..120),
        page_bytes in 80..400_usize,
        max_pages in 2..6_usize,
    ) {
        let limits = PageLimits {
            page_bytes,
            max_pages,
            max_pages_per_write: 3,
            retention: Duration::from_mins(1),
        };
        let mut writers = Writers {
            store: Store::default(),
            views: vec![Shard::default(); 3],
            sequence: 0,
            limits,
            now: Duration::ZERO,
            claims: BTreeMap::new(),
        };
        for step in steps {
            match step {
                PageStep::Refresh(sidecar) => writers.views[sidecar] = writers.store.view(),
                PageStep::Claim(sidecar, number) => writers.claim(sidecar, number),
                PageStep::Finish(sidecar, number) => writers.complete(sidecar, number, true),
                PageStep::Release(sidecar, number) => writers.complete(sidecar, number, false),
                PageStep::Wait(seconds) => writers.now += Duration::from_secs(u64::from(seconds)),
            }
            writers.check();
        }
    }

    /// Guards against panics and excessive allocations when the value is not a page.
    #[test]
    fn decoder_handles_arbitrary_bytes(value in vec(any::<u8>(), 0..2_000)) {
        if let Ok(page) = Page::decode(&value) {
            prop_assert!(page.owners.len() + page.records.len() <= value.len() / 2);
        }
    }

    /// Guards against panics and inconsistent pages when a few bytes of a page are corrupted or its end is missing.
    #[test]
    fn decoder_handles_corrupted_pages(
        numbers in vec(any::<u8>(), 1..40),
        damage in vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let claims: BTreeSet<u8> = numbers.into_iter().collect();
        let changes: Vec<Change> =
            claims.iter().map(|number| Change::Claim { key: key(*number), body: 1, released: None }).collect();
        let staged = Shard::default().stage(&owner(0), 1, Duration::from_secs(9), &PageLimits::default(), &changes);
        let mut value = staged.puts[0].page.encode();
        for (index, byte) in damage {
            let index = index.index(value.len());
            value[index] = byte;
        }
        for end in [value.len(), cut.index(value.len())] {
            if let Ok(page) = Page::decode(&value[..end]) {
                prop_assert!(page.owners.len() + page.records.len() <= value.len() / 2);
                prop_assert!(page.records.iter().all(|record| (record.owner as usize) < page.owners.len()));
                prop_assert!(Page::decode(&page.encode()).is_ok());
            }
        }
    }
}

/// Guards against allocations for a value that is larger than the key-value service permits.
#[test]
fn oversized_value_is_rejected_before_decoding() {
    assert_eq!(
        Page::decode(&vec![0; MAX_PAGE_BYTES + 1]),
        Err(DecodeError::TooLong)
    );
}

/// Guards against a second claim by a sidecar that was paused until all pages in its view had been deleted.
#[test]
fn view_older_than_the_retention_cannot_claim() {
    let limits = PageLimits {
        page_bytes: 1,
        retention: Duration::from_mins(1),
        ..PageLimits::default()
    };
    let mut writers = Writers {
        store: Store::default(),
        views: vec![Shard::default(); 3],
        sequence: 0,
        limits,
        now: Duration::ZERO,
        claims: BTreeMap::new(),
    };
    for number in 0..4 {
        writers.claim(0, number);
        writers.complete(0, number, true);
    }
    writers.now = Duration::from_secs(100);
    writers.claim(0, 8);
    writers.claim(0, 9);
    assert_eq!(
        writers.store.pages.keys().copied().collect::<Vec<_>>(),
        [0, 4, 5]
    );
    let change = Change::Claim {
        key: key(8),
        body: 1,
        released: None,
    };
    assert_eq!(writers.write(1, change), None);
}

/// Guards against claims that exceed the page limit of a shard.
#[test]
fn full_shard_refuses_claims_until_pages_expire() {
    let limits = PageLimits {
        page_bytes: 1,
        max_pages: 2,
        retention: Duration::from_mins(1),
        ..PageLimits::default()
    };
    let claim = |number| Change::Claim {
        key: key(number),
        body: 1,
        released: None,
    };
    let mut shard = Shard::default();
    for (number, outcome) in [
        (1, ChangeOutcome::Claimed(1)),
        (2, ChangeOutcome::Claimed(1)),
        (3, ChangeOutcome::Full),
    ] {
        let staged = shard.stage(
            &owner(0),
            u64::from(number),
            Duration::ZERO,
            &limits,
            &[claim(number)],
        );
        assert_eq!(staged.outcomes, [outcome]);
        shard.commit(&staged, u64::from(number));
    }
    let finish = Change::Finish {
        key: key(1),
        attempt: 1,
    };
    let staged = shard.stage(&owner(0), 4, Duration::ZERO, &limits, &[finish]);
    shard.commit(&staged, 4);
    let now = Duration::from_secs(61);
    let staged = shard.stage(&owner(0), 5, now, &limits, &[claim(3)]);
    assert_eq!(staged.outcomes, [ChangeOutcome::Claimed(1)]);
}
