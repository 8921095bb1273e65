//! Load files: emulated servers, classes of requests, disturbances and the policies to compare.

use std::time::Duration;

use serde::Deserialize;
use tanagerford_core::config::finding::Findings;
use tanagerford_core::dispatch::{CostSettings, LongPromptGateSettings, OverloadSettings};
use tanagerford_core::exchange::SummaryIntervals;

/// Longest run of a load file; guards against typing errors.
const MAX_LENGTH_S: f64 = 3_600.0;

/// Content of a load file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Title of the report.
    pub name: String,
    /// Time for which callers send requests, in seconds; above 0 and at most 3600.
    pub length_s: f64,
    /// Seeds of the runs; each gives other arrivals, sizes and disturbed servers. At least one.
    pub seeds: Vec<u64>,
    /// Count of availability zones, at least 1; entries, servers and callers are spread evenly over them.
    pub zones: usize,
    /// Entries in each availability zone, at least 1.
    pub entries_per_zone: usize,
    /// One-way network delays.
    pub network: Network,
    /// Model engines; required if a class has a `stream`.
    pub engines: Option<EnginePool>,
    /// Transfers of cached prompt parts between the engines; if absent, engines do not copy parts.
    #[serde(default)]
    pub transfers: Option<Transfers>,
    /// Servers of a plain service; required if a class has no `stream`.
    pub services: Option<ServicePool>,
    /// Processors of the entries; if absent, the work of entries takes no time.
    #[serde(default)]
    pub processors: Option<Processors>,
    /// Classes of requests, at least one.
    pub classes: Vec<Class>,
    /// Temporary changes of the load or the servers.
    #[serde(default)]
    pub disturbances: Vec<Disturbance>,
    /// Retry budget that all entries share.
    pub budget: Budget,
    /// Policies to compare, at least one; each runs with every seed.
    pub policies: Vec<Policy>,
}

/// One-way network delays in milliseconds.
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
    /// Capacity of the queue; the engine refuses requests beyond it.
    pub queue: usize,
    /// Tokens that running requests and cached parts share.
    pub memory_tokens: u64,
    /// Fixed time of a step, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub step_request_ms: f64,
    /// Time that a thousand tokens of context add to a step, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens that are prefilled in a millisecond; above 0.
    pub prefill_tokens_per_ms: f64,
    /// Time that a million pairs of prompt tokens (attention) add to prefill, in milliseconds.
    pub pairs_ms_per_m: f64,
    /// Prompt tokens that one step prefills at most; above 0.
    pub chunk_tokens: u32,
    /// Time that every event of a response takes beside queueing and prefill, in milliseconds. It delays the response
    /// but occupies no engine time.
    pub first_token_ms: f64,
    /// Tokens of one stream event; above 0.
    pub event_tokens: u32,
    /// Factors on the times above; assigned to the engines in turn.
    #[serde(rename = "speeds")]
    pub time_factors: Vec<f64>,
}

/// Transfers of cached prompt parts between engines. Each engine carries them out one after another.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfers {
    /// Bytes of cache memory for each token; above 0.
    pub kv_token_bytes: f64,
    /// Rate of a transfer in megabits per second; above 0. Transfers between availability zones take twice as long.
    pub link_mbps: f64,
    /// Fixed time of a transfer, in milliseconds.
    pub setup_ms: f64,
}

/// Servers of a plain service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePool {
    /// Servers in each availability zone.
    pub per_zone: usize,
    /// Requests that a server runs at the same time.
    pub slots: usize,
    /// Capacity of the queue; the server refuses requests beyond it.
    pub queue: usize,
}

/// Processors of the entries.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Processors {
    /// Shares of a core, above 0; assigned in turn to the entries of each availability zone.
    pub shares: Vec<f64>,
    /// Time of a whole core to receive a request and send its response, in microseconds.
    pub request_us: f64,
    /// Time to choose a server and send a call to it, in microseconds.
    pub send_us: f64,
    /// Time to forward a chunk of a response, or to handle a timer or a closed connection, in microseconds.
    pub event_us: f64,
    /// Time to send or receive messages between entries, in microseconds.
    pub message_us: f64,
}

impl Processors {
    /// Returns the share of a core of the entry at `position` within its availability zone.
    pub(crate) fn share(&self, position: usize) -> f64 {
        let share = self.shares.iter().cycle().nth(position);
        share.copied().unwrap_or(1.0)
    }

    /// Returns the share of a core of the entry at `position` within its availability zone, in thousandths.
    pub(crate) fn capacity(&self, position: usize) -> u32 {
        let thousandths = Duration::from_secs_f64(self.share(position)).as_millis();
        u32::try_from(thousandths).unwrap_or(u32::MAX)
    }
}

/// Class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in reports and in disturbances.
    pub name: String,
    /// Mean requests per second, without disturbances; above 0.
    pub rate_per_s: f64,
    /// Latency objective of the first event of a stream or of the whole response, in milliseconds.
    pub objective_ms: f64,
    /// Time after which the caller disconnects, in milliseconds.
    pub deadline_ms: f64,
    /// Value of a response that meets the objectives.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Value of a complete response that misses an objective.
    #[serde(rename = "late_worth")]
    pub late_value: f64,
    /// Rank of the route; 0 is served first.
    pub rank: u8,
    /// Largest count of retries by the caller after refusals.
    pub retries: u32,
    /// Count of broken attempts after which a request is not retried, because servers may have run it.
    pub max_attempts: u32,
    /// Size of a request's body.
    pub body_bytes: usize,
    /// Work for a model engine; if absent, the requests go to the plain service.
    pub stream: Option<Stream>,
    /// Mean service time at a plain service, in milliseconds; unused for streams.
    #[serde(default)]
    pub work_ms: f64,
}

/// Prompt and response of a class of model requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Limit of the pause between two events, in milliseconds.
    pub pause_ms: f64,
    /// Parts at the beginning of the prompt that requests share, in order.
    pub parts: Vec<SharedPart>,
    /// Prompt tokens after the shared parts.
    pub own_tokens: Tokens,
    /// Count of events of the response.
    pub events: Tokens,
    /// Whether another server may continue the response.
    pub may_resume: bool,
}

/// Part of a prompt that several requests share.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPart {
    /// Count of alternative parts; 0 counts as 1.
    pub variants: u32,
    /// Exponent of the Zipf distribution over the variants; 0 gives a uniform distribution.
    #[serde(default)]
    pub skew: f64,
    /// Size of a variant.
    pub tokens: Tokens,
}

/// Log-normal distribution of a size.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// Mean before the limit `max` applies.
    pub mean: f64,
    /// Standard deviation of the logarithm; 0 gives a constant.
    #[serde(default)]
    pub spread: f64,
    /// Upper limit; larger draws are reduced to it.
    pub max: f64,
}

/// Temporary change of the load or the servers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// Start, in seconds from the start of the run.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
    /// Effect of the disturbance.
    pub kind: DisturbanceKind,
}

/// Effect of a disturbance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DisturbanceKind {
    /// The rate of one class or of all classes is multiplied by `x`.
    Burst {
        /// Affected class; all classes if absent.
        class: Option<String>,
        /// Factor on the rate.
        #[serde(rename = "x")]
        factor: f64,
    },
    /// A share of a class's requests uses the first variant of each shared part.
    HotPart {
        /// Affected class.
        class: String,
        /// Share of the requests.
        share: f64,
    },
    /// The steps of a share of the engines take `x` times as long.
    SlowEngines {
        /// Share of the engines.
        share: f64,
        /// Factor on the time of a step.
        #[serde(rename = "x")]
        factor: f64,
    },
    /// A share of the engines crashes and restarts with an empty cache at the end of the disturbance.
    CrashedEngines {
        /// Share of the engines.
        share: f64,
    },
    /// A share of the engines takes only `per_s` requests a second from all entries together, and says so in its answers.
    LimitedEngines {
        /// Share of the engines.
        share: f64,
        /// Requests per second.
        #[serde(rename = "per_s")]
        rate: f64,
    },
    /// A share of the engines turns each request away and asks its entry for a rest.
    RestingEngines {
        /// Share of the engines.
        share: f64,
        /// Time of the rest in seconds.
        rest_s: f64,
    },
    /// A share of the callers disconnects after `after_ms`.
    GiveUp {
        /// Share of the callers.
        share: f64,
        /// Time from sending to the disconnect, in milliseconds.
        after_ms: f64,
    },
    /// A share of the callers retries without waiting and `x` times as often.
    RetryAbuse {
        /// Share of the callers.
        share: f64,
        /// Factor on the largest count of retries.
        #[serde(rename = "x")]
        factor: u32,
    },
}

/// Retry budget: within the window, `ratio` times the requests plus `extra` retries are allowed.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed independently of the requests.
    pub extra: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
}

/// Settings of the entries' decision code for one run.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Name in reports.
    pub name: String,
    /// Method of choosing a server; `cost` by default.
    #[serde(default)]
    pub placement: Placement,
    /// Load summaries that entries exchange.
    #[serde(default)]
    pub summaries: Summaries,
    /// Weights and assumed times for the choice of a server.
    #[serde(default)]
    pub costs: CostSettings,
    /// Limits for the admission of long prompts.
    #[serde(default)]
    pub gate: LongPromptGateSettings,
    /// Whether entries let engines fetch prompt parts from each other, if the load has `transfers`.
    #[serde(default = "fetches_by_default")]
    pub fetches: bool,
    /// Load shedding of an entry that is short of processor time; `null` turns it off, and an absent key means the
    /// defaults.
    #[serde(default = "overload_by_default")]
    pub overload: Option<OverloadSettings>,
}

fn fetches_by_default() -> bool {
    true
}

#[expect(clippy::unnecessary_wraps, reason = "default of an optional field")]
fn overload_by_default() -> Option<OverloadSettings> {
    Some(OverloadSettings::default())
}

/// Method of choosing a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// Lowest estimated cost, as in production.
    #[default]
    Cost,
    /// Round robin, without admission control of long prompts and with the same urgency for all classes, as a plain
    /// load balancer does.
    RoundRobin,
}

/// Settings of the load summaries between entries. The default intervals are those of production.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Summaries {
    /// Whether entries send summaries at all; true by default.
    pub enabled: bool,
    /// Minimum interval between summaries to the same availability zone, in milliseconds.
    #[serde(rename = "near_ms")]
    pub same_zone_ms: f64,
    /// Minimum interval between summaries to other availability zones, in milliseconds.
    #[serde(rename = "far_ms")]
    pub cross_zone_ms: f64,
    /// Minimum interval between the bundles that a relay forwards, in milliseconds.
    pub relay_ms: f64,
}

impl Default for Summaries {
    fn default() -> Self {
        let intervals = SummaryIntervals::default();
        let milliseconds = |interval: Duration| interval.as_secs_f64() * 1_000.0;
        Self {
            enabled: true,
            same_zone_ms: milliseconds(intervals.same_zone),
            cross_zone_ms: milliseconds(intervals.cross_zone),
            relay_ms: milliseconds(intervals.relay),
        }
    }
}

impl Summaries {
    /// Converts the intervals for `Exchange`; negative values count as 0.
    pub(crate) fn intervals(&self) -> SummaryIntervals {
        let interval = |value: f64| Duration::from_secs_f64(value.max(0.0) / 1_000.0);
        SummaryIntervals {
            same_zone: interval(self.same_zone_ms),
            cross_zone: interval(self.cross_zone_ms),
            relay: interval(self.relay_ms),
        }
    }
}

impl Load {
    /// Returns the time for which callers send requests.
    pub(crate) fn length(&self) -> Duration {
        Duration::from_secs_f64(self.length_s)
    }

    fn check(&self) -> Findings {
        let mut findings = Findings::default();
        let mut require = |is_met: bool, pointer: &str, expected: &str, found: String| {
            if !is_met {
                findings.add_at(pointer, expected, found);
            }
        };
        require(
            self.length_s > 0.0 && self.length_s <= MAX_LENGTH_S,
            "/length_s",
            "a length above 0 and at most 3600 seconds",
            self.length_s.to_string(),
        );
        require(!self.seeds.is_empty(), "/seeds", "a seed", "none".into());
        require(
            !self.policies.is_empty(),
            "/policies",
            "a policy",
            "none".into(),
        );
        require(
            !self.classes.is_empty(),
            "/classes",
            "a class",
            "none".into(),
        );
        require(self.zones > 0, "/zones", "an availability zone", "0".into());
        require(
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
            require(
                has_servers,
                &pointer,
                "a class whose engines or services are configured",
                class.name.clone(),
            );
            require(
                class.rate_per_s > 0.0,
                &pointer,
                "a rate above 0",
                class.rate_per_s.to_string(),
            );
        }
        if let Some(processors) = &self.processors {
            let is_usable =
                !processors.shares.is_empty() && processors.shares.iter().all(|share| *share > 0.0);
            require(
                is_usable,
                "/processors/shares",
                "shares above 0",
                format!("{:?}", processors.shares),
            );
        }
        if let Some(engines) = &self.engines {
            let is_usable =
                engines.per_zone > 0 && engines.slots > 0 && !engines.time_factors.is_empty();
            require(
                is_usable,
                "/engines",
                "engines with slots and speeds",
                "none".into(),
            );
            require(
                engines.chunk_tokens > 0 && engines.event_tokens > 0,
                "/engines",
                "chunk_tokens and event_tokens above 0",
                "0".into(),
            );
            require(
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
                require(
                    self.classes.iter().any(|class| class.name == *name),
                    &format!("/disturbances/{index}"),
                    "the name of a class",
                    name.clone(),
                );
            }
        }
        findings
    }

    fn check_transfers(&self, findings: &mut Findings) {
        if let Some(transfers) = &self.transfers
            && (transfers.kv_token_bytes <= 0.0 || transfers.link_mbps <= 0.0)
        {
            findings.add_at(
                "/transfers",
                "a size of a token and a rate above 0",
                format!("{transfers:?}"),
            );
        }
    }
}

/// Decodes and checks a load file.
///
/// # Errors
///
/// Returns the syntax error, or all findings of the checks; each has the JSON pointer of the faulty value.
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
    let mut findings = load.check();
    load.check_transfers(&mut findings);
    if findings.is_empty() {
        Ok(load)
    } else {
        Err(findings)
    }
}
