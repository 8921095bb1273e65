//! A simulated engine with constant inter-token latency, and random request traces.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::admission::{Action, Admission, AdmissionSettings, FinishKind, Request};

const STEP_MS: u64 = 10;

/// One request of a trace.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: u64,
    pub tier: u8,
    pub at_ms: u64,
    pub tokens: u32,
    pub class: &'static str,
    pub workspace: &'static str,
    pub resumable: bool,
    pub max_other_requests: Option<u32>,
    pub steps_per_token: u64,
}

impl Job {
    pub fn new(id: u64, tier: u8, at_ms: u64, tokens: u32) -> Self {
        Self {
            id,
            tier,
            at_ms,
            tokens,
            class: "chat",
            workspace: "acme",
            resumable: true,
            max_other_requests: None,
            steps_per_token: 1,
        }
    }

    pub fn class(self, class: &'static str) -> Self {
        Self { class, ..self }
    }

    pub fn workspace(self, workspace: &'static str) -> Self {
        Self { workspace, ..self }
    }

    fn request(&self) -> Request {
        Request {
            id: self.id,
            tier: self.tier,
            class: self.class.to_owned(),
            workspace: self.workspace.to_owned(),
            model: "small".to_owned(),
            prompt_tokens: 10,
            max_tokens: 1_000,
            wait_limit: Duration::from_secs(3),
            deadline: Duration::from_millis(self.at_ms) + Duration::from_mins(20),
            resumable: self.resumable,
            max_other_requests: self.max_other_requests,
        }
    }
}

/// Returns random traces of up to `count` requests within 8 s, sorted by time.
pub fn jobs(tiers: u8, count: usize) -> impl Strategy<Value = Vec<Job>> {
    let classes = prop::sample::select(vec!["chat", "quote"]);
    let workspaces = prop::sample::select(vec!["acme", "globex", "initech"]);
    let max_other_requests = prop::option::weighted(0.03, 0..6_u32);
    let job = (
        0..tiers,
        0..8_000_u64,
        1..120_u32,
        classes,
        workspaces,
        any::<bool>(),
        max_other_requests,
    );
    prop::collection::vec(job, 1..count).prop_map(|mut jobs| {
        jobs.sort_by_key(|job| job.1);
        let numbered = (0..).zip(jobs);
        let jobs = numbered.map(
            |(id, (tier, at_ms, tokens, class, workspace, resumable, max_other_requests))| Job {
                id,
                tier,
                at_ms: at_ms / STEP_MS * STEP_MS,
                tokens,
                class,
                workspace,
                resumable,
                max_other_requests,
                // Lower tiers are slower, so their inter-token latency changes a higher tier's capacity if it leaks into it.
                steps_per_token: u64::from(tier) + 1,
            },
        );
        jobs.collect()
    })
}

/// Actions in order, each with its time in milliseconds and its tier.
#[derive(Debug)]
pub struct Outcome {
    actions: Vec<(u64, u8, Action)>,
}

impl Outcome {
    /// Returns the id and time of the first start of each request of a tier, sorted by time.
    pub fn starts(&self, tier: u8) -> Vec<(u64, u64)> {
        let mut seen = BTreeMap::new();
        for (at_ms, action_tier, action) in &self.actions {
            if let Action::Start { id } = action
                && *action_tier == tier
            {
                seen.entry(*id).or_insert(*at_ms);
            }
        }
        let mut starts: Vec<(u64, u64)> = seen.into_iter().collect();
        starts.sort_by_key(|(_, at_ms)| *at_ms);
        starts
    }

    /// Returns all actions for tiers above `cut`.
    pub fn decisions_above(&self, cut: u8) -> Vec<(u64, Action)> {
        let above = self.actions.iter().filter(|(_, tier, _)| *tier < cut);
        above.map(|(at_ms, _, action)| (*at_ms, *action)).collect()
    }
}

/// Runs a trace, which has to be sorted by time, until all requests have ended.
pub fn run(settings: &AdmissionSettings, trace: &[Job], adjust: impl Fn(&mut Request)) -> Outcome {
    let jobs: BTreeMap<u64, &Job> = trace.iter().map(|job| (job.id, job)).collect();
    let mut admission = Admission::new(settings.clone());
    let mut generated: BTreeMap<u64, u32> = BTreeMap::new();
    let mut running: Vec<u64> = Vec::new();
    let mut outcome = Outcome {
        actions: Vec::new(),
    };
    let mut pending = trace.iter().peekable();
    let mut at_ms = 0;
    while pending.peek().is_some() || !admission.is_idle() {
        let now = Duration::from_millis(at_ms);
        let mut actions = admission.on_tick(now);
        while let Some(job) = pending.next_if(|job| job.at_ms <= at_ms) {
            let mut request = job.request();
            adjust(&mut request);
            actions.extend(admission.offer(now, request));
        }
        for id in running.clone() {
            // A request that was preempted in this step gets no token.
            let stopped = actions
                .iter()
                .any(|action| matches!(action, Action::Preempt { id: preempted, .. } if *preempted == id));
            if stopped || !(at_ms / STEP_MS).is_multiple_of(jobs[&id].steps_per_token) {
                continue;
            }
            let count = generated.entry(id).or_default();
            *count += 1;
            let done = *count >= jobs[&id].tokens;
            actions.extend(admission.on_token(now, id, 1));
            if done {
                running.retain(|other| *other != id);
                actions.extend(admission.on_finish(now, id, FinishKind::Complete));
            }
        }
        for action in actions {
            match action {
                Action::Start { id } => running.push(id),
                Action::Preempt { id, .. } => running.retain(|other| *other != id),
                Action::Refuse { .. } => {}
            }
            let (Action::Start { id } | Action::Preempt { id, .. } | Action::Refuse { id, .. }) =
                action;
            outcome.actions.push((at_ms, jobs[&id].tier, action));
        }
        running.sort_unstable();
        at_ms += STEP_MS;
    }
    outcome
}
