//! Admission at a sidecar under the three policies, behind one interface.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerford_core::admission::{
    Action, Admission, AdmissionSettings, FinishKind, Load, LoadReport, RefuseReason, Request,
};
use tanagerford_core::capacity::Capacity;
use tanagerford_core::config::Configuration;
use tanagerford_core::pool::{Call, Pool, PoolSettings};

use crate::scenario::WORKER_CONCURRENCY;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Fifo,
    Strict,
    Tanagerford,
}

impl Policy {
    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::Strict => "strict-priority",
            Self::Tanagerford => "tanagerford",
        }
    }
}

pub enum Gate {
    Model(Box<Admission>),
    Service(Box<Pool>),
    Baseline(Box<Baseline>),
}

impl Gate {
    pub fn new(policy: Policy, configuration: &Configuration, is_model: bool) -> Self {
        let settings = AdmissionSettings::from_configuration(configuration);
        match policy {
            Policy::Tanagerford if is_model => Self::Model(Box::new(Admission::new(settings))),
            Policy::Tanagerford => {
                let settings = PoolSettings::from_configuration(configuration, WORKER_CONCURRENCY);
                Self::Service(Box::new(Pool::new(settings)))
            }
            Policy::Fifo | Policy::Strict => {
                let limit = is_model.then(|| Capacity::new(settings.capacity()));
                Self::Baseline(Box::new(Baseline::new(
                    policy,
                    limit,
                    settings.max_waiting * settings.tiers(),
                )))
            }
        }
    }

    pub fn offer(&mut self, now: Duration, request: Request) -> Vec<Action> {
        match self {
            Self::Model(admission) => admission.offer(now, request),
            Self::Service(pool) => {
                let Request {
                    id,
                    tier,
                    class,
                    workspace,
                    wait_limit,
                    deadline,
                    ..
                } = request;
                pool.offer(
                    now,
                    Call {
                        id,
                        tier,
                        class,
                        workspace,
                        wait_limit,
                        deadline,
                    },
                )
            }
            Self::Baseline(baseline) => baseline.offer(now, &request),
        }
    }

    pub fn on_token(&mut self, now: Duration, id: u64) -> Vec<Action> {
        match self {
            Self::Model(admission) => admission.on_token(now, id, 1),
            Self::Service(_) => Vec::new(),
            Self::Baseline(baseline) => baseline.on_token(now, id),
        }
    }

    pub fn on_finish(&mut self, now: Duration, id: u64) -> Vec<Action> {
        match self {
            Self::Model(admission) => admission.on_finish(now, id, FinishKind::Complete),
            Self::Service(pool) => pool.on_finish(now, id),
            Self::Baseline(baseline) => baseline.on_finish(now, id),
        }
    }

    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        match self {
            Self::Model(admission) => admission.on_tick(now),
            Self::Service(pool) => pool.on_tick(now),
            Self::Baseline(baseline) => baseline.on_tick(now),
        }
    }

    pub fn on_report(&mut self, now: Duration, report: LoadReport) -> Vec<Action> {
        match self {
            Self::Model(admission) => admission.on_load_report(now, report),
            Self::Service(_) | Self::Baseline(_) => Vec::new(),
        }
    }

    /// Marks the backend server as down and returns the refusals of the waiting requests.
    pub fn on_down(&mut self) -> Vec<Action> {
        match self {
            Self::Model(admission) => admission.on_engine_down(),
            Self::Service(pool) => pool.on_server_down(),
            Self::Baseline(baseline) => baseline.on_down(),
        }
    }

    pub fn on_up(&mut self) {
        match self {
            Self::Model(admission) => admission.on_engine_up(),
            Self::Service(pool) => pool.on_server_up(),
            Self::Baseline(baseline) => baseline.is_down = false,
        }
    }

    pub fn load(&self) -> Load {
        match self {
            Self::Model(admission) => admission.load(),
            Self::Service(pool) => pool.load(),
            Self::Baseline(baseline) => baseline.load(),
        }
    }
}

/// FIFO or strict priority by tier, with the same batch limit and wait limits as the router's own policy and a bounded
/// queue. Running requests are not preempted.
pub struct Baseline {
    policy: Policy,
    /// Learned batch limit of an engine; `None` for an application worker, whose limit is fixed.
    limit: Option<Capacity>,
    max_waiting: usize,
    /// Waiting requests and their latest start times, by rank and order of arrival.
    queue: BTreeMap<(u8, u64), (u64, Duration)>,
    /// Ranks and times of the last token of the running requests.
    running: BTreeMap<u64, (u8, Option<Duration>)>,
    arrivals: u64,
    is_down: bool,
}

impl Baseline {
    fn new(policy: Policy, limit: Option<Capacity>, max_waiting: usize) -> Self {
        let (queue, running) = (BTreeMap::new(), BTreeMap::new());
        Self {
            policy,
            limit,
            max_waiting,
            queue,
            running,
            arrivals: 0,
            is_down: false,
        }
    }

    fn offer(&mut self, now: Duration, request: &Request) -> Vec<Action> {
        if self.is_down {
            return vec![refuse(request.id, RefuseReason::ServerDown)];
        }
        let rank = if self.policy == Policy::Strict {
            request.tier
        } else {
            0
        };
        self.arrivals += 1;
        self.queue.insert(
            (rank, self.arrivals),
            (request.id, now + request.wait_limit),
        );
        let mut actions = self.on_tick(now);
        if self.queue.len() > self.max_waiting
            && let Some((_, (id, _))) = self.queue.pop_last()
        {
            actions.push(refuse(id, RefuseReason::QueueFull));
        }
        actions
    }

    fn on_token(&mut self, now: Duration, id: u64) -> Vec<Action> {
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let last_token_at = self
            .running
            .get_mut(&id)
            .and_then(|(_, last_token_at)| last_token_at.replace(now));
        if let (Some(last_token_at), Some(limit)) = (last_token_at, &mut self.limit) {
            limit.observe(batch, now.saturating_sub(last_token_at));
        }
        Vec::new()
    }

    fn on_finish(&mut self, now: Duration, id: u64) -> Vec<Action> {
        self.running.remove(&id);
        self.on_tick(now)
    }

    fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.queue.retain(|_, (id, latest_start)| {
            let can_wait = *latest_start > now;
            if !can_wait {
                actions.push(refuse(*id, RefuseReason::WaitPassed));
            }
            can_wait
        });
        let limit = self
            .limit
            .as_ref()
            .map_or(WORKER_CONCURRENCY, Capacity::limit) as usize;
        while self.running.len() < limit {
            let Some(((rank, _), (id, _))) = self.queue.pop_first() else {
                break;
            };
            self.running.insert(id, (rank, None));
            actions.push(Action::Start { id });
        }
        actions
    }

    fn on_down(&mut self) -> Vec<Action> {
        self.is_down = true;
        self.running.clear();
        let waiting = std::mem::take(&mut self.queue).into_values();
        waiting
            .map(|(id, _)| refuse(id, RefuseReason::ServerDown))
            .collect()
    }

    fn load(&self) -> Load {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let mut busy_by_tier = vec![0; 4];
        let ranks = self.running.values().map(|(rank, _)| *rank);
        for rank in ranks.chain(self.queue.keys().map(|(rank, _)| *rank)) {
            busy_by_tier[usize::from(rank)] += 1;
        }
        Load {
            running: count(self.running.len()),
            waiting: count(self.queue.len()),
            batch_limit: self
                .limit
                .as_ref()
                .map_or(WORKER_CONCURRENCY, Capacity::limit),
            busy_by_tier,
            ..Load::default()
        }
    }
}

fn refuse(id: u64, reason: RefuseReason) -> Action {
    Action::Refuse {
        id,
        reason,
        retry_after: Duration::from_secs(1),
    }
}
