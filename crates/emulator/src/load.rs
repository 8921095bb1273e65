//! Load files: what is served, who calls, what goes wrong, and which policies are compared.

use std::time::Duration;

use serde::Deserialize;
use tanagerford_core::config::finding::Findings;
use tanagerford_core::dispatch::{CostSettings, LongPromptGateSettings, OverloadSettings};
use tanagerford_core::exchange::SummaryIntervals;

/// Longest time that a load file may play, in seconds: a guard against typing errors.
const MAX_LENGTH_S: f64 = 3_600.0;

/// A load with the policies to compare.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name in reports.
    pub name: String,
    /// Time for which callers send, in seconds.
    pub length_s: f64,
    /// Seeds to play; each gives other arrivals, sizes and disturbed servers.
    pub seeds: Vec<u64>,
    /// Availability zones; entries, servers and callers are spread over them evenly.
    pub zones: usize,
    /// Entries in each availability zone.
    pub entries_per_zone: usize,
    /// One-way delays.
    pub network: Network,
    /// Model engines, if there are any.
    pub engines: Option<EnginePool>,
    /// Servers of a plain service, if there are any.
    pub services: Option<ServicePool>,
    /// Processors of the entries; without them, entries need no time.
    #[serde(default)]
    pub processors: Option<Processors>,
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// What changes during the run.
    #[serde(default)]
    pub disturbances: Vec<Disturbance>,
    /// Budget of repeated calls of all entries together.
    pub budget: Budget,
    /// Policies to compare.
    pub policies: Vec<Policy>,
}

/// One-way delays in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within an availability zone.
    pub in_zone_ms: f64,
    /// Between availability zones.
    pub cross_zone_ms: f64,
    /// Between callers and entries.
    pub caller_ms: f64,
}

/// Model engines of one pool.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePool {
    /// Engines in each availability zone.
    pub per_zone: usize,
    /// Requests that an engine runs at the same time.
    pub slots: usize,
    /// Requests that wait at most; the engine refuses more.
    pub queue: usize,
    /// Tokens that running requests and cached parts share.
    pub memory_tokens: u64,
    /// Time of a step without work, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub step_request_ms: f64,
    /// Time that a thousand tokens of context add to a step, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens that are read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time that a million pairs of prompt tokens add, in milliseconds.
    pub pairs_ms_per_m: f64,
    /// Prompt tokens that one step reads at most.
    pub chunk_tokens: u32,
    /// Time to the first token beside queue and reading, in milliseconds.
    pub first_token_ms: f64,
    /// Tokens of one event of a stream.
    pub event_tokens: u32,
    /// Factors by which engines are slower than the figures above; dealt out in turn.
    pub speeds: Vec<f64>,
}

/// Servers of a plain service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePool {
    /// Servers in each availability zone.
    pub per_zone: usize,
    /// Requests that a server runs at the same time.
    pub slots: usize,
    /// Requests that wait at most; the server refuses more.
    pub queue: usize,
}

/// Processors of the entries.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processors {
    /// Shares of a core; dealt out in turn to the entries of each availability zone.
    pub shares: Vec<f64>,
    /// Time of a whole core for reading a request and for its answer, in microseconds.
    pub request_us: f64,
    /// Time for choosing a server and sending a call there, in microseconds.
    pub send_us: f64,
    /// Time for passing on a part of an answer, for a timer or a closed connection, in microseconds.
    pub event_us: f64,
    /// Time for a message of another entry, in microseconds.
    pub message_us: f64,
}

/// Kind of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in reports.
    pub name: String,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Latency objective of the first event or the whole answer, in milliseconds.
    pub objective_ms: f64,
    /// Time after which the caller leaves, in milliseconds.
    pub deadline_ms: f64,
    /// Value of an answer in time.
    pub worth: f64,
    /// Value of a late answer.
    pub late_worth: f64,
    /// Rank of the route; 0 is served first.
    pub rank: u8,
    /// How often a caller comes back after it was told to.
    pub retries: u32,
    /// Largest count of servers that may run a request.
    pub max_attempts: u32,
    /// Size of the request's body in bytes.
    pub body_bytes: usize,
    /// What a model engine does for it; without it, the request goes to the plain service.
    pub stream: Option<Stream>,
    /// Mean time at a plain service, in milliseconds.
    #[serde(default)]
    pub work_ms: f64,
}

/// Request of a stream.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Longest pause between events with which the answer is in time, in milliseconds.
    pub pause_ms: f64,
    /// Parts that requests share, in order.
    pub parts: Vec<SharedPart>,
    /// Tokens of the request's own.
    pub own_tokens: Tokens,
    /// Events of the answer.
    pub events: Tokens,
    /// Whether the answer may go on at another server.
    pub may_resume: bool,
}

/// Part of a prompt that several requests have in common.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPart {
    /// Count of different parts.
    pub variants: u32,
    /// Exponent of Zipf's law by which variants are asked for; 0 for evenly.
    #[serde(default)]
    pub skew: f64,
    /// Size of a part.
    pub tokens: Tokens,
}

/// Log-normal distribution of sizes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// Mean.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    #[serde(default)]
    pub spread: f64,
    /// Largest size.
    pub max: f64,
}

/// What changes for a time.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// Begin, in seconds.
    pub at_s: f64,
    /// Length, in seconds.
    pub for_s: f64,
    /// What happens.
    pub kind: DisturbanceKind,
}

/// Kinds of disturbances.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DisturbanceKind {
    /// A class, or all of them, sends `x` times as often.
    Burst {
        /// Class; all without it.
        class: Option<String>,
        /// Factor of the rate.
        x: f64,
    },
    /// A share of a class's requests asks for one last shared part.
    HotPart {
        /// Class.
        class: String,
        /// Share of the requests.
        share: f64,
    },
    /// A share of the engines takes `x` times as long.
    SlowEngines {
        /// Share of the engines.
        share: f64,
        /// Factor of the time.
        x: f64,
    },
    /// A share of the engines crashes and comes back empty.
    CrashedEngines {
        /// Share of the engines.
        share: f64,
    },
    /// A share of the callers leaves after `after_ms`.
    GiveUp {
        /// Share of the callers.
        share: f64,
        /// Time after which they leave, in milliseconds.
        after_ms: f64,
    },
    /// A share of the callers comes back at once and `x` times as often.
    RetryAbuse {
        /// Share of the callers.
        share: f64,
        /// Factor of the retries.
        x: u32,
    },
}

/// Budget of repeated calls.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Repeated calls for each request.
    pub ratio: f64,
    /// Repeated calls beside the ratio.
    pub extra: f64,
    /// Window in seconds.
    pub window_s: f64,
}

/// Decisions to play.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Name in reports.
    pub name: String,
    /// How servers are chosen.
    #[serde(default)]
    pub placement: Placement,
    /// What entries tell each other.
    #[serde(default)]
    pub summaries: Summaries,
    /// Weights of the choice.
    #[serde(default)]
    pub costs: CostSettings,
    /// Limits of the room for long prompts.
    #[serde(default)]
    pub gate: LongPromptGateSettings,
    /// Limits of the work that an entry takes while it is short of processor time; `null` for none.
    #[serde(default = "overload_by_default")]
    pub overload: Option<OverloadSettings>,
}

#[expect(clippy::unnecessary_wraps, reason = "default of an optional field")]
fn overload_by_default() -> Option<OverloadSettings> {
    Some(OverloadSettings::default())
}

/// How servers are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// By the estimated cost, as entries do.
    #[default]
    Cost,
    /// One after the other, without room and urgency: what a plain balancer does.
    RoundRobin,
}

/// Load summaries between entries.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Summaries {
    /// Whether entries tell each other anything.
    pub enabled: bool,
    /// Shortest interval of summaries to the same availability zone, in milliseconds.
    pub near_ms: f64,
    /// Shortest interval of summaries to other availability zones, in milliseconds.
    pub far_ms: f64,
    /// Shortest interval of the bundles of a relay, in milliseconds.
    pub relay_ms: f64,
}

impl Default for Summaries {
    fn default() -> Self {
        let cadence = SummaryIntervals::default();
        let milliseconds = |interval: Duration| interval.as_secs_f64() * 1_000.0;
        Self {
            enabled: true,
            near_ms: milliseconds(cadence.same_zone),
            far_ms: milliseconds(cadence.cross_zone),
            relay_ms: milliseconds(cadence.relay),
        }
    }
}

impl Summaries {
    /// Returns the intervals as entries take them.
    #[must_use]
    pub fn cadence(&self) -> SummaryIntervals {
        let interval = |value: f64| Duration::from_secs_f64(value.max(0.0) / 1_000.0);
        SummaryIntervals {
            same_zone: interval(self.near_ms),
            cross_zone: interval(self.far_ms),
            relay: interval(self.relay_ms),
        }
    }
}

impl Load {
    /// Returns the length of the run.
    #[must_use]
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.length_s)
    }

    fn check(&self) -> Findings {
        let mut findings = Findings::default();
        let mut need = |is_met: bool, pointer: &str, expected: &str, found: String| {
            if !is_met {
                findings.add_at(pointer, expected, found);
            }
        };
        let length = self.length_s;
        need(
            length > 0.0 && length <= MAX_LENGTH_S,
            "/length_s",
            "a time of at most an hour",
            length.to_string(),
        );
        need(!self.seeds.is_empty(), "/seeds", "a seed", "none".into());
        need(
            !self.policies.is_empty(),
            "/policies",
            "a policy",
            "none".into(),
        );
        need(
            !self.classes.is_empty(),
            "/classes",
            "a class",
            "none".into(),
        );
        need(self.zones > 0, "/zones", "an availability zone", "0".into());
        need(
            self.entries_per_zone > 0,
            "/entries_per_zone",
            "an entry",
            "0".into(),
        );
        for (index, class) in self.classes.iter().enumerate() {
            let has_servers = if class.stream.is_some() {
                self.engines.is_some()
            } else {
                self.services.is_some()
            };
            let pointer = format!("/classes/{index}");
            need(
                has_servers,
                &pointer,
                "a class with servers",
                class.name.clone(),
            );
            need(
                class.rate_per_s > 0.0,
                &pointer,
                "a rate above 0",
                class.rate_per_s.to_string(),
            );
        }
        if let Some(processors) = &self.processors {
            let is_usable =
                !processors.shares.is_empty() && processors.shares.iter().all(|share| *share > 0.0);
            need(
                is_usable,
                "/processors/shares",
                "shares above 0",
                format!("{:?}", processors.shares),
            );
        }
        if let Some(engines) = &self.engines {
            let is_usable = engines.per_zone > 0 && engines.slots > 0 && !engines.speeds.is_empty();
            need(
                is_usable,
                "/engines",
                "engines with slots and speeds",
                "none".into(),
            );
            need(
                engines.chunk_tokens > 0 && engines.event_tokens > 0,
                "/engines",
                "chunk_tokens and event_tokens above 0",
                "0".into(),
            );
            need(
                engines.prefill_tokens_per_ms > 0.0,
                "/engines/prefill_tokens_per_ms",
                "a rate above 0",
                engines.prefill_tokens_per_ms.to_string(),
            );
        }
        for (index, disturbance) in self.disturbances.iter().enumerate() {
            let named = match &disturbance.kind {
                DisturbanceKind::Burst { class, .. } => class.as_ref(),
                DisturbanceKind::HotPart { class, .. } => Some(class),
                _ => None,
            };
            if let Some(name) = named {
                need(
                    self.classes.iter().any(|class| class.name == *name),
                    &format!("/disturbances/{index}"),
                    "the name of a class",
                    name.clone(),
                );
            }
        }
        findings
    }
}

/// Reads and checks a load file.
///
/// # Errors
///
/// All findings, each with its place.
///
/// # Examples
///
/// ```
/// let findings = tanagerford_emulator::load::decode(b"{\"name\": 3}").unwrap_err();
/// assert!(findings.list()[0].to_string().starts_with("/name: "));
/// ```
pub fn decode(content: &[u8]) -> Result<Load, Findings> {
    let mut deserializer = serde_json::Deserializer::from_slice(content);
    let load: Load = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string().replace('.', "/");
        let mut findings = Findings::default();
        findings.add_at(
            &format!("/{path}"),
            "a load file",
            error.into_inner().to_string(),
        );
        findings
    })?;
    let findings = load.check();
    if findings.is_empty() {
        Ok(load)
    } else {
        Err(findings)
    }
}
