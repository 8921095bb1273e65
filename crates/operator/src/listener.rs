//! Operators' listener: state dump, metrics, readiness and drain.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{HeaderValue, Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tanagerford_core::ids::Incarnation;
use tanagerford_http::{Body, Handler, Limits, Listener, ListenerHandle, Reply, Request};

/// Connections of the listener. Operators' tools and the balancer poll it; callers never do.
const MAX_CONNECTIONS: usize = 32;

/// Largest body; a statement about an order has some 200 bytes.
const MAX_BODY_BYTES: usize = 1_024;

/// Statement of an operator about an order whose outcome is not known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    /// Key of the order, as the state dump lists it.
    pub key: String,
    /// Whether the order was run.
    pub ran: bool,
    /// Process that claimed the order and that will never run again, if the operator vouches for that.
    #[serde(default)]
    pub gone: Option<GoneProcess>,
}

/// Process that an operator knows to be gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GoneProcess {
    /// Name of the process.
    pub server: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// What a process offers to its operators.
pub trait Operated: Send + Sync + 'static {
    /// Returns the state of the process as JSON, without secrets.
    fn state(&self) -> Value;

    /// Returns the metrics in the `OpenMetrics` text format.
    fn metrics(&self) -> String;

    /// Returns whether the process takes new work.
    fn is_ready(&self) -> bool;

    /// Begins a graceful stop.
    fn drain(&self);

    /// Writes an operator's statement about an order whose outcome is not known, and returns what came of it.
    ///
    /// # Errors
    ///
    /// Returns why the statement has no effect.
    fn settle_order(&self, statement: &Statement) -> Result<String, String>;
}

/// Handler of the operators' listener.
struct OperatorHandler(Arc<dyn Operated>);

impl Handler for OperatorHandler {
    async fn handle(&self, request: Request) -> Reply {
        answer(&request, &*self.0)
    }

    fn rejected(&self, status: StatusCode) -> Reply {
        plain(status, "the request could not be read\n")
    }
}

/// Starts the operators' listener. It runs until the returned handle is stopped or the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn start(address: SocketAddr, process: Arc<dyn Operated>) -> io::Result<ListenerHandle> {
    let limits = Limits {
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    };
    Listener::bind(address, limits)?.start(OperatorHandler(process))
}

fn answer(request: &Request, process: &dyn Operated) -> Reply {
    match (&request.method, request.uri.path()) {
        (&Method::GET, "/state") => json(&process.state()),
        (&Method::GET, "/metrics") => open_metrics(process.metrics()),
        (&Method::GET, "/live") => plain(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") if process.is_ready() => plain(StatusCode::OK, "ready\n"),
        (&Method::GET, "/ready") => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (&Method::POST, "/drain") => {
            process.drain();
            plain(StatusCode::ACCEPTED, "draining\n")
        }
        (&Method::POST, "/orders/settle") => settle(request, process),
        (_, "/orders/settle" | "/state" | "/metrics" | "/live" | "/ready" | "/drain") => {
            plain(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n")
        }
        _ => plain(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn settle(request: &Request, process: &dyn Operated) -> Reply {
    match serde_json::from_slice(&request.body) {
        Ok(statement) => match process.settle_order(&statement) {
            Ok(text) => plain(StatusCode::OK, format!("{text}\n")),
            Err(text) => plain(StatusCode::CONFLICT, format!("{text}\n")),
        },
        Err(error) => plain(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn json(value: &Value) -> Reply {
    typed(format!("{value:#}\n"), "application/json")
}

fn open_metrics(text: String) -> Reply {
    typed(
        text,
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    )
}

fn typed(text: String, content_type: &'static str) -> Reply {
    let mut response = plain(StatusCode::OK, text);
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn plain(status: StatusCode, text: impl Into<String>) -> Reply {
    let mut response = Reply::new(Body::full(text.into()));
    *response.status_mut() = status;
    response
}
