//! Stand-in for a model engine with deterministic text, configurable delays, a prefix cache, a delayed load report and
//! crashes on demand.

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::stream;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tanagerford_http::{
    Body, Handler, Limits, Listener, ListenerHandle, Reply, Request, StreamSender,
};
use tanagerford_sync::lock;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of tokens generated for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Length of the prefixes of prompts that are cached.
const PREFIX_BYTES: usize = 512;

/// Maximum number of events that are queued for a slow reader.
const STREAM_CAPACITY: usize = 1_024;

/// Event that ends a stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Configuration of a stand-in engine.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Time to the first token when the prefix is not cached.
    pub first_token: Duration,
    /// Time to the first token when the prefix is cached.
    pub cached_first_token: Duration,
    /// Time between tokens when the batch has one request.
    pub token_gap: Duration,
    /// Time that each further request in the batch adds to `token_gap`.
    pub token_gap_per_request: Duration,
    /// Maximum size of the batch; further requests are refused with status 429.
    pub max_batch: u32,
    /// Maximum number of cached prefixes; the least recently used one is evicted.
    pub cached_prefixes: usize,
    /// Minimum age of the load report, provided that an earlier poll recorded a sample that old.
    pub load_report_lag: Duration,
    /// Text that crashes the engine when the body of a request contains it; `None` for no crashes.
    pub crash_on: Option<String>,
    /// Time after a crash during which the engine refuses all requests with status 503.
    pub restart_after: Duration,
    /// Whether an order with an outdated fencing token is refused with status 409. Otherwise the token is ignored.
    pub checks_fence: bool,
    /// Maximum number of loaded models; an order for a further one is refused with status 507.
    pub model_capacity: usize,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(20),
            cached_first_token: Duration::from_millis(5),
            token_gap: Duration::from_millis(5),
            token_gap_per_request: Duration::from_micros(50),
            max_batch: 64,
            cached_prefixes: 32,
            load_report_lag: Duration::from_millis(500),
            crash_on: None,
            restart_after: Duration::from_millis(200),
            checks_fence: true,
            model_capacity: 4,
        }
    }
}

impl Behaviour {
    /// Returns whether all delays are zero. Responses are then generated without a thread, because starting one costs more
    /// than the response and would limit benchmarks of the request path.
    fn is_instant(&self) -> bool {
        [
            self.first_token,
            self.cached_first_token,
            self.token_gap,
            self.token_gap_per_request,
        ]
        .iter()
        .all(Duration::is_zero)
    }
}

/// Running stand-in engine.
#[derive(Debug)]
pub struct Engine {
    state: Arc<State>,
    listener: ListenerHandle,
}

#[derive(Debug)]
struct State {
    behaviour: Mutex<Behaviour>,
    running: AtomicU32,
    /// Incremented by each crash; streams of an earlier epoch are aborted.
    epoch: AtomicU64,
    down_until: Mutex<Option<Instant>>,
    /// Hashes of the cached prefixes, least recently used first.
    cached_prefixes: Mutex<VecDeque<u64>>,
    /// Samples of `running`, oldest first.
    load_samples: Mutex<VecDeque<(Instant, u32)>>,
    generated_tokens: AtomicU64,
    requests: AtomicU64,
    models: Mutex<EngineModels>,
}

#[derive(Debug, Default)]
struct EngineModels {
    loaded: BTreeSet<String>,
    /// Highest token of an accepted order.
    highest_fencing_token: Option<FencingToken>,
    counts: OrderCounts,
}

/// Number of orders by result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrderCounts {
    /// Loads that were carried out, repeated ones included.
    pub load: u64,
    /// Unloads that were carried out, repeated ones included.
    pub unload: u64,
    /// Orders that were refused because of an outdated fencing token.
    pub refused: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
struct FencingToken {
    generation: u64,
    incarnation: u64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum OrderKind {
    Load,
    Unload,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    kind: OrderKind,
    model: String,
    fence: FencingToken,
}

#[derive(Debug, Deserialize)]
struct GenerateBody {
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    messages: serde_json::Value,
    #[serde(default)]
    prompt: serde_json::Value,
}

/// Returns the token at position `index` of the text generated for `prompt`, the JSON text of the request's `messages`
/// or `prompt`.
///
/// # Examples
///
/// ```
/// use tanagerford_standin::engine::token;
///
/// assert_eq!(token("[]", 3), token("[]", 3));
/// assert_ne!(token("[]", 3), token("[]", 4));
/// ```
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    format!("{:04x} ", hash & 0xffff)
}

impl Engine {
    /// Starts a stand-in engine on a loopback port picked by the operating system.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(behaviour: Behaviour) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), behaviour)
    }

    /// Starts a stand-in engine at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start_at(address: SocketAddr, behaviour: Behaviour) -> io::Result<Self> {
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            running: AtomicU32::new(0),
            epoch: AtomicU64::new(0),
            down_until: Mutex::default(),
            cached_prefixes: Mutex::default(),
            load_samples: Mutex::default(),
            generated_tokens: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            models: Mutex::default(),
        });
        let listener =
            Listener::bind(address, Limits::default())?.start(EngineHandler(Arc::clone(&state)))?;
        Ok(Self { state, listener })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the number of requests accepted since the start; refused ones do not count.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.state.requests.load(Ordering::Acquire)
    }

    /// Returns the number of tokens generated since the start, over all requests.
    #[must_use]
    pub fn generated_tokens(&self) -> u64 {
        self.state.generated_tokens.load(Ordering::Acquire)
    }

    /// Returns the number of requests in the batch.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::Acquire)
    }

    /// Returns the number of crashes since the start.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.state.epoch.load(Ordering::Acquire)
    }

    /// Returns the number of orders since the start, by result.
    #[must_use]
    pub fn orders(&self) -> OrderCounts {
        lock(&self.state.models).counts
    }

    /// Returns the loaded models; a crash unloads all of them.
    #[must_use]
    pub fn models(&self) -> BTreeSet<String> {
        lock(&self.state.models).loaded.clone()
    }

    /// Aborts all streams, drops loaded models and cached prefixes, and refuses requests for
    /// [`Behaviour::restart_after`].
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Replaces the configuration; it applies to later tokens and requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }
}

struct EngineHandler(Arc<State>);

impl Handler for EngineHandler {
    async fn handle(&self, request: Request) -> Reply {
        if self.0.is_down() {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "engine restarts");
        }
        match request.uri.path() {
            "/health" => text_reply(StatusCode::OK, "ok"),
            "/load" => self.0.load_report(),
            "/admin/models" => self.0.model_report(),
            "/admin/orders" => self.0.order(&request),
            "/v1/chat/completions" | "/v1/completions" => self.0.generate(&request),
            _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn rejected(&self, status: StatusCode) -> Reply {
        text_reply(status, "bad request")
    }
}

impl State {
    fn crash(&self) {
        let restart_after = lock(&self.behaviour).restart_after;
        *lock(&self.down_until) = Some(Instant::now() + restart_after);
        self.epoch.fetch_add(1, Ordering::AcqRel);
        lock(&self.cached_prefixes).clear();
        lock(&self.models).loaded.clear();
    }

    fn model_report(&self) -> Reply {
        let capacity = lock(&self.behaviour).model_capacity;
        let loaded = lock(&self.models).loaded.clone();
        let report = json!({"loaded": loaded, "loading": [], "capacity": capacity});
        text_reply(StatusCode::OK, &report.to_string())
    }

    fn order(&self, request: &Request) -> Reply {
        if request.method != http::Method::POST {
            return text_reply(StatusCode::METHOD_NOT_ALLOWED, "orders are posted");
        }
        let Ok(order) = serde_json::from_slice::<OrderBody>(&request.body) else {
            return text_reply(StatusCode::BAD_REQUEST, "body is not an order");
        };
        let (checks_fence, capacity) = {
            let behaviour = lock(&self.behaviour);
            (behaviour.checks_fence, behaviour.model_capacity)
        };
        let mut models = lock(&self.models);
        if checks_fence && models.highest_fencing_token > Some(order.fence) {
            models.counts.refused += 1;
            return text_reply(StatusCode::CONFLICT, "fencing number is outdated");
        }
        models.highest_fencing_token = models.highest_fencing_token.max(Some(order.fence));
        models.apply(order, capacity)
    }

    fn is_down(&self) -> bool {
        lock(&self.down_until).is_some_and(|until| Instant::now() < until)
    }

    fn load_report(&self) -> Reply {
        let lag = lock(&self.behaviour).load_report_lag;
        let now = Instant::now();
        let mut samples = lock(&self.load_samples);
        samples.push_back((now, self.running.load(Ordering::Acquire)));
        while samples.len() > 1 && samples[1].0 + lag <= now {
            samples.pop_front();
        }
        let (sampled_at, running) = samples[0];
        let age_ms = now.duration_since(sampled_at).as_millis();
        let max_batch = lock(&self.behaviour).max_batch;
        let token_gap = self.token_gap();
        let report = json!({
            "running": running,
            "waiting": 0,
            "max_batch": max_batch,
            "token_gap_us": u64::try_from(token_gap.as_micros()).unwrap_or(u64::MAX),
            "age_ms": u64::try_from(age_ms).unwrap_or(u64::MAX),
        });
        text_reply(StatusCode::OK, &report.to_string())
    }

    fn generate(self: &Arc<Self>, request: &Request) -> Reply {
        let Ok(body) = serde_json::from_slice::<GenerateBody>(&request.body) else {
            return text_reply(StatusCode::BAD_REQUEST, "body is not a generate request");
        };
        let behaviour = lock(&self.behaviour).clone();
        // Read before the request can crash the engine, so that the crash also aborts this request.
        let epoch = self.epoch.load(Ordering::Acquire);
        if let Some(text) = &behaviour.crash_on
            && String::from_utf8_lossy(&request.body).contains(text)
        {
            self.crash();
        }
        if self.running.fetch_add(1, Ordering::AcqRel) >= behaviour.max_batch {
            self.running.fetch_sub(1, Ordering::AcqRel);
            return text_reply(StatusCode::TOO_MANY_REQUESTS, "batch is full");
        }
        self.requests.fetch_add(1, Ordering::AcqRel);
        let is_chat = request.uri.path() == "/v1/chat/completions";
        let prompt = if is_chat { body.messages } else { body.prompt }.to_string();
        let generation = Generation {
            id: header(request, "x-request-id")
                .unwrap_or("standin")
                .to_owned(),
            is_chat,
            first_index: header(request, "x-resume-from-tokens")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0),
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            epoch,
            prompt,
        };
        let running = RunningGuard(Arc::clone(self));
        let body = if behaviour.is_instant() {
            generation.into_body(running)
        } else {
            let (sender, body) = tanagerford_http::streamed_body(STREAM_CAPACITY);
            thread::spawn(move || generation.run(&running.0, sender));
            body
        };
        let mut reply = Reply::new(body);
        let content_type = http::HeaderValue::from_static("text/event-stream");
        reply
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        reply
    }

    /// Caches the prefix of `prompt` and returns whether it was cached before.
    fn cache_prefix(&self, prompt: &str) -> bool {
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let hash = xxh3_64_with_seed(prefix, 0);
        let capacity = lock(&self.behaviour).cached_prefixes;
        let mut prefixes = lock(&self.cached_prefixes);
        let was_cached = prefixes.iter().any(|cached| *cached == hash);
        prefixes.retain(|cached| *cached != hash);
        prefixes.push_back(hash);
        while prefixes.len() > capacity {
            prefixes.pop_front();
        }
        was_cached
    }

    fn token_gap(&self) -> Duration {
        let behaviour = lock(&self.behaviour);
        let other_requests = self.running.load(Ordering::Acquire).saturating_sub(1);
        behaviour.token_gap + behaviour.token_gap_per_request * other_requests
    }

    fn first_token_delay(&self, is_cached: bool) -> Duration {
        let behaviour = lock(&self.behaviour);
        if is_cached {
            behaviour.cached_first_token
        } else {
            behaviour.first_token
        }
    }
}

impl EngineModels {
    fn apply(&mut self, order: OrderBody, capacity: usize) -> Reply {
        match order.kind {
            OrderKind::Load => {
                if self.loaded.len() >= capacity && !self.loaded.contains(&order.model) {
                    return text_reply(StatusCode::INSUFFICIENT_STORAGE, "no room for the model");
                }
                self.counts.load += 1;
                self.loaded.insert(order.model);
            }
            OrderKind::Unload => {
                self.counts.unload += 1;
                self.loaded.remove(&order.model);
            }
        }
        text_reply(StatusCode::ACCEPTED, "accepted")
    }
}

/// Decrements the number of running requests on drop.
struct RunningGuard(Arc<State>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Response that is being generated.
#[derive(Debug)]
struct Generation {
    id: String,
    is_chat: bool,
    prompt: String,
    /// Position of the first token to generate; earlier ones came from another engine.
    first_index: u32,
    /// Number of tokens of the complete text, including those before `first_index`.
    max_tokens: u32,
    /// Epoch of the engine when the request arrived.
    epoch: u64,
}

impl Generation {
    /// Sends the tokens with their delays. Returns early when the engine crashes or the connection closes; dropping the
    /// sender then aborts the transfer.
    fn run(&self, state: &State, sender: StreamSender) {
        sleep(state.first_token_delay(state.cache_prefix(&self.prompt)));
        for index in self.first_index..self.max_tokens {
            if index > self.first_index {
                sleep(state.token_gap());
            }
            if state.epoch.load(Ordering::Acquire) != self.epoch {
                return;
            }
            state.generated_tokens.fetch_add(1, Ordering::AcqRel);
            if sender.send_blocking(self.event(index)).is_err() {
                return;
            }
        }
        let sent = sender.send_blocking(self.last_event());
        if sent.is_ok() && sender.send_blocking(DONE_EVENT).is_ok() {
            let _ = sender.end();
        }
    }

    /// Returns a body that generates its events without delays while it is sent. A crash aborts the transfer.
    fn into_body(self, running: RunningGuard) -> Body {
        running.0.cache_prefix(&self.prompt);
        let first_index = self.first_index;
        Body::streamed(stream::unfold(
            (Some(running), first_index),
            move |(running, index)| {
                let chunk = running.map(|running| self.next_chunk(running, index));
                async move { chunk }
            },
        ))
    }

    /// Returns the chunk at position `index` of a response without delays, and the state for the next chunk. The chunk
    /// after the last token ends the stream.
    fn next_chunk(
        &self,
        running: RunningGuard,
        index: u32,
    ) -> (io::Result<Bytes>, (Option<RunningGuard>, u32)) {
        let state = &running.0;
        if state.epoch.load(Ordering::Acquire) != self.epoch {
            let crashed = io::Error::new(io::ErrorKind::ConnectionAborted, "engine crashed");
            return (Err(crashed), (None, index));
        }
        if index >= self.max_tokens {
            let last = format!("{}{DONE_EVENT}", self.last_event());
            return (Ok(Bytes::from(last)), (None, index));
        }
        state.generated_tokens.fetch_add(1, Ordering::AcqRel);
        let event = Bytes::from(self.event(index));
        (Ok(event), (Some(running), index + 1))
    }

    fn event(&self, index: u32) -> String {
        let text = token(&self.prompt, index);
        let choice = if self.is_chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
        } else {
            json!({"index": 0, "text": text, "finish_reason": null})
        };
        self.format_event(&choice)
    }

    fn last_event(&self) -> String {
        let choice = if self.is_chat {
            json!({"index": 0, "delta": {}, "finish_reason": "length"})
        } else {
            json!({"index": 0, "text": "", "finish_reason": "length"})
        };
        self.format_event(&choice)
    }

    fn format_event(&self, choice: &serde_json::Value) -> String {
        let object = if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let chunk = json!({"id": self.id, "object": object, "choices": [choice]});
        format!("data: {chunk}\n\n")
    }
}

fn sleep(duration: Duration) {
    if !duration.is_zero() {
        thread::sleep(duration);
    }
}

fn header<'request>(request: &'request Request, name: &str) -> Option<&'request str> {
    request.headers.get(name)?.to_str().ok()
}

fn text_reply(status: StatusCode, text: &str) -> Reply {
    let mut reply = Reply::new(Body::full(text.to_owned()));
    *reply.status_mut() = status;
    reply
}
