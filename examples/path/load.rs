//! Callers, each with its own thread and one persistent connection.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use tanagerford_standin::engine::Engine;
use tanagerford_standin::service::Service;
use ureq::Agent;

use crate::fleet::{API_KEY, Fleet};
use crate::samples::Samples;

/// Timeout of the response head, and of the response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Route that requests take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Directly to the stand-ins.
    Direct,
    /// Through the entry and a sidecar.
    Routed,
}

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model request for one token, without streaming.
    Short,
    /// GET request to the plain service.
    Call,
    /// Streamed model request.
    Stream { tokens: u32 },
}

/// Workload of one measurement.
#[derive(Debug, Clone)]
pub struct Job {
    pub kind: Kind,
    pub callers: u32,
    /// Time between the requests of one caller. Zero means a closed loop: a caller sends its next request as soon as
    /// the previous response is complete.
    interval: Duration,
}

impl Job {
    pub fn closed_loop(kind: Kind, callers: u32) -> Self {
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

/// Sender of requests, one at a time.
pub struct Caller {
    agent: Agent,
    url: String,
    body: String,
    /// Offset of the first request as a fraction of the interval, which spreads paced callers evenly.
    phase: f64,
}

/// Creates the callers of a job. Callers with direct requests are spread evenly over the stand-ins.
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
        (Kind::Call, Target::Routed) => format!("http://{}/plates/ink/cyan", fleet.entry_address()),
        (_, Target::Direct) => format!("http://{}/v1/chat/completions", pick(engines())),
        (_, Target::Routed) => format!("http://{}/v1/chat/completions", fleet.entry_address()),
    }
}

/// Returns the request body of a caller. Callers use different prompts, so that prefix affinity spreads them over the
/// engines.
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

/// Returns an HTTP client with timeouts for the response only. With a timeout for the whole request, `ureq` would start
/// a thread per request to resolve the address.
fn agent() -> Agent {
    Agent::config_builder()
        .timeout_recv_response(Some(REQUEST_TIMEOUT))
        .timeout_recv_body(Some(REQUEST_TIMEOUT))
        .build()
        .new_agent()
}

/// Runs a job for `duration` and returns the samples of all callers.
///
/// # Errors
///
/// Fails if a request fails or a stream ends early.
pub fn run(callers: &mut [Caller], job: &Job, duration: Duration) -> Result<Samples, String> {
    let started_at = Instant::now();
    let cpu_before = process_cpu();
    let mut total = Samples::default();
    thread::scope(|scope| {
        let threads: Vec<_> = callers
            .iter_mut()
            .map(|caller| scope.spawn(move || caller.run(job, started_at, duration)))
            .collect();
        for thread in threads {
            let samples = thread
                .join()
                .map_err(|_| "caller thread panicked".to_owned())?;
            total.add(&samples?);
        }
        Ok::<(), String>(())
    })?;
    total.elapsed = started_at.elapsed();
    total.cpu = process_cpu().saturating_sub(cpu_before);
    Ok(total)
}

/// Returns the user and system time of this process: fields 14 and 15 of `/proc/self/stat`, in ticks of 10 ms. Unlike
/// latency, it depends little on other load on the machine.
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
    fn run(
        &mut self,
        job: &Job,
        started_at: Instant,
        duration: Duration,
    ) -> Result<Samples, String> {
        let mut samples = Samples::default();
        let mut scheduled_at = started_at + job.interval.mul_f64(self.phase);
        while started_at.elapsed() < duration {
            // The latency of a paced request starts at its scheduled time, so that it includes the delay caused by
            // earlier slow responses and avoids coordinated omission.
            let requested_at = if job.interval.is_zero() {
                Instant::now()
            } else {
                thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
                scheduled_at
            };
            match job.kind {
                Kind::Short => self.fetch(true)?,
                Kind::Call => self.fetch(false)?,
                Kind::Stream { tokens } => self.fetch_stream(tokens, &mut samples)?,
            }
            samples.record_latency(requested_at.elapsed());
            scheduled_at += job.interval;
        }
        Ok(samples)
    }

    /// Sends a request and reads the complete response. `is_post` selects POST with a body over GET.
    fn fetch(&self, is_post: bool) -> Result<(), String> {
        let authorization = format!("Bearer {API_KEY}");
        let response = if is_post {
            let request = self.agent.post(&self.url);
            request
                .header("Authorization", authorization)
                .send(&self.body)
        } else {
            let request = self.agent.get(&self.url);
            request.header("Authorization", authorization).call()
        };
        let mut response = response.map_err(|error| error.to_string())?;
        let text = response.body_mut().read_to_vec();
        text.map(drop).map_err(|error| error.to_string())
    }

    /// Sends a streamed model request and records the times of its tokens.
    ///
    /// # Errors
    ///
    /// Fails if the request fails or the number of received tokens is not `tokens`.
    fn fetch_stream(&self, tokens: u32, samples: &mut Samples) -> Result<(), String> {
        let requested_at = Instant::now();
        let response = self
            .agent
            .post(&self.url)
            .header("Authorization", format!("Bearer {API_KEY}"))
            .send(&self.body)
            .map_err(|error| error.to_string())?;
        let mut reader = BufReader::new(response.into_body().into_reader());
        let mut line = String::new();
        let mut last_token_at = None;
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
            match last_token_at {
                None => samples.record_first_token(now.duration_since(requested_at)),
                Some(last_token_at) => samples.record_token_gap(now.duration_since(last_token_at)),
            }
            last_token_at = Some(now);
            received += 1;
        }
        if received == tokens {
            Ok(())
        } else {
            Err(format!("received {received} of {tokens} tokens"))
        }
    }
}
