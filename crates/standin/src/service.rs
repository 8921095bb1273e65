//! Stand-in for a plain service: orders that take effect each time they run, and lookups.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use http::{HeaderValue, Method, StatusCode, header};
use serde_json::json;
use tanagerford_http::{Body, Handler, Limits, Listener, ListenerHandle, Reply, Request};
use tanagerford_sync::lock;

/// How a stand-in service behaves.
#[derive(Debug, Clone, Default)]
pub struct Behaviour {
    /// Time that an order takes before its effect.
    pub order_delay: Duration,
    /// Time that a lookup takes.
    pub lookup_delay: Duration,
}

/// Running stand-in service.
///
/// `POST /orders` takes effect each time it runs; the effects are counted by body. `GET` of any path is a lookup.
#[derive(Debug)]
pub struct Service {
    listener: ListenerHandle,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Mutex<Behaviour>,
    effects: Mutex<HashMap<String, u64>>,
}

impl Service {
    /// Starts a stand-in service on a port that the system picks.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
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
            effects: Mutex::default(),
        });
        let handler = ServiceHandler(Arc::clone(&state));
        let listener = Listener::bind(address, Limits::default())?.start(handler)?;
        Ok(Self { listener, state })
    }

    /// Returns the service's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns how often an order with this body took effect.
    #[must_use]
    pub fn effects_of(&self, body: &str) -> u64 {
        lock(&self.state.effects).get(body).copied().unwrap_or(0)
    }

    /// Returns the count of all effects.
    #[must_use]
    pub fn effects(&self) -> u64 {
        lock(&self.state.effects).values().sum()
    }

    /// Changes the behaviour for later calls.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }
}

/// Answers the HTTP requests of one service.
struct ServiceHandler(Arc<State>);

impl Handler for ServiceHandler {
    async fn handle(&self, request: Request) -> Reply {
        self.0.answer(&request)
    }

    fn rejected(&self, status: StatusCode) -> Reply {
        respond(status, &json!({"error": "request could not be read"}))
    }
}

impl State {
    /// Answers a request; blocks its connection's thread for the time that the work takes.
    fn answer(&self, request: &Request) -> Reply {
        let behaviour = lock(&self.behaviour).clone();
        let path = request.uri.path();
        if request.method == Method::POST && path.starts_with("/orders") {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            thread::sleep(behaviour.order_delay);
            let mut effects = lock(&self.effects);
            let count = effects.entry(body).or_default();
            *count += 1;
            let answer = json!({"accepted": true, "effects": *count});
            return respond(StatusCode::CREATED, &answer);
        }
        thread::sleep(behaviour.lookup_delay);
        respond(StatusCode::OK, &json!({ "path": path }))
    }
}

fn respond(status: StatusCode, value: &serde_json::Value) -> Reply {
    let mut reply = Reply::new(Body::full(value.to_string()));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    reply
}
