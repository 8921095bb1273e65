//! Model check of the order protocol: exhaustive search over the steps of two callers, two sidecars that both believe
//! to own a shard, the key-value service and the backend servers, with faults as steps. The steps call the transition
//! functions of `tanagerford_core::order`.
//!
//! A link delivers a submitted order at most once and only to the incarnation to which it was opened, as a TCP
//! connection does; a submitted order may be delayed until after a query over a newer link.

mod explore;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use explore::{Edge, shortest, survey};
use tanagerford_core::order::{
    Begin, Change, ClaimId, Gate, GateAnswer, GateLimits, Look, OrderKey, Owner, PageLimits,
    PageNumber, RecordState, Settlement, Shard, Staged, StoredPage, Verdict, Wrote, look, resolve,
};

const NOW: Duration = Duration::ZERO;
const SERVERS: [&str; 2] = ["a", "b"];
const BODY: u64 = 1;

/// Deliberate defects; each must break an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A query is answered without recording the refusal.
    QueryWithoutRefusal,
    /// A lost answer counts as a success.
    LostAnswerTrusted,
    /// Pages are written without comparing their revision.
    WriteWithoutCompare,
    /// A claim is moved without asking its owner.
    MoveWithoutQuery,
    /// A query that a later incarnation answers is believed.
    IncarnationIgnored,
    /// An operator settles a claim whose owner lives.
    SettleAlive,
    /// Not-run is said at the deadline while the claim still waits to be written.
    DeadlineKeepsClaim,
    /// A write whose answer was lost is not sent again.
    NeverResent,
    /// The gate forgets an order whose answer was lost once it is settled, also when it was settled as run.
    SettledAsRunForgotten,
}

#[derive(Debug, Clone, Copy)]
struct Spec {
    defect: Defect,
    limits: PageLimits,
    faults: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Told {
    Answered,
    NotRun,
    Unknown,
}

/// State of a caller's request at its entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Request {
    New,
    /// Submitted to this incarnation.
    Open(Owner),
    /// The link was lost after the request was submitted.
    Unsure(Owner),
    /// Another sidecar has claimed the order.
    Elsewhere(ClaimId),
    /// The owner of the claim said not-run.
    Released(ClaimId),
    Told(Told),
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
    doubtful: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sidecar {
    owner: Owner,
    up: bool,
    view: Option<Shard>,
    gate: Gate,
    queue: Vec<(Option<u8>, Change)>,
    batch: Option<Batch>,
    sequence: u64,
    /// Requests that wait for the answer or the end of an earlier run.
    waiting: BTreeSet<u8>,
    /// Started order: its request, and whether it was sent to the backend server.
    call: Option<(u8, bool)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    store: BTreeMap<PageNumber, StoredPage>,
    revision: u64,
    /// A write that is delayed on its way.
    late: Option<Staged>,
    sidecars: [Sidecar; 2],
    requests: [Request; 2],
    /// Submitted orders on their way.
    flights: BTreeSet<(u8, Owner, Option<ClaimId>)>,
    /// Effects that each request caused.
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
            up: true,
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
        self.up && self.owner == *owner
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
            late: None,
            sidecars,
            requests: [Request::New, Request::New],
            flights: BTreeSet::new(),
            effects: [0, 0],
            faults_left: spec.faults,
        }
    }

    fn is_gone(&self, owner: &Owner) -> bool {
        !self.sidecars[index_of(owner)].runs_as(owner)
    }

    fn commit(&mut self, spec: &Spec, staged: &Staged) -> bool {
        let revision_of = |number| self.store.get(&number).map_or(0, |stored| stored.revision);
        let holds = staged
            .puts
            .iter()
            .all(|put| revision_of(put.number) == put.base);
        if !holds && spec.defect != Defect::WriteWithoutCompare {
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

    /// Delivers an outcome to the caller, unless its link was lost.
    fn tell(&mut self, request: u8, by: usize, next: Request) {
        let state = &mut self.requests[usize::from(request)];
        if *state == Request::Open(self.sidecars[by].owner.clone()) {
            *state = next;
        }
    }

    fn submit(&mut self, request: u8, to: usize, released: Option<ClaimId>) {
        let owner = self.sidecars[to].owner.clone();
        self.requests[usize::from(request)] = Request::Open(owner.clone());
        self.flights.insert((request, owner, released));
    }

    /// Looks an order up at a sidecar and does what the lookup says.
    fn handle(&mut self, spec: &Spec, request: u8, at: usize, released: Option<&ClaimId>) {
        let side = &self.sidecars[at];
        let Some(view) = &side.view else {
            self.sidecars[at].waiting.insert(request);
            return;
        };
        let gone = |owner: &Owner| self.is_gone(owner);
        let mut found = look(&side.owner, view, &side.gate, &key(), BODY, released, gone);
        if let (Defect::MoveWithoutQuery, Look::Elsewhere(claim)) = (spec.defect, &found) {
            found = Look::Claim(Some(claim.clone()));
        }
        match found {
            Look::Claim(released) => self.begin(request, at, released),
            Look::Wait => {
                self.sidecars[at].waiting.insert(request);
            }
            Look::Answered => self.tell(request, at, Request::Told(Told::Answered)),
            Look::Elsewhere(claim) => self.tell(request, at, Request::Elsewhere(claim)),
            Look::OtherBody
            | Look::AnswerLost
            | Look::CallLost
            | Look::OwnerGone
            | Look::SettledRan => {
                self.tell(request, at, Request::Told(Told::Unknown));
            }
        }
    }

    fn begin(&mut self, request: u8, at: usize, released: Option<ClaimId>) {
        let side = &mut self.sidecars[at];
        match side.gate.begin(&GateLimits::default(), NOW, &key()) {
            Begin::Claim => {
                let claim = Change::Claim {
                    key: key(),
                    body: BODY,
                    released,
                };
                side.queue.push((Some(request), claim));
            }
            Begin::Busy => {
                side.waiting.insert(request);
            }
            Begin::Lost => self.tell(request, at, Request::Told(Told::Unknown)),
            Begin::Done => self.tell(request, at, Request::Told(Told::Answered)),
            Begin::Refused | Begin::Full => self.tell(request, at, Request::Told(Told::NotRun)),
        }
    }

    fn look_again(&mut self, spec: &Spec, at: usize) {
        for request in std::mem::take(&mut self.sidecars[at].waiting) {
            self.handle(spec, request, at, None);
        }
    }

    fn read_shard(&mut self, at: usize) {
        let pages = self
            .store
            .iter()
            .map(|(number, stored)| (*number, stored.clone()));
        self.sidecars[at].view = Some(Shard::load(pages));
    }

    /// Carries out the verdicts of changes that were written.
    fn take_over(&mut self, spec: &Spec, at: usize, changes: Vec<((Option<u8>, Change), Verdict)>) {
        for ((request, change), verdict) in changes {
            let side = &mut self.sidecars[at];
            match verdict {
                Verdict::Claimed(attempt) => {
                    if side.gate.start(NOW, &key(), attempt) {
                        side.call = request.map(|request| (request, false));
                    } else {
                        side.queue.push((
                            None,
                            Change::Release {
                                key: key(),
                                attempt,
                            },
                        ));
                    }
                }
                Verdict::Exists | Verdict::Full => {
                    side.gate.claim_failed(&key());
                    if let Some(request) = request {
                        self.handle(spec, request, at, None);
                    }
                }
                Verdict::Later => side.queue.insert(0, (request, change)),
                Verdict::Changed | Verdict::NoEffect => {
                    if let (Verdict::Changed, Change::Settle { how, .. }) = (verdict, change) {
                        let how = if spec.defect == Defect::SettledAsRunForgotten {
                            Settlement::NotRun
                        } else {
                            how
                        };
                        side.gate.settle(&key(), how);
                    }
                }
            }
        }
        self.look_again(spec, at);
    }

    fn put_back(&mut self, at: usize, changes: Vec<(Option<u8>, Change)>) {
        let side = &mut self.sidecars[at];
        let mut queue = Vec::new();
        for (request, change) in changes {
            if matches!(change, Change::Claim { .. }) && !side.gate.is_claiming(&key()) {
                side.gate.claim_failed(&key());
            } else {
                queue.push((request, change));
            }
        }
        queue.append(&mut side.queue);
        side.queue = queue;
    }

    fn apply(&mut self, spec: &Spec, at: usize, batch: Batch, revision: u64) {
        if let Some(view) = &mut self.sidecars[at].view {
            view.commit(&batch.staged, revision);
        }
        let changes = batch
            .changes
            .into_iter()
            .zip(batch.staged.verdicts)
            .collect();
        self.take_over(spec, at, changes);
    }

    fn reconcile(&mut self, spec: &Spec, at: usize, batch: Batch) {
        self.read_shard(at);
        let mut started = Vec::new();
        let mut kept = Vec::new();
        for ((request, change), verdict) in batch.changes.into_iter().zip(batch.staged.verdicts) {
            let side = &self.sidecars[at];
            let stands = |attempt| {
                let claim = ClaimId {
                    owner: side.owner.clone(),
                    attempt,
                };
                side.view
                    .as_ref()
                    .is_some_and(|view| view.stands(&key(), &claim))
            };
            if matches!(verdict, Verdict::Claimed(attempt) if stands(attempt)) {
                started.push(((request, change), verdict));
            } else {
                kept.push((request, change));
            }
        }
        self.put_back(at, kept);
        self.take_over(spec, at, started);
    }

    /// Gives up a request at its deadline.
    fn give_up(&mut self, spec: &Spec, request: u8, at: usize) {
        let side = &mut self.sidecars[at];
        let queued = side
            .queue
            .iter()
            .position(|(owner, _)| *owner == Some(request));
        let answer = if let Some(position) = queued {
            if spec.defect != Defect::DeadlineKeepsClaim {
                side.queue.remove(position);
                side.gate.claim_failed(&key());
            }
            Told::NotRun
        } else if side.waiting.remove(&request) {
            if side.gate.is_busy(&key()) {
                Told::Unknown
            } else {
                Told::NotRun
            }
        } else {
            side.gate.withdraw(&key());
            Told::Unknown
        };
        self.tell(request, at, Request::Told(answer));
        self.look_again(spec, at);
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
            fault: false,
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
            fault: true,
            next,
        });
    }

    fn caller(&mut self, request: u8) {
        match &self.world.requests[usize::from(request)] {
            Request::New => self.submit(request, None),
            Request::Released(claim) => self.submit(request, Some(claim)),
            Request::Open(owner) => {
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
            Request::Unsure(owner) => self.query(request, owner, None),
            Request::Elsewhere(claim) => self.query(request, &claim.owner, Some(claim)),
            Request::Told(_) => {}
        }
    }

    fn submit(&mut self, request: u8, released: Option<&ClaimId>) {
        for (to, server) in SERVERS.into_iter().enumerate() {
            if self.world.sidecars[to].up {
                let label = format!("caller {request}: submit to {server}");
                self.add(label, |world| world.submit(request, to, released.cloned()));
            }
        }
    }

    fn query(&mut self, request: u8, owner: &Owner, claim: Option<&ClaimId>) {
        let at = index_of(owner);
        let side = &self.world.sidecars[at];
        let reachable =
            side.up && (side.owner == *owner || self.spec.defect == Defect::IncarnationIgnored);
        let slot = usize::from(request);
        if !reachable {
            let label = format!("caller {request}: told unknown, {} is gone", owner.server);
            self.add(label, |world| {
                world.requests[slot] = Request::Told(Told::Unknown);
            });
            return;
        }
        let forgets = self.spec.defect == Defect::QueryWithoutRefusal;
        self.add(
            format!("caller {request}: query {}", owner.server),
            |world| {
                let mut asked = world.sidecars[at].gate.clone();
                let answer = asked.query(NOW, &key());
                if !forgets {
                    world.sidecars[at].gate = asked;
                }
                world.requests[slot] = match (answer, claim) {
                    (GateAnswer::InProgress | GateAnswer::Lost, _) => Request::Told(Told::Unknown),
                    (GateAnswer::Done, _) => Request::Told(Told::Answered),
                    (GateAnswer::NotRun, Some(claim)) => Request::Released(claim.clone()),
                    (GateAnswer::NotRun, None) => Request::Told(Told::NotRun),
                };
            },
        );
    }

    fn flights(&mut self) {
        let spec = self.spec;
        for flight in &self.world.flights {
            let (request, owner, released) = flight;
            let at = index_of(owner);
            let label = format!(
                "sidecar {}: receives order of caller {request}",
                owner.server
            );
            self.add(label, |world| {
                world.flights.remove(flight);
                if world.sidecars[at].runs_as(owner) {
                    world.handle(spec, *request, at, released.as_ref());
                }
            });
        }
    }

    fn sidecar(&mut self, at: usize) {
        let name = SERVERS[at];
        let side = &self.world.sidecars[at];
        let spec = self.spec;
        if !side.up {
            let incarnation = side.owner.incarnation + 1;
            self.add(format!("sidecar {name}: restarts"), |world| {
                world.sidecars[at] = Sidecar::new(name, incarnation);
            });
            return;
        }
        if side.owner.incarnation == 1 {
            self.add_fault(format!("sidecar {name}: crashes"), |world| {
                world.sidecars[at] = Sidecar {
                    up: false,
                    ..Sidecar::new(name, 1)
                };
            });
        }
        if side.view.is_none() {
            self.add(format!("sidecar {name}: reads the shard"), |world| {
                world.read_shard(at);
                world.look_again(spec, at);
            });
        }
        self.write(at);
        self.run(at);
        for request in 0..2 {
            let queued = side.queue.iter().any(|(owner, _)| *owner == Some(request));
            let batched = side.batch.iter().flat_map(|batch| &batch.changes);
            let in_batch = batched
                .into_iter()
                .any(|(owner, _)| *owner == Some(request));
            if queued || in_batch || side.waiting.contains(&request) {
                self.add_fault(
                    format!("sidecar {name}: deadline of caller {request}"),
                    |world| {
                        world.give_up(spec, request, at);
                    },
                );
            }
        }
        self.settle(at);
    }

    fn write(&mut self, at: usize) {
        let name = SERVERS[at];
        let side = &self.world.sidecars[at];
        match &side.batch {
            None => {
                if let Some(view) = side.view.as_ref().filter(|_| !side.queue.is_empty()) {
                    let changes: Vec<Change> = side
                        .queue
                        .iter()
                        .map(|(_, change)| change.clone())
                        .collect();
                    let staged = view.stage(
                        &side.owner,
                        side.sequence + 1,
                        NOW,
                        &self.spec.limits,
                        &changes,
                    );
                    self.add(
                        format!("sidecar {name}: gathers {}", changes.len()),
                        |world| {
                            let side = &mut world.sidecars[at];
                            side.sequence += 1;
                            let changes = std::mem::take(&mut side.queue);
                            let phase = Phase::Send;
                            side.batch = Some(Batch {
                                staged,
                                changes,
                                phase,
                                doubtful: false,
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
        if self.world.late.is_none() {
            self.add_fault(
                format!("sidecar {name}: writes, the call is delayed"),
                |world| {
                    world.late = Some(batch.staged.clone());
                    world.lose_answer(spec, at, batch);
                },
            );
        }
        self.add_fault(
            format!("sidecar {name}: writes, the service is down"),
            |world| {
                if batch.doubtful {
                    world.set_phase(at, Phase::ReadBack);
                } else {
                    world.sidecars[at].batch = None;
                    world.put_back(at, batch.changes.clone());
                    world.look_again(spec, at);
                }
            },
        );
    }

    fn read_back(&mut self, at: usize, batch: &Batch) {
        let Some(put) = batch.staged.puts.first() else {
            return;
        };
        let (spec, name) = (self.spec, SERVERS[at]);
        match resolve(put, self.world.store.get(&put.number)) {
            Wrote::Applied(revision) => {
                self.add(format!("sidecar {name}: reads back its write"), |world| {
                    world.sidecars[at].batch = None;
                    world.apply(spec, at, batch.clone(), revision);
                });
            }
            Wrote::NotYet if spec.defect == Defect::NeverResent => {}
            Wrote::NotYet => self.add(
                format!("sidecar {name}: reads back the old page"),
                |world| {
                    world.set_phase(at, Phase::Send);
                },
            ),
            Wrote::Superseded => self.add(
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
        let side = &self.world.sidecars[at];
        match side.call {
            Some((request, false)) => {
                self.add(
                    format!("sidecar {name}: sends the order of caller {request}"),
                    |world| {
                        world.sidecars[at].call = Some((request, true));
                        world.effects[usize::from(request)] += 1;
                    },
                );
                self.add_fault(format!("sidecar {name}: loses the call"), |world| {
                    let side = &mut world.sidecars[at];
                    side.call = None;
                    side.gate.lose(&key());
                    world.tell(request, at, Request::Told(Told::Unknown));
                    world.look_again(spec, at);
                });
                self.add_fault(
                    format!("sidecar {name}: cannot connect to its backend server"),
                    |world| {
                        let side = &mut world.sidecars[at];
                        side.call = None;
                        side.gate.abandon(&key());
                        let attempt = side.gate.attempt(&key()).unwrap_or(0);
                        side.queue.push((
                            None,
                            Change::Release {
                                key: key(),
                                attempt,
                            },
                        ));
                        world.tell(request, at, Request::Told(Told::NotRun));
                        world.look_again(spec, at);
                    },
                );
            }
            Some((request, true)) => {
                self.add_fault(format!("sidecar {name}: loses the answer"), |world| {
                    let side = &mut world.sidecars[at];
                    side.call = None;
                    side.gate.lose(&key());
                    world.tell(request, at, Request::Told(Told::Unknown));
                    world.look_again(spec, at);
                });
                self.add(format!("sidecar {name}: gets the answer"), |world| {
                    let side = &mut world.sidecars[at];
                    side.call = None;
                    side.gate.finish(NOW, &key());
                    let attempt = side.gate.attempt(&key()).unwrap_or(0);
                    side.queue.push((
                        None,
                        Change::Finish {
                            key: key(),
                            attempt,
                        },
                    ));
                    world.tell(request, at, Request::Told(Told::Answered));
                    world.look_again(spec, at);
                });
            }
            None => {}
        }
    }

    /// Steps of an operator, who knows what the backend servers did so far.
    fn settle(&mut self, at: usize) {
        let side = &self.world.sidecars[at];
        let Some(view) = &side.view else { return };
        let Some(found) = view.find(&key()) else {
            return;
        };
        let waits = side
            .queue
            .iter()
            .any(|(_, change)| matches!(change, Change::Settle { .. }));
        let of_other = *found.owner != side.owner;
        let lost_here = !of_other && side.gate.is_lost(&key());
        let allowed =
            lost_here || self.world.is_gone(found.owner) || self.spec.defect == Defect::SettleAlive;
        if waits
            || side.batch.is_some()
            || !allowed
            || !(of_other || lost_here)
            || found.record.state != RecordState::Claimed
        {
            return;
        }
        let ran = self.world.effects.iter().any(|effects| *effects > 0);
        let how = if ran {
            Settlement::Ran
        } else {
            Settlement::NotRun
        };
        let settle = Change::Settle {
            key: key(),
            claim: found.claim(),
            how,
        };
        self.add(
            format!("operator: settles as {how:?} at {}", SERVERS[at]),
            |world| {
                world.sidecars[at].queue.push((None, settle));
            },
        );
    }
}

impl World {
    fn lose_link(&mut self, request: u8, owner: &Owner) {
        self.requests[usize::from(request)] = Request::Unsure(owner.clone());
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
            batch.doubtful = true;
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
    steps.flights();
    for at in 0..2 {
        steps.sidecar(at);
    }
    if let Some(late) = &world.late {
        steps.add("network: the delayed write arrives", |world| {
            world.late = None;
            world.commit(spec, late);
        });
    }
    steps.edges
}

fn runs_twice(world: &World) -> bool {
    world.effects.iter().sum::<u8>() > 1
}

fn not_run_is_false(world: &World) -> bool {
    let told_not_run = |request: &Request| *request == Request::Told(Told::NotRun);
    world
        .requests
        .iter()
        .zip(world.effects)
        .any(|(request, effects)| told_not_run(request) && effects > 0)
}

/// All callers have their answer, and no sidecar has work.
fn is_settled(world: &World) -> bool {
    let told = |request: &Request| matches!(request, Request::Told(_));
    let idle = |side: &Sidecar| {
        side.up
            && side.queue.is_empty()
            && side.batch.is_none()
            && side.call.is_none()
            && side.waiting.is_empty()
    };
    world.requests.iter().all(told) && world.sidecars.iter().all(idle) && world.late.is_none()
}

fn spec(defect: Defect) -> Spec {
    Spec {
        defect,
        limits: PageLimits::default(),
        faults: 2,
    }
}

fn check(name: &str, spec: &Spec) {
    let bad = |world: &World| runs_twice(world) || not_run_is_false(world);
    let survey = survey(
        &World::new(spec),
        |world| steps(spec, world),
        bad,
        is_settled,
    );
    println!("{name}: {} states, {} steps", survey.states, survey.steps);
    assert_eq!(survey.violations, 0, "{name}: an invariant is broken");
    assert_eq!(
        survey.stuck,
        0,
        "{name}: no settled state can be reached after
{}",
        survey.first_stuck.join(
            "
"
        )
    );
    assert!(survey.settled > 0);
}

/// Guards against two runs, a false not-run and a dead end, with claims in one page.
#[test]
fn orders_run_at_most_once_with_one_page() {
    check("orders, one page", &spec(Defect::None));
}

/// Guards against two runs, a false not-run and a dead end, when each claim closes a page and opens the next.
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

fn counterexample(defect: Defect, bad: impl Fn(&World) -> bool) -> String {
    let spec = spec(defect);
    let trace = shortest(&World::new(&spec), |world| steps(&spec, world), bad);
    trace.map_or("no counterexample".into(), |labels| labels.join("\n"))
}

/// Guards against a model that cannot see a second run or a false not-run.
#[test]
fn defects_have_counterexamples() {
    insta::assert_snapshot!(
        "order_query_without_refusal",
        counterexample(Defect::QueryWithoutRefusal, not_run_is_false)
    );
    insta::assert_snapshot!(
        "order_settled_as_run_forgotten",
        counterexample(Defect::SettledAsRunForgotten, not_run_is_false)
    );
    insta::assert_snapshot!(
        "order_lost_answer_trusted",
        counterexample(Defect::LostAnswerTrusted, runs_twice)
    );
    insta::assert_snapshot!(
        "order_write_without_compare",
        counterexample(Defect::WriteWithoutCompare, runs_twice)
    );
    insta::assert_snapshot!(
        "order_move_without_query",
        counterexample(Defect::MoveWithoutQuery, runs_twice)
    );
    insta::assert_snapshot!(
        "order_incarnation_ignored",
        counterexample(Defect::IncarnationIgnored, not_run_is_false)
    );
    insta::assert_snapshot!(
        "order_settle_alive",
        counterexample(Defect::SettleAlive, runs_twice)
    );
    insta::assert_snapshot!(
        "order_deadline_keeps_claim",
        counterexample(Defect::DeadlineKeepsClaim, not_run_is_false)
    );
}

/// Guards against a model that cannot see a dead end.
#[test]
fn a_write_that_is_never_resent_has_a_dead_end() {
    let spec = Spec {
        faults: 1,
        ..spec(Defect::NeverResent)
    };
    let survey = survey(
        &World::new(&spec),
        |world| steps(&spec, world),
        |_| false,
        is_settled,
    );
    println!(
        "orders, never resent: {} states, {} stuck",
        survey.states, survey.stuck
    );
    assert!(survey.stuck > 0);
    insta::assert_snapshot!("order_never_resent", survey.first_stuck.join("\n"));
}
