//! Stand-in for a model engine: deterministic text, seeded timing, prefix cache, lagging load report, crash on demand.

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

/// Tokens of an answer whose request names no limit.
const DEFAULT_TOKENS: u32 = 16;

/// Bytes of the prompt's start that make up a cached prefix.
const PREFIX_BYTES: usize = 512;

/// Parts that wait for a slow reader.
const STREAM_CAPACITY: usize = 1_024;

/// Event that ends a stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// How a stand-in engine behaves.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Time to the first token without a cached prefix.
    pub first_token: Duration,
    /// Time to the first token with a cached prefix.
    pub cached_first_token: Duration,
    /// Time between tokens with one request in the batch.
    pub token_gap: Duration,
    /// Time that each further request in the batch adds between tokens.
    pub token_gap_per_request: Duration,
    /// Largest batch; further requests are refused with status 429.
    pub max_batch: u32,
    /// Prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Age of the load report.
    pub load_report_lag: Duration,
    /// A request whose body contains this text crashes the engine.
    pub crash_on: Option<String>,
    /// Time that the engine is down after a crash.
    pub restart_after: Duration,
    /// Whether an order with an outdated fencing number is refused with status 409; else the number is ignored.
    pub checks_fence: bool,
    /// Largest count of models that the engine holds together.
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
    /// Returns whether the engine generates without any delay. Such answers need no thread, whose start would cost more
    /// than the answer and limit benchmarks of the path.
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
    /// Rises with each crash; a stream of an older epoch is cut.
    epoch: AtomicU64,
    down_until: Mutex<Option<Instant>>,
    prefixes: Mutex<VecDeque<u64>>,
    reports: Mutex<VecDeque<(Instant, u32)>>,
    generated_tokens: AtomicU64,
    requests: AtomicU64,
    models: Mutex<EngineModels>,
}

/// Models of the engine, the highest fencing number that it has seen and the count of its orders.
#[derive(Debug, Default)]
struct EngineModels {
    loaded: BTreeSet<String>,
    highest_fence: Option<OrderFence>,
    counts: OrderCounts,
}

/// Count of orders by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrderCounts {
    /// Orders to load a model that were carried out.
    pub load: u64,
    /// Orders to unload a model that were carried out.
    pub unload: u64,
    /// Orders that were refused for their outdated fencing number.
    pub refused: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
struct OrderFence {
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
    fence: OrderFence,
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

/// Returns token `index` of the answer to `prompt`, the JSON text of the request's `messages` or `prompt`.
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
    /// Starts a stand-in engine on a port that the system picks.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
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
            prefixes: Mutex::default(),
            reports: Mutex::default(),
            generated_tokens: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            models: Mutex::default(),
        });
        let listener =
            Listener::bind(address, Limits::default())?.start(EngineHandler(Arc::clone(&state)))?;
        Ok(Self { state, listener })
    }

    /// Returns the engine's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the count of requests that the engine accepted.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.state.requests.load(Ordering::Acquire)
    }

    /// Returns the count of tokens that the engine generated.
    #[must_use]
    pub fn generated_tokens(&self) -> u64 {
        self.state.generated_tokens.load(Ordering::Acquire)
    }

    /// Returns the count of requests that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::Acquire)
    }

    /// Returns how often the engine has crashed.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.state.epoch.load(Ordering::Acquire)
    }

    /// Returns the count of orders by kind.
    #[must_use]
    pub fn orders(&self) -> OrderCounts {
        lock(&self.state.models).counts
    }

    /// Returns the models that are loaded.
    #[must_use]
    pub fn models(&self) -> BTreeSet<String> {
        lock(&self.state.models).loaded.clone()
    }

    /// Cuts all streams and refuses work until the engine has restarted.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Changes the behaviour for later tokens and requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }
}

/// Answers the HTTP requests of one engine.
struct EngineHandler(Arc<State>);

impl Handler for EngineHandler {
    async fn handle(&self, request: Request) -> Reply {
        if self.0.is_down() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "engine restarts");
        }
        match request.uri.path() {
            "/health" => plain(StatusCode::OK, "ok"),
            "/load" => self.0.load_report(),
            "/admin/models" => self.0.model_report(),
            "/admin/orders" => self.0.order(&request),
            "/v1/chat/completions" | "/v1/completions" => self.0.generate(&request),
            _ => plain(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn rejected(&self, status: StatusCode) -> Reply {
        plain(status, "bad request")
    }
}

impl State {
    fn crash(&self) {
        let restart_after = lock(&self.behaviour).restart_after;
        *lock(&self.down_until) = Some(Instant::now() + restart_after);
        self.epoch.fetch_add(1, Ordering::AcqRel);
        lock(&self.prefixes).clear();
        lock(&self.models).loaded.clear();
    }

    fn model_report(&self) -> Reply {
        let capacity = lock(&self.behaviour).model_capacity;
        let loaded = lock(&self.models).loaded.clone();
        let report = json!({"loaded": loaded, "loading": [], "capacity": capacity});
        plain(StatusCode::OK, &report.to_string())
    }

    fn order(&self, request: &Request) -> Reply {
        if request.method != http::Method::POST {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "orders are posted");
        }
        let Ok(order) = serde_json::from_slice::<OrderBody>(&request.body) else {
            return plain(StatusCode::BAD_REQUEST, "body is not an order");
        };
        let (checks_fence, capacity) = {
            let behaviour = lock(&self.behaviour);
            (behaviour.checks_fence, behaviour.model_capacity)
        };
        let mut models = lock(&self.models);
        if checks_fence && models.highest_fence > Some(order.fence) {
            models.counts.refused += 1;
            return plain(StatusCode::CONFLICT, "fencing number is outdated");
        }
        models.highest_fence = models.highest_fence.max(Some(order.fence));
        models.carry_out(order, capacity)
    }

    fn is_down(&self) -> bool {
        lock(&self.down_until).is_some_and(|until| Instant::now() < until)
    }

    fn load_report(&self) -> Reply {
        let lag = lock(&self.behaviour).load_report_lag;
        let now = Instant::now();
        let mut reports = lock(&self.reports);
        reports.push_back((now, self.running.load(Ordering::Acquire)));
        while reports.len() > 1 && reports[1].0 + lag <= now {
            reports.pop_front();
        }
        let (taken_at, running) = reports[0];
        let age_ms = now.duration_since(taken_at).as_millis();
        let max_batch = lock(&self.behaviour).max_batch;
        let token_gap = self.token_gap();
        let report = json!({
            "running": running,
            "waiting": 0,
            "max_batch": max_batch,
            "token_gap_us": u64::try_from(token_gap.as_micros()).unwrap_or(u64::MAX),
            "age_ms": u64::try_from(age_ms).unwrap_or(u64::MAX),
        });
        plain(StatusCode::OK, &report.to_string())
    }

    fn generate(self: &Arc<Self>, request: &Request) -> Reply {
        let Ok(body) = serde_json::from_slice::<GenerateBody>(&request.body) else {
            return plain(StatusCode::BAD_REQUEST, "body is not a generate request");
        };
        let behaviour = lock(&self.behaviour).clone();
        // Read before the request can crash the engine, so that the crash cuts the request itself, too.
        let epoch = self.epoch.load(Ordering::Acquire);
        if let Some(text) = &behaviour.crash_on
            && String::from_utf8_lossy(&request.body).contains(text)
        {
            self.crash();
        }
        if self.running.fetch_add(1, Ordering::AcqRel) >= behaviour.max_batch {
            self.running.fetch_sub(1, Ordering::AcqRel);
            return plain(StatusCode::TOO_MANY_REQUESTS, "batch is full");
        }
        self.requests.fetch_add(1, Ordering::AcqRel);
        let chat = request.uri.path() == "/v1/chat/completions";
        let prompt = if chat { body.messages } else { body.prompt }.to_string();
        let generation = Generation {
            id: header(request, "x-request-id")
                .unwrap_or("standin")
                .to_owned(),
            chat,
            first_index: header(request, "x-resume-from-tokens")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0),
            tokens: body.max_tokens.unwrap_or(DEFAULT_TOKENS),
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

    /// Returns whether the prefix of `prompt` was cached, and caches it.
    fn touch_prefix(&self, prompt: &str) -> bool {
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let hash = xxh3_64_with_seed(prefix, 0);
        let capacity = lock(&self.behaviour).cached_prefixes;
        let mut prefixes = lock(&self.prefixes);
        let cached = prefixes.iter().any(|cached| *cached == hash);
        prefixes.retain(|cached| *cached != hash);
        prefixes.push_back(hash);
        while prefixes.len() > capacity {
            prefixes.pop_front();
        }
        cached
    }

    fn token_gap(&self) -> Duration {
        let behaviour = lock(&self.behaviour);
        let others = self.running.load(Ordering::Acquire).saturating_sub(1);
        behaviour.token_gap + behaviour.token_gap_per_request * others
    }

    fn first_token(&self, cached: bool) -> Duration {
        let behaviour = lock(&self.behaviour);
        if cached {
            behaviour.cached_first_token
        } else {
            behaviour.first_token
        }
    }
}

impl EngineModels {
    fn carry_out(&mut self, order: OrderBody, capacity: usize) -> Reply {
        match order.kind {
            OrderKind::Load => {
                if self.loaded.len() >= capacity && !self.loaded.contains(&order.model) {
                    return plain(StatusCode::INSUFFICIENT_STORAGE, "no room for the model");
                }
                self.counts.load += 1;
                self.loaded.insert(order.model);
            }
            OrderKind::Unload => {
                self.counts.unload += 1;
                self.loaded.remove(&order.model);
            }
        }
        plain(StatusCode::ACCEPTED, "accepted")
    }
}

/// Counts a request as running while it lives.
struct RunningGuard(Arc<State>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// One answer in progress.
#[derive(Debug)]
struct Generation {
    id: String,
    chat: bool,
    prompt: String,
    first_index: u32,
    tokens: u32,
    epoch: u64,
}

impl Generation {
    /// Sends the tokens; returns early, which aborts the transfer, when the engine crashes or the reader is gone.
    fn run(&self, state: &State, sender: StreamSender) {
        pause(state.first_token(state.touch_prefix(&self.prompt)));
        for index in self.first_index..self.tokens {
            if index > self.first_index {
                pause(state.token_gap());
            }
            if state.epoch.load(Ordering::Acquire) != self.epoch {
                return;
            }
            state.generated_tokens.fetch_add(1, Ordering::AcqRel);
            if sender.send_blocking(self.event(index)).is_err() {
                return;
            }
        }
        let finished = sender.send_blocking(self.last_event());
        if finished.is_ok() && sender.send_blocking(DONE_EVENT).is_ok() {
            let _ = sender.end();
        }
    }

    /// Returns the whole answer as a body that generates its events while it is sent. A crash aborts the transfer.
    fn into_body(self, running: RunningGuard) -> Body {
        running.0.touch_prefix(&self.prompt);
        let next = self.first_index;
        Body::streamed(stream::unfold(
            (Some(running), next),
            move |(running, index)| {
                let part = running.map(|running| self.part(running, index));
                async move { part }
            },
        ))
    }

    /// Returns event `index` of an instant answer and what the next event needs; the event after the last token ends
    /// the stream.
    fn part(
        &self,
        running: RunningGuard,
        index: u32,
    ) -> (io::Result<Bytes>, (Option<RunningGuard>, u32)) {
        let state = &running.0;
        if state.epoch.load(Ordering::Acquire) != self.epoch {
            let crashed = io::Error::new(io::ErrorKind::ConnectionAborted, "engine crashed");
            return (Err(crashed), (None, index));
        }
        if index >= self.tokens {
            let last = format!("{}{DONE_EVENT}", self.last_event());
            return (Ok(Bytes::from(last)), (None, index));
        }
        state.generated_tokens.fetch_add(1, Ordering::AcqRel);
        let event = Bytes::from(self.event(index));
        (Ok(event), (Some(running), index + 1))
    }

    fn event(&self, index: u32) -> String {
        let text = token(&self.prompt, index);
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
        } else {
            json!({"index": 0, "text": text, "finish_reason": null})
        };
        self.wrap(&choice)
    }

    fn last_event(&self) -> String {
        let choice = if self.chat {
            json!({"index": 0, "delta": {}, "finish_reason": "length"})
        } else {
            json!({"index": 0, "text": "", "finish_reason": "length"})
        };
        self.wrap(&choice)
    }

    fn wrap(&self, choice: &serde_json::Value) -> String {
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let chunk = json!({"id": self.id, "object": object, "choices": [choice]});
        format!("data: {chunk}\n\n")
    }
}

fn pause(duration: Duration) {
    if !duration.is_zero() {
        thread::sleep(duration);
    }
}

fn header<'request>(request: &'request Request, name: &str) -> Option<&'request str> {
    request.headers.get(name)?.to_str().ok()
}

fn plain(status: StatusCode, text: &str) -> Reply {
    let mut reply = Reply::new(Body::full(text.to_owned()));
    *reply.status_mut() = status;
    reply
}
