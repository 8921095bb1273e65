//! Model check of the order protocol: exhaustive search over the steps of two callers, two sidecars that both assume
//! that they own a shard, the key-value service and the backend servers, with faults as steps. The steps call the
//! transition functions of `tanagerford_core::order`.
//!
//! Like a TCP connection, a link delivers a submitted order at most once and only to the incarnation to which it was
//! opened. A submitted order may arrive later than a query over a newer link.

mod explore;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use explore::{Edge, explore, shortest_trace};
use tanagerford_core::order::{
    BeginOutcome, Change, ChangeOutcome, ClaimId, Gate, GateAnswer, GateLimits, LookupOutcome,
    OrderKey, Owner, PageLimits, PageNumber, RecordState, Settlement, Shard, Staged, StoredPage,
    WriteOutcome, lookup, resolve_write,
};

const NOW: Duration = Duration::ZERO;
const SERVERS: [&str; 2] = ["a", "b"];
const BODY: u64 = 1;

/// Deliberate defects, each of which must violate an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A query is answered without recording the refusal.
    QueryWithoutRefusal,
    /// A write whose response is lost is treated as applied.
    LostAnswerTrusted,
    /// Pages are written without comparing their revision.
    WriteWithoutCompare,
    /// A claim is replaced without querying its owner.
    MoveWithoutQuery,
    /// A query may be answered by a later incarnation.
    IncarnationIgnored,
    /// An operator settles a claim whose owner is running.
    SettleAlive,
    /// Not-run is reported at the deadline although the claim stays queued.
    DeadlineKeepsClaim,
    /// A write whose response was lost is not resent.
    NeverResent,
    /// Settling an order as run makes the gate treat it as not run.
    SettledAsRunForgotten,
}

#[derive(Debug, Clone, Copy)]
struct Spec {
    defect: Defect,
    limits: PageLimits,
    faults: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Reply {
    Answered,
    NotRun,
    Unknown,
}

/// State of a request at the entry that received it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Request {
    New,
    /// Submitted to this incarnation.
    Submitted(Owner),
    /// The link was lost after the request was submitted.
    LinkLost(Owner),
    /// Another sidecar has claimed the order.
    ClaimedElsewhere(ClaimId),
    /// The owner of the claim answered a query with not-run.
    Released(ClaimId),
    Replied(Reply),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Send,
    ReadBack,
    Reconcile,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Batch {
    staged: Staged,
    changes: Vec<(Option<u8>, Change)>,
    phase: Phase,
    is_uncertain: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sidecar {
    owner: Owner,
    is_up: bool,
    view: Option<Shard>,
    gate: Gate,
    queue: Vec<(Option<u8>, Change)>,
    batch: Option<Batch>,
    sequence: u64,
    /// Requests that wait for an order that is being claimed or is running.
    waiting: BTreeSet<u8>,
    /// Request of the started order, and whether it was sent to the backend server.
    call: Option<(u8, bool)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    store: BTreeMap<PageNumber, StoredPage>,
    revision: u64,
    /// Write that is delayed in the network.
    delayed_write: Option<Staged>,
    sidecars: [Sidecar; 2],
    requests: [Request; 2],
    /// Submitted orders that have not arrived.
    submissions: BTreeSet<(u8, Owner, Option<ClaimId>)>,
    /// Number of executions that each request caused.
    effects: [u8; 2],
    faults_left: u8,
}

fn key() -> OrderKey {
    OrderKey::new("north", "burn")
}

fn index_of(owner: &Owner) -> usize {
    usize::from(owner.server == SERVERS[1])
}

impl Sidecar {
    fn new(server: &str, incarnation: u64) -> Self {
        Self {
            owner: Owner {
                server: server.into(),
                incarnation,
            },
            is_up: true,
            view: None,
            gate: Gate::default(),
            queue: Vec::new(),
            batch: None,
            sequence: 0,
            waiting: BTreeSet::new(),
            call: None,
        }
    }

    fn runs_as(&self, owner: &Owner) -> bool {
        self.is_up && self.owner == *owner
    }
}

impl World {
    fn new(spec: &Spec) -> Self {
        let mut sidecars = SERVERS.map(|server| Sidecar::new(server, 1));
        for sidecar in &mut sidecars {
            sidecar.view = Some(Shard::default());
        }
        Self {
            store: BTreeMap::new(),
            revision: 0,
            delayed_write: None,
            sidecars,
            requests: [Request::New, Request::New],
            submissions: BTreeSet::new(),
            effects: [0, 0],
            faults_left: spec.faults,
        }
    }

    fn is_gone(&self, owner: &Owner) -> bool {
        !self.sidecars[index_of(owner)].runs_as(owner)
    }

    fn commit(&mut self, spec: &Spec, staged: &Staged) -> bool {
        let revision_of = |number| self.store.get(&number).map_or(0, |stored| stored.revision);
        let is_current = staged
            .puts
            .iter()
            .all(|put| revision_of(put.number) == put.base);
        if !is_current && spec.defect != Defect::WriteWithoutCompare {
            return false;
        }
        self.revision += 1;
        for put in &staged.puts {
            let stored = StoredPage {
                page: put.page.clone(),
                revision: self.revision,
            };
            self.store.insert(put.number, stored);
        }
        true
    }

    /// Delivers a result to the caller unless its link was lost.
    fn deliver(&mut self, request: u8, by: usize, next: Request) {
        let state = &mut self.requests[usize::from(request)];
        if *state == Request::Submitted(self.sidecars[by].owner.clone()) {
            *state = next;
        }
    }

    fn submit(&mut self, request: u8, to: usize, released: Option<ClaimId>) {
        let owner = self.sidecars[to].owner.clone();
        self.requests[usize::from(request)] = Request::Submitted(owner.clone());
        self.submissions.insert((request, owner, released));
    }

    /// Looks up a submitted order at a sidecar and executes the decision.
    fn process_order(&mut self, spec: &Spec, request: u8, at: usize, released: Option<&ClaimId>) {
        let sidecar = &self.sidecars[at];
        let Some(view) = &sidecar.view else {
            self.sidecars[at].waiting.insert(request);
            return;
        };
        let is_gone = |owner: &Owner| self.is_gone(owner);
        let mut found = lookup(
            &sidecar.owner,
            view,
            &sidecar.gate,
            &key(),
            BODY,
            released,
            is_gone,
        );
        if let (Defect::MoveWithoutQuery, LookupOutcome::ClaimedElsewhere(claim)) =
            (spec.defect, &found)
        {
            found = LookupOutcome::Claim(Some(claim.clone()));
        }
        match found {
            LookupOutcome::Claim(released) => self.begin(request, at, released),
            LookupOutcome::Wait => {
                self.sidecars[at].waiting.insert(request);
            }
            LookupOutcome::Answered => self.deliver(request, at, Request::Replied(Reply::Answered)),
            LookupOutcome::ClaimedElsewhere(claim) => {
                self.deliver(request, at, Request::ClaimedElsewhere(claim));
            }
            LookupOutcome::BodyMismatch
            | LookupOutcome::AnswerLost
            | LookupOutcome::CallLost
            | LookupOutcome::OwnerGone
            | LookupOutcome::SettledRan => {
                self.deliver(request, at, Request::Replied(Reply::Unknown));
            }
        }
    }

    fn begin(&mut self, request: u8, at: usize, released: Option<ClaimId>) {
        let sidecar = &mut self.sidecars[at];
        match sidecar.gate.begin(&GateLimits::default(), NOW, &key()) {
            BeginOutcome::Claim => {
                let claim = Change::Claim {
                    key: key(),
                    body: BODY,
                    released,
                };
                sidecar.queue.push((Some(request), claim));
            }
            BeginOutcome::Busy => {
                sidecar.waiting.insert(request);
            }
            BeginOutcome::Lost => self.deliver(request, at, Request::Replied(Reply::Unknown)),
            BeginOutcome::Done => self.deliver(request, at, Request::Replied(Reply::Answered)),
            BeginOutcome::Refused | BeginOutcome::Full => {
                self.deliver(request, at, Request::Replied(Reply::NotRun));
            }
        }
    }

    fn retry_waiting(&mut self, spec: &Spec, at: usize) {
        for request in std::mem::take(&mut self.sidecars[at].waiting) {
            self.process_order(spec, request, at, None);
        }
    }

    fn read_shard(&mut self, at: usize) {
        let pages = self
            .store
            .iter()
            .map(|(number, stored)| (*number, stored.clone()));
        self.sidecars[at].view = Some(Shard::load(pages));
    }

    /// Applies the outcomes of written changes.
    fn apply_outcomes(
        &mut self,
        spec: &Spec,
        at: usize,
        changes: Vec<((Option<u8>, Change), ChangeOutcome)>,
    ) {
        for ((request, change), outcome) in changes {
            let sidecar = &mut self.sidecars[at];
            match outcome {
                ChangeOutcome::Claimed(attempt) => {
                    if sidecar.gate.start(NOW, &key(), attempt) {
                        sidecar.call = request.map(|request| (request, false));
                    } else {
                        sidecar.queue.push((
                            None,
                            Change::Release {
                                key: key(),
                                attempt,
                            },
                        ));
                    }
                }
                ChangeOutcome::Exists | ChangeOutcome::Full => {
                    sidecar.gate.claim_failed(&key());
                    if let Some(request) = request {
                        self.process_order(spec, request, at, None);
                    }
                }
                ChangeOutcome::Deferred => sidecar.queue.insert(0, (request, change)),
                ChangeOutcome::Changed | ChangeOutcome::NoEffect => {
                    if let (ChangeOutcome::Changed, Change::Settle { settlement, .. }) =
                        (outcome, change)
                    {
                        let settlement = if spec.defect == Defect::SettledAsRunForgotten {
                            Settlement::NotRun
                        } else {
                            settlement
                        };
                        sidecar.gate.settle(&key(), settlement);
                    }
                }
            }
        }
        self.retry_waiting(spec, at);
    }

    fn requeue(&mut self, at: usize, changes: Vec<(Option<u8>, Change)>) {
        let sidecar = &mut self.sidecars[at];
        let mut queue = Vec::new();
        for (request, change) in changes {
            if matches!(change, Change::Claim { .. }) && !sidecar.gate.is_claiming(&key()) {
                sidecar.gate.claim_failed(&key());
            } else {
                queue.push((request, change));
            }
        }
        queue.append(&mut sidecar.queue);
        sidecar.queue = queue;
    }

    fn apply(&mut self, spec: &Spec, at: usize, batch: Batch, revision: u64) {
        if let Some(view) = &mut self.sidecars[at].view {
            view.commit(&batch.staged, revision);
        }
        let changes = batch
            .changes
            .into_iter()
            .zip(batch.staged.outcomes)
            .collect();
        self.apply_outcomes(spec, at, changes);
    }

    fn reconcile(&mut self, spec: &Spec, at: usize, batch: Batch) {
        self.read_shard(at);
        let mut started = Vec::new();
        let mut unapplied = Vec::new();
        for ((request, change), outcome) in batch.changes.into_iter().zip(batch.staged.outcomes) {
            let sidecar = &self.sidecars[at];
            let is_latest = |attempt| {
                let claim = ClaimId {
                    owner: sidecar.owner.clone(),
                    attempt,
                };
                sidecar
                    .view
                    .as_ref()
                    .is_some_and(|view| view.is_latest_claim(&key(), &claim))
            };
            if matches!(outcome, ChangeOutcome::Claimed(attempt) if is_latest(attempt)) {
                started.push(((request, change), outcome));
            } else {
                unapplied.push((request, change));
            }
        }
        self.requeue(at, unapplied);
        self.apply_outcomes(spec, at, started);
    }

    /// Cancels a request at its deadline.
    fn expire(&mut self, spec: &Spec, request: u8, at: usize) {
        let sidecar = &mut self.sidecars[at];
        let queued = sidecar
            .queue
            .iter()
            .position(|(queued, _)| *queued == Some(request));
        let answer = if let Some(position) = queued {
            if spec.defect != Defect::DeadlineKeepsClaim {
                sidecar.queue.remove(position);
                sidecar.gate.claim_failed(&key());
            }
            Reply::NotRun
        } else if sidecar.waiting.remove(&request) {
            if sidecar.gate.is_busy(&key()) {
                Reply::Unknown
            } else {
                Reply::NotRun
            }
        } else {
            sidecar.gate.withdraw(&key());
            Reply::Unknown
        };
        self.deliver(request, at, Request::Replied(answer));
        self.retry_waiting(spec, at);
    }
}

/// Collects the steps from one state.
struct Steps<'a> {
    spec: &'a Spec,
    world: &'a World,
    edges: Vec<Edge<World>>,
}

impl Steps<'_> {
    fn add(&mut self, label: impl Into<String>, change: impl FnOnce(&mut World)) {
        let mut next = self.world.clone();
        change(&mut next);
        self.edges.push(Edge {
            label: label.into(),
            is_fault: false,
            next,
        });
    }

    fn add_fault(&mut self, label: impl Into<String>, change: impl FnOnce(&mut World)) {
        if self.world.faults_left == 0 {
            return;
        }
        let mut next = self.world.clone();
        next.faults_left -= 1;
        change(&mut next);
        self.edges.push(Edge {
            label: label.into(),
            is_fault: true,
            next,
        });
    }

    fn caller(&mut self, request: u8) {
        match &self.world.requests[usize::from(request)] {
            Request::New => self.submit(request, None),
            Request::Released(claim) => self.submit(request, Some(claim)),
            Request::Submitted(owner) => {
                if self.world.is_gone(owner) {
                    self.add(format!("caller {request}: link lost"), |world| {
                        world.lose_link(request, owner);
                    });
                } else {
                    self.add_fault(format!("caller {request}: link lost"), |world| {
                        world.lose_link(request, owner);
                    });
                }
            }
            Request::LinkLost(owner) => self.query(request, owner, None),
            Request::ClaimedElsewhere(claim) => self.query(request, &claim.owner, Some(claim)),
            Request::Replied(_) => {}
        }
    }

    fn submit(&mut self, request: u8, released: Option<&ClaimId>) {
        for (to, server) in SERVERS.into_iter().enumerate() {
            if self.world.sidecars[to].is_up {
                let label = format!("caller {request}: submit to {server}");
                self.add(label, |world| world.submit(request, to, released.cloned()));
            }
        }
    }

    fn query(&mut self, request: u8, owner: &Owner, claim: Option<&ClaimId>) {
        let at = index_of(owner);
        let sidecar = &self.world.sidecars[at];
        let is_reachable = sidecar.is_up
            && (sidecar.owner == *owner || self.spec.defect == Defect::IncarnationIgnored);
        let slot = usize::from(request);
        if !is_reachable {
            let label = format!(
                "caller {request}: receives unknown, {} no longer exists",
                owner.server
            );
            self.add(label, |world| {
                world.requests[slot] = Request::Replied(Reply::Unknown);
            });
            return;
        }
        let skips_refusal = self.spec.defect == Defect::QueryWithoutRefusal;
        self.add(
            format!("caller {request}: query {}", owner.server),
            |world| {
                let mut asked = world.sidecars[at].gate.clone();
                let answer = asked.query(NOW, &key());
                if !skips_refusal {
                    world.sidecars[at].gate = asked;
                }
                world.requests[slot] = match (answer, claim) {
                    (GateAnswer::InProgress | GateAnswer::Lost, _) => {
                        Request::Replied(Reply::Unknown)
                    }
                    (GateAnswer::Done, _) => Request::Replied(Reply::Answered),
                    (GateAnswer::NotRun, Some(claim)) => Request::Released(claim.clone()),
                    (GateAnswer::NotRun, None) => Request::Replied(Reply::NotRun),
                };
            },
        );
    }

    fn submissions(&mut self) {
        let spec = self.spec;
        for submission in &self.world.submissions {
            let (request, owner, released) = submission;
            let at = index_of(owner);
            let label = format!(
                "sidecar {}: receives order of caller {request}",
                owner.server
            );
            self.add(label, |world| {
                world.submissions.remove(submission);
                if world.sidecars[at].runs_as(owner) {
                    world.process_order(spec, *request, at, released.as_ref());
                }
            });
        }
    }

    fn sidecar(&mut self, at: usize) {
        let name = SERVERS[at];
        let sidecar = &self.world.sidecars[at];
        let spec = self.spec;
        if !sidecar.is_up {
            let incarnation = sidecar.owner.incarnation + 1;
            self.add(format!("sidecar {name}: restarts"), |world| {
                world.sidecars[at] = Sidecar::new(name, incarnation);
            });
            return;
        }
        if sidecar.owner.incarnation == 1 {
            self.add_fault(format!("sidecar {name}: crashes"), |world| {
                world.sidecars[at] = Sidecar {
                    is_up: false,
                    ..Sidecar::new(name, 1)
                };
            });
        }
        if sidecar.view.is_none() {
            self.add(format!("sidecar {name}: reads the shard"), |world| {
                world.read_shard(at);
                world.retry_waiting(spec, at);
            });
        }
        self.write(at);
        self.run(at);
        for request in 0..2 {
            let queued = sidecar
                .queue
                .iter()
                .any(|(queued, _)| *queued == Some(request));
            let batched = sidecar.batch.iter().flat_map(|batch| &batch.changes);
            let in_batch = batched
                .into_iter()
                .any(|(queued, _)| *queued == Some(request));
            if queued || in_batch || sidecar.waiting.contains(&request) {
                self.add_fault(
                    format!("sidecar {name}: deadline of caller {request}"),
                    |world| {
                        world.expire(spec, request, at);
                    },
                );
            }
        }
        self.settle(at);
    }

    fn write(&mut self, at: usize) {
        let name = SERVERS[at];
        let sidecar = &self.world.sidecars[at];
        match &sidecar.batch {
            None => {
                if let Some(view) = sidecar.view.as_ref().filter(|_| !sidecar.queue.is_empty()) {
                    let changes: Vec<Change> = sidecar
                        .queue
                        .iter()
                        .map(|(_, change)| change.clone())
                        .collect();
                    let staged = view.stage(
                        &sidecar.owner,
                        sidecar.sequence + 1,
                        NOW,
                        &self.spec.limits,
                        &changes,
                    );
                    self.add(
                        format!("sidecar {name}: gathers {}", changes.len()),
                        |world| {
                            let sidecar = &mut world.sidecars[at];
                            sidecar.sequence += 1;
                            let changes = std::mem::take(&mut sidecar.queue);
                            let phase = Phase::Send;
                            sidecar.batch = Some(Batch {
                                staged,
                                changes,
                                phase,
                                is_uncertain: false,
                            });
                        },
                    );
                }
            }
            Some(batch) => match batch.phase {
                Phase::Send => self.send(at, batch),
                Phase::ReadBack => self.read_back(at, batch),
                Phase::Reconcile => self.reconcile(at, batch),
            },
        }
    }

    fn send(&mut self, at: usize, batch: &Batch) {
        let name = SERVERS[at];
        let spec = self.spec;
        if batch.staged.puts.is_empty() {
            self.add(format!("sidecar {name}: has nothing to write"), |world| {
                world.sidecars[at].batch = None;
                world.apply(spec, at, batch.clone(), 0);
            });
            return;
        }
        self.add(format!("sidecar {name}: writes"), |world| {
            if world.commit(spec, &batch.staged) {
                world.sidecars[at].batch = None;
                let revision = world.revision;
                world.apply(spec, at, batch.clone(), revision);
            } else {
                world.set_phase(at, Phase::Reconcile);
            }
        });
        self.add_fault(
            format!("sidecar {name}: writes, the answer is lost"),
            |world| {
                world.commit(spec, &batch.staged);
                world.lose_answer(spec, at, batch);
            },
        );
        self.add_fault(
            format!("sidecar {name}: writes, the call is lost"),
            |world| {
                world.lose_answer(spec, at, batch);
            },
        );
        if self.world.delayed_write.is_none() {
            self.add_fault(
                format!("sidecar {name}: writes, the call is delayed"),
                |world| {
                    world.delayed_write = Some(batch.staged.clone());
                    world.lose_answer(spec, at, batch);
                },
            );
        }
        self.add_fault(
            format!("sidecar {name}: writes, the service is down"),
            |world| {
                if batch.is_uncertain {
                    world.set_phase(at, Phase::ReadBack);
                } else {
                    world.sidecars[at].batch = None;
                    world.requeue(at, batch.changes.clone());
                    world.retry_waiting(spec, at);
                }
            },
        );
    }

    fn read_back(&mut self, at: usize, batch: &Batch) {
        let Some(put) = batch.staged.puts.first() else {
            return;
        };
        let (spec, name) = (self.spec, SERVERS[at]);
        match resolve_write(put, self.world.store.get(&put.number)) {
            WriteOutcome::Applied(revision) => {
                self.add(format!("sidecar {name}: reads back its write"), |world| {
                    world.sidecars[at].batch = None;
                    world.apply(spec, at, batch.clone(), revision);
                });
            }
            WriteOutcome::Pending if spec.defect == Defect::NeverResent => {}
            WriteOutcome::Pending => self.add(
                format!("sidecar {name}: reads back the old page"),
                |world| {
                    world.set_phase(at, Phase::Send);
                },
            ),
            WriteOutcome::Superseded => self.add(
                format!("sidecar {name}: reads back another write"),
                |world| {
                    world.set_phase(at, Phase::Reconcile);
                },
            ),
        }
    }

    fn reconcile(&mut self, at: usize, batch: &Batch) {
        let spec = self.spec;
        self.add(
            format!("sidecar {}: reads the changed shard", SERVERS[at]),
            |world| {
                world.sidecars[at].batch = None;
                world.reconcile(spec, at, batch.clone());
            },
        );
    }

    fn run(&mut self, at: usize) {
        let (spec, name) = (self.spec, SERVERS[at]);
        let sidecar = &self.world.sidecars[at];
        match sidecar.call {
            Some((request, false)) => {
                self.add(
                    format!("sidecar {name}: sends the order of caller {request}"),
                    |world| {
                        world.sidecars[at].call = Some((request, true));
                        world.effects[usize::from(request)] += 1;
                    },
                );
                self.add_fault(format!("sidecar {name}: loses the call"), |world| {
                    let sidecar = &mut world.sidecars[at];
                    sidecar.call = None;
                    sidecar.gate.mark_answer_lost(&key());
                    world.deliver(request, at, Request::Replied(Reply::Unknown));
                    world.retry_waiting(spec, at);
                });
                self.add_fault(
                    format!("sidecar {name}: cannot connect to its backend server"),
                    |world| {
                        let sidecar = &mut world.sidecars[at];
                        sidecar.call = None;
                        sidecar.gate.abandon(&key());
                        let attempt = sidecar.gate.attempt(&key()).unwrap_or(0);
                        sidecar.queue.push((
                            None,
                            Change::Release {
                                key: key(),
                                attempt,
                            },
                        ));
                        world.deliver(request, at, Request::Replied(Reply::NotRun));
                        world.retry_waiting(spec, at);
                    },
                );
            }
            Some((request, true)) => {
                self.add_fault(format!("sidecar {name}: loses the answer"), |world| {
                    let sidecar = &mut world.sidecars[at];
                    sidecar.call = None;
                    sidecar.gate.mark_answer_lost(&key());
                    world.deliver(request, at, Request::Replied(Reply::Unknown));
                    world.retry_waiting(spec, at);
                });
                self.add(format!("sidecar {name}: gets the answer"), |world| {
                    let sidecar = &mut world.sidecars[at];
                    sidecar.call = None;
                    sidecar.gate.finish(NOW, &key());
                    let attempt = sidecar.gate.attempt(&key()).unwrap_or(0);
                    sidecar.queue.push((
                        None,
                        Change::Finish {
                            key: key(),
                            attempt,
                        },
                    ));
                    world.deliver(request, at, Request::Replied(Reply::Answered));
                    world.retry_waiting(spec, at);
                });
            }
            None => {}
        }
    }

    /// Steps of an operator, who knows which orders the backend servers have executed.
    fn settle(&mut self, at: usize) {
        let sidecar = &self.world.sidecars[at];
        let Some(view) = &sidecar.view else { return };
        let Some(found) = view.find(&key()) else {
            return;
        };
        let has_queued_settlement = sidecar
            .queue
            .iter()
            .any(|(_, change)| matches!(change, Change::Settle { .. }));
        let is_owned_by_other = *found.owner != sidecar.owner;
        let is_lost_here = !is_owned_by_other && sidecar.gate.is_lost(&key());
        let is_allowed = is_lost_here
            || self.world.is_gone(found.owner)
            || self.spec.defect == Defect::SettleAlive;
        if has_queued_settlement
            || sidecar.batch.is_some()
            || !is_allowed
            || !(is_owned_by_other || is_lost_here)
            || found.record.state != RecordState::Claimed
        {
            return;
        }
        let ran = self.world.effects.iter().any(|effects| *effects > 0);
        let settlement = if ran {
            Settlement::Ran
        } else {
            Settlement::NotRun
        };
        let settle = Change::Settle {
            key: key(),
            claim: found.claim(),
            settlement,
        };
        self.add(
            format!("operator: settles as {settlement:?} at {}", SERVERS[at]),
            |world| {
                world.sidecars[at].queue.push((None, settle));
            },
        );
    }
}

impl World {
    fn lose_link(&mut self, request: u8, owner: &Owner) {
        self.requests[usize::from(request)] = Request::LinkLost(owner.clone());
    }

    fn set_phase(&mut self, at: usize, phase: Phase) {
        if let Some(batch) = &mut self.sidecars[at].batch {
            batch.phase = phase;
        }
    }

    fn lose_answer(&mut self, spec: &Spec, at: usize, batch: &Batch) {
        if spec.defect == Defect::LostAnswerTrusted {
            self.sidecars[at].batch = None;
            let revision = self.revision;
            self.apply(spec, at, batch.clone(), revision);
        } else if let Some(batch) = &mut self.sidecars[at].batch {
            batch.is_uncertain = true;
            batch.phase = Phase::ReadBack;
        }
    }
}

fn steps(spec: &Spec, world: &World) -> Vec<Edge<World>> {
    let mut steps = Steps {
        spec,
        world,
        edges: Vec::new(),
    };
    for request in 0..2 {
        steps.caller(request);
    }
    steps.submissions();
    for at in 0..2 {
        steps.sidecar(at);
    }
    if let Some(late) = &world.delayed_write {
        steps.add("network: the delayed write arrives", |world| {
            world.delayed_write = None;
            world.commit(spec, late);
        });
    }
    steps.edges
}

fn has_repeated_execution(world: &World) -> bool {
    world.effects.iter().sum::<u8>() > 1
}

fn has_false_not_run(world: &World) -> bool {
    let was_told_not_run = |request: &Request| *request == Request::Replied(Reply::NotRun);
    world
        .requests
        .iter()
        .zip(world.effects)
        .any(|(request, effects)| was_told_not_run(request) && effects > 0)
}

/// Returns whether all callers have a reply and all sidecars are idle.
fn is_settled(world: &World) -> bool {
    let has_reply = |request: &Request| matches!(request, Request::Replied(_));
    let idle = |sidecar: &Sidecar| {
        sidecar.is_up
            && sidecar.queue.is_empty()
            && sidecar.batch.is_none()
            && sidecar.call.is_none()
            && sidecar.waiting.is_empty()
    };
    world.requests.iter().all(has_reply)
        && world.sidecars.iter().all(idle)
        && world.delayed_write.is_none()
}

fn spec(defect: Defect) -> Spec {
    Spec {
        defect,
        limits: PageLimits::default(),
        faults: 2,
    }
}

fn check(name: &str, spec: &Spec) {
    let is_violation = |world: &World| has_repeated_execution(world) || has_false_not_run(world);
    let exploration = explore(
        &World::new(spec),
        |world| steps(spec, world),
        is_violation,
        is_settled,
    );
    println!(
        "{name}: {} states, {} steps",
        exploration.states, exploration.steps
    );
    assert_eq!(
        exploration.violations, 0,
        "{name}: an invariant is violated"
    );
    assert_eq!(
        exploration.dead_ends,
        0,
        "{name}: no settled state can be reached after
{}",
        exploration.dead_end_trace.join(
            "
"
        )
    );
    assert!(exploration.settled > 0);
}

/// Guards against repeated execution, a false not-run reply and deadlocks, with all claims in one page.
#[test]
fn orders_run_at_most_once_with_one_page() {
    check("orders, one page", &spec(Defect::None));
}

/// Guards against repeated execution, a false not-run reply and deadlocks, when each claim closes a page and opens the
/// next.
#[test]
fn orders_run_at_most_once_when_pages_close() {
    let limits = PageLimits {
        page_bytes: 1,
        max_pages: 8,
        ..PageLimits::default()
    };
    check(
        "orders, a page per claim",
        &Spec {
            limits,
            ..spec(Defect::None)
        },
    );
}

fn counterexample(defect: Defect, is_violation: impl Fn(&World) -> bool) -> String {
    let spec = spec(defect);
    let trace = shortest_trace(
        &World::new(&spec),
        |world| steps(&spec, world),
        is_violation,
    );
    trace.map_or("no counterexample".into(), |labels| labels.join("\n"))
}

/// Guards against a model that cannot detect repeated execution or a false not-run reply.
#[test]
fn defects_have_counterexamples() {
    insta::assert_snapshot!(
        "order_query_without_refusal",
        counterexample(Defect::QueryWithoutRefusal, has_false_not_run)
    );
    insta::assert_snapshot!(
        "order_settled_as_run_forgotten",
        counterexample(Defect::SettledAsRunForgotten, has_false_not_run)
    );
    insta::assert_snapshot!(
        "order_lost_answer_trusted",
        counterexample(Defect::LostAnswerTrusted, has_repeated_execution)
    );
    insta::assert_snapshot!(
        "order_write_without_compare",
        counterexample(Defect::WriteWithoutCompare, has_repeated_execution)
    );
    insta::assert_snapshot!(
        "order_move_without_query",
        counterexample(Defect::MoveWithoutQuery, has_repeated_execution)
    );
    insta::assert_snapshot!(
        "order_incarnation_ignored",
        counterexample(Defect::IncarnationIgnored, has_false_not_run)
    );
    insta::assert_snapshot!(
        "order_settle_alive",
        counterexample(Defect::SettleAlive, has_repeated_execution)
    );
    insta::assert_snapshot!(
        "order_deadline_keeps_claim",
        counterexample(Defect::DeadlineKeepsClaim, has_false_not_run)
    );
}

/// Guards against a model that cannot detect deadlocks.
#[test]
fn lost_write_that_is_not_resent_causes_a_deadlock() {
    let spec = Spec {
        faults: 1,
        ..spec(Defect::NeverResent)
    };
    let exploration = explore(
        &World::new(&spec),
        |world| steps(&spec, world),
        |_| false,
        is_settled,
    );
    println!(
        "orders, never resent: {} states, {} stuck",
        exploration.states, exploration.dead_ends
    );
    assert!(exploration.dead_ends > 0);
    insta::assert_snapshot!("order_never_resent", exploration.dead_end_trace.join("\n"));
}
