//! Operators' listener: state dump, metrics, readiness and drain.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use astra::{Body, Request, Response, Server};
use http::{HeaderValue, Method, StatusCode, header};
use serde_json::Value;

/// Threads of the listener. Operators' tools and the balancer poll it; callers never do.
const MAX_WORKERS: usize = 8;

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
}

/// Starts the operators' listener and returns its address. It runs until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or the thread cannot be started.
pub fn start(address: SocketAddr, process: Arc<dyn Operated>) -> io::Result<SocketAddr> {
    let server = Server::bind(address).max_workers(MAX_WORKERS);
    let bound = server.local_addr()?;
    let serve = move || {
        let result = server.serve(move |request: Request, _| answer(&request, &*process));
        if let Err(error) = result {
            tracing::error!(%error, "operators' listener ended");
        }
    };
    thread::Builder::new()
        .name("operator-listener".to_owned())
        .spawn(serve)?;
    Ok(bound)
}

fn answer(request: &Request, process: &dyn Operated) -> Response {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/state") => json(&process.state()),
        (&Method::GET, "/metrics") => open_metrics(process.metrics()),
        (&Method::GET, "/live") => plain(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") if process.is_ready() => plain(StatusCode::OK, "ready\n"),
        (&Method::GET, "/ready") => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        (&Method::POST, "/drain") => {
            process.drain();
            plain(StatusCode::ACCEPTED, "draining\n")
        }
        (_, "/state" | "/metrics" | "/live" | "/ready" | "/drain") => {
            plain(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n")
        }
        _ => plain(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn json(value: &Value) -> Response {
    typed(format!("{value:#}\n"), "application/json")
}

fn open_metrics(text: String) -> Response {
    typed(
        text,
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    )
}

fn typed(text: String, content_type: &'static str) -> Response {
    let mut response = plain(StatusCode::OK, text);
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn plain(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(Body::new(text.into()));
    *response.status_mut() = status;
    response
}
