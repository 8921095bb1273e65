//! Callers: one thread and one kept connection each.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use tanagerford_standin::engine::Engine;
use tanagerford_standin::service::Service;
use ureq::Agent;

use crate::fleet::{Fleet, KEY};
use crate::samples::Samples;

/// Longest time of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Way of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// To the stand-ins.
    Direct,
    /// Through entry and sidecar.
    Routed,
}

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model request for one token, not streamed.
    Short,
    /// Lookup at the plain service.
    Call,
    /// Streamed model request.
    Stream { tokens: u32 },
}

/// What the callers do.
#[derive(Debug, Clone)]
pub struct Job {
    pub kind: Kind,
    pub callers: u32,
    /// Time between the requests of one caller; zero sends the next request once the last one is answered.
    interval: Duration,
}

impl Job {
    pub fn closed(kind: Kind, callers: u32) -> Self {
        Self::paced(kind, callers, Duration::ZERO)
    }

    pub fn paced(kind: Kind, callers: u32, interval: Duration) -> Self {
        Self {
            kind,
            callers,
            interval,
        }
    }
}

/// One caller.
pub struct Caller {
    agent: Agent,
    url: String,
    body: String,
    /// Part of the interval by which the caller is shifted against the others.
    phase: f64,
}

/// Creates the callers of a job. Direct callers are spread evenly over the stand-ins.
pub fn callers(fleet: &Fleet, job: &Job, target: Target) -> Vec<Caller> {
    (0..job.callers)
        .map(|index| Caller {
            agent: agent(),
            url: url(fleet, job.kind, target, index),
            body: body(job.kind, index),
            phase: f64::from(index) / f64::from(job.callers),
        })
        .collect()
}

fn url(fleet: &Fleet, kind: Kind, target: Target, index: u32) -> String {
    let pick = |addresses: Vec<SocketAddr>| addresses[index as usize % addresses.len()];
    let engines = || fleet.engines.iter().map(Engine::address).collect();
    let services = || fleet.services.iter().map(Service::address).collect();
    match (kind, target) {
        (Kind::Call, Target::Direct) => format!("http://{}/ink/cyan", pick(services())),
        (Kind::Call, Target::Routed) => format!("http://{}/plates/ink/cyan", fleet.entry()),
        (_, Target::Direct) => format!("http://{}/v1/chat/completions", pick(engines())),
        (_, Target::Routed) => format!("http://{}/v1/chat/completions", fleet.entry()),
    }
}

/// Callers use different prompts, so that prefix affinity spreads them over the engines.
fn body(kind: Kind, index: u32) -> String {
    let (tokens, stream) = match kind {
        Kind::Short => (1, false),
        Kind::Stream { tokens } => (tokens, true),
        Kind::Call => return String::new(),
    };
    serde_json::json!({
        "model": "preflight",
        "messages": [{"role": "user", "content": format!("job ticket {index}")}],
        "max_tokens": tokens,
        "stream": stream,
    })
    .to_string()
}

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .new_agent()
}

/// Runs a job for a time.
pub fn run(callers: &mut [Caller], job: &Job, time: Duration) -> Result<Samples, String> {
    let started_at = Instant::now();
    let cpu_before = process_cpu();
    let mut all = Samples::default();
    thread::scope(|scope| {
        let threads: Vec<_> = callers
            .iter_mut()
            .map(|caller| scope.spawn(move || caller.run(job, started_at, time)))
            .collect();
        for thread in threads {
            let samples = thread.join().map_err(|_| "a caller panicked".to_owned())?;
            all.add(&samples?);
        }
        Ok::<(), String>(())
    })?;
    all.elapsed = started_at.elapsed();
    all.cpu = process_cpu().saturating_sub(cpu_before);
    Ok(all)
}

/// Returns the processor time of this process in user and system mode: fields 14 and 15 of `/proc/self/stat`, in
/// hundredths of a second. Unlike latency it depends little on other load on the machine.
fn process_cpu() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 10)
}

impl Caller {
    fn run(&mut self, job: &Job, started_at: Instant, time: Duration) -> Result<Samples, String> {
        let mut samples = Samples::default();
        let mut due_at = started_at + job.interval.mul_f64(self.phase);
        while started_at.elapsed() < time {
            // A paced request counts from the time at which it was due, so that a slow answer also counts for the
            // requests that it delays.
            let begun_at = if job.interval.is_zero() {
                Instant::now()
            } else {
                thread::sleep(due_at.saturating_duration_since(Instant::now()));
                due_at
            };
            match job.kind {
                Kind::Short => self.whole(true)?,
                Kind::Call => self.whole(false)?,
                Kind::Stream { tokens } => self.stream(tokens, &mut samples)?,
            }
            samples.record_latency(begun_at.elapsed());
            due_at += job.interval;
        }
        Ok(samples)
    }

    fn whole(&self, post: bool) -> Result<(), String> {
        let authorization = format!("Bearer {KEY}");
        let answer = if post {
            let request = self.agent.post(&self.url);
            request
                .header("Authorization", authorization)
                .send(&self.body)
        } else {
            let request = self.agent.get(&self.url);
            request.header("Authorization", authorization).call()
        };
        let mut answer = answer.map_err(|error| error.to_string())?;
        let text = answer.body_mut().read_to_vec();
        text.map(drop).map_err(|error| error.to_string())
    }

    fn stream(&self, tokens: u32, samples: &mut Samples) -> Result<(), String> {
        let begun_at = Instant::now();
        let answer = self
            .agent
            .post(&self.url)
            .header("Authorization", format!("Bearer {KEY}"))
            .send(&self.body)
            .map_err(|error| error.to_string())?;
        let mut reader = BufReader::new(answer.into_body().into_reader());
        let mut line = String::new();
        let mut last_at = None;
        let mut received = 0;
        loop {
            line.clear();
            let count = reader
                .read_line(&mut line)
                .map_err(|error| error.to_string())?;
            if count == 0 {
                break;
            }
            if !line.contains("\"content\"") {
                continue;
            }
            let now = Instant::now();
            match last_at {
                None => samples.record_first_token(now.duration_since(begun_at)),
                Some(last_at) => samples.record_gap(now.duration_since(last_at)),
            }
            last_at = Some(now);
            received += 1;
        }
        if received == tokens {
            Ok(())
        } else {
            Err(format!("{received} of {tokens} tokens arrived"))
        }
    }
}
