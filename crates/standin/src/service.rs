//! Stand-in for a plain service with orders, which are not idempotent, and lookups.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use http::{HeaderValue, Method, StatusCode, header};
use serde_json::json;
use tanagerford_http::{Body, Handler, Limits, Listener, ListenerHandle, Reply, Request};
use tanagerford_sync::lock;

/// Configuration of a stand-in service.
#[derive(Debug, Clone, Default)]
pub struct Behaviour {
    /// Time from the start of an order to its effect.
    pub order_delay: Duration,
    /// Duration of a lookup.
    pub lookup_delay: Duration,
}

/// Running stand-in service.
///
/// Each `POST` to a path that starts with `/orders` has an effect, counted by body, even when it is repeated. Every other
/// request is a lookup.
#[derive(Debug)]
pub struct Service {
    listener: ListenerHandle,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Mutex<Behaviour>,
    /// Number of orders that have arrived, with and without an effect so far.
    received_orders: AtomicU64,
    /// Number of effects by body of the order.
    effects: Mutex<HashMap<String, u64>>,
}

impl Service {
    /// Starts a stand-in service on a loopback port picked by the operating system.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(behaviour: Behaviour) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), behaviour)
    }

    /// Starts a stand-in service at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start_at(address: SocketAddr, behaviour: Behaviour) -> io::Result<Self> {
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            received_orders: AtomicU64::new(0),
            effects: Mutex::default(),
        });
        let handler = ServiceHandler(Arc::clone(&state));
        let listener = Listener::bind(address, Limits::default())?.start(handler)?;
        Ok(Self { listener, state })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the number of orders that have arrived, with and without an effect so far.
    #[must_use]
    pub fn received_orders(&self) -> u64 {
        self.state.received_orders.load(Ordering::Acquire)
    }

    /// Returns the number of effects of orders with this body.
    #[must_use]
    pub fn effects_of(&self, body: &str) -> u64 {
        lock(&self.state.effects).get(body).copied().unwrap_or(0)
    }

    /// Returns the number of effects of all orders.
    #[must_use]
    pub fn effects(&self) -> u64 {
        lock(&self.state.effects).values().sum()
    }

    /// Replaces the configuration; it applies to later calls.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }
}

struct ServiceHandler(Arc<State>);

impl Handler for ServiceHandler {
    async fn handle(&self, request: Request) -> Reply {
        self.0.handle(&request)
    }

    fn rejected(&self, status: StatusCode) -> Reply {
        json_reply(status, &json!({"error": "request could not be read"}))
    }
}

impl State {
    /// Handles a request; blocks the thread of its connection for the configured delay.
    fn handle(&self, request: &Request) -> Reply {
        let behaviour = lock(&self.behaviour).clone();
        let path = request.uri.path();
        if request.method == Method::POST && path.starts_with("/orders") {
            self.received_orders.fetch_add(1, Ordering::Release);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            thread::sleep(behaviour.order_delay);
            let mut effects = lock(&self.effects);
            let count = effects.entry(body).or_default();
            *count += 1;
            let receipt = json!({"accepted": true, "effects": *count});
            return json_reply(StatusCode::CREATED, &receipt);
        }
        thread::sleep(behaviour.lookup_delay);
        json_reply(StatusCode::OK, &json!({ "path": path }))
    }
}

fn json_reply(status: StatusCode, value: &serde_json::Value) -> Reply {
    let mut reply = Reply::new(Body::full(value.to_string()));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    reply
}
