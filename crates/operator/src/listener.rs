//! HTTP listener for operators: state dump, metrics, liveness, readiness, drain and settlement of orders.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{HeaderValue, Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tanagerford_core::ids::Incarnation;
use tanagerford_http::{Body, Handler, Limits, Listener, ListenerHandle, Reply, Request};

/// Limit of open connections. Only operators' tools and the balancer connect to this listener, never callers.
const MAX_CONNECTIONS: usize = 32;

/// Limit of a request body; a settlement of an order has some 200 bytes.
const MAX_BODY_BYTES: usize = 1_024;

/// Body of `POST /orders/settle`: an operator's statement about an order whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettleRequest {
    /// Key of the order as in the list `orders.unsettled` of the state dump.
    pub key: String,
    /// Whether the backend server ran the order.
    pub ran: bool,
    /// Process that claimed the order, if the operator asserts that it will never run again.
    #[serde(default)]
    pub gone: Option<GoneProcess>,
}

/// Process that will never run again, according to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GoneProcess {
    /// `process_id` of the process.
    pub server: String,
    /// Incarnation that claimed the order; a later one of the same process may be running.
    pub incarnation: Incarnation,
}

/// Operations that a process provides to its operators.
pub trait OperatorApi: Send + Sync + 'static {
    /// Returns a state dump of the process, without secrets.
    fn state(&self) -> Value;

    /// Returns the metrics in the `OpenMetrics` text format.
    fn metrics(&self) -> String;

    /// Returns whether the process accepts new work.
    fn is_ready(&self) -> bool;

    /// Begins a graceful stop.
    fn drain(&self);

    /// Settles an order whose outcome is unknown and returns a message for the operator.
    ///
    /// # Errors
    ///
    /// Returns the reason why the order is not settled.
    fn settle_order(&self, request: &SettleRequest) -> Result<String, String>;
}

struct OperatorHandler(Arc<dyn OperatorApi>);

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
pub fn start(address: SocketAddr, process: Arc<dyn OperatorApi>) -> io::Result<ListenerHandle> {
    let limits = Limits {
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    };
    Listener::bind(address, limits)?.start(OperatorHandler(process))
}

fn answer(request: &Request, process: &dyn OperatorApi) -> Reply {
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

fn settle(request: &Request, process: &dyn OperatorApi) -> Reply {
    match serde_json::from_slice(&request.body) {
        Ok(settlement) => match process.settle_order(&settlement) {
            Ok(text) => plain(StatusCode::OK, format!("{text}\n")),
            Err(text) => plain(StatusCode::CONFLICT, format!("{text}\n")),
        },
        Err(error) => plain(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn json(value: &Value) -> Reply {
    with_content_type(format!("{value:#}\n"), "application/json")
}

fn open_metrics(text: String) -> Reply {
    with_content_type(
        text,
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    )
}

fn with_content_type(text: String, content_type: &'static str) -> Reply {
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
