//! Stand-in for a plain service: orders that take effect each time they run, and lookups.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use astra::{Body, Request, Response, Server};
use serde_json::json;

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
#[derive(Debug, Clone)]
pub struct Service {
    address: SocketAddr,
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
        let server = Server::bind(address);
        let address = server.local_addr()?;
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            effects: Mutex::default(),
        });
        thread::spawn({
            let state = Arc::clone(&state);
            move || server.serve(move |request, _| state.answer(request))
        });
        Ok(Self { address, state })
    }

    /// Returns the service's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
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

impl State {
    fn answer(&self, mut request: Request) -> Response {
        let behaviour = lock(&self.behaviour).clone();
        if request.method() == "POST" && request.uri().path().starts_with("/orders") {
            let mut body = String::new();
            if io::Read::read_to_string(&mut request.body_mut().reader(), &mut body).is_err() {
                return respond(400, &json!({"error": "body is not UTF-8"}));
            }
            thread::sleep(behaviour.order_delay);
            let mut effects = lock(&self.effects);
            let count = effects.entry(body).or_default();
            *count += 1;
            return respond(201, &json!({"accepted": true, "effects": *count}));
        }
        thread::sleep(behaviour.lookup_delay);
        respond(200, &json!({"path": request.uri().path()}))
    }
}

fn respond(status: u16, value: &serde_json::Value) -> Response {
    let mut response = Response::new(Body::new(value.to_string()));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
