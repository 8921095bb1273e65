//! Small HTTP listener for stand-ins, with one thread per connection. A response body is complete, has two parts, or is
//! replaced by closing the connection.
//!
//! It uses `hyper` directly because `astra` does not report the port that the operating system picked.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::thread::{self, JoinHandle};

use async_io::Async;
use bytes::Bytes;
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use smol_hyper::rt::FuturesIo;
use tanagerford_kv::wire;
use tanagerford_sync::lock;

/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 8 << 20;

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

pub(crate) enum Reply {
    Full(StatusCode, Vec<u8>),
    TwoPart(TwoPartBody),
    /// Closes the connection without a response.
    Disconnect,
}

/// Body whose first part is sent before the second one is available.
pub(crate) struct TwoPartBody {
    pub(crate) first: Vec<u8>,
    /// Blocks until the second part is available. An empty part ends the body; `None` closes the connection before the
    /// end of the body.
    pub(crate) wait_for_second: Box<dyn FnOnce() -> Option<Vec<u8>> + Send>,
}

impl Reply {
    pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Self {
        Self::Full(status, serde_json::to_vec(value).unwrap_or_default())
    }

    pub(crate) fn error(status: StatusCode, code: u32, message: &str) -> Self {
        let failure = wire::Failure {
            code,
            message: message.to_owned(),
        };
        Self::json(status, &failure)
    }
}

type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Listener on a loopback port picked by the operating system. Dropping it closes the port and all connections.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    is_stopped: AtomicBool,
    connections: Mutex<HashMap<u64, TcpStream>>,
}

impl Listener {
    pub(crate) fn start(
        handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        let handler: Handler = Arc::new(handler);
        let thread = thread::Builder::new().name("standin".to_owned());
        let accept_thread = thread.spawn(move || accept(&listener, &thread_shared, &handler))?;
        Ok(Self {
            address,
            shared,
            accept_thread: Some(accept_thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // The thread blocks in accept(); a connection wakes it.
        let _ = TcpStream::connect(self.address);
        // The thread owns the socket. Waiting for its end ensures that later connections are refused.
        if let Some(thread) = self.accept_thread.take() {
            let _ = thread.join();
        }
        for connection in self.shared.connections().values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Shared {
    fn connections(&self) -> MutexGuard<'_, HashMap<u64, TcpStream>> {
        lock(&self.connections)
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>, handler: &Handler) {
    for (number, stream) in (0..).zip(listener.incoming()) {
        if shared.is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if let Err(error) = start_connection(number, stream, shared, handler) {
            tracing::warn!(%error, "stand-in cannot serve a connection");
        }
    }
}

fn start_connection(
    number: u64,
    stream: TcpStream,
    shared: &Arc<Shared>,
    handler: &Handler,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    shared.connections().insert(number, stream.try_clone()?);
    let (shared, handler) = (Arc::clone(shared), Arc::clone(handler));
    thread::Builder::new()
        .name("standin-connection".to_owned())
        .spawn(move || {
            if let Err(error) = serve(stream, &handler) {
                tracing::debug!(%error, "connection to a stand-in ended with an error");
            }
            shared.connections().remove(&number);
        })?;
    Ok(())
}

fn serve(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    let stream = FuturesIo::new(Async::new(stream)?);
    let service = service_fn(|request| respond(request, handler));
    let connection = http1::Builder::new().serve_connection(stream, service);
    async_io::block_on(connection).map_err(io::Error::other)
}

async fn respond(
    request: http::Request<Incoming>,
    handler: &Handler,
) -> io::Result<Response<ReplyBody>> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let request = Request {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        body,
    };
    let (status, body) = match handler(&request) {
        Reply::Disconnect => return Err(io::Error::other("stand-in closes the connection")),
        Reply::Full(status, body) => (status, ReplyBody::Full(Some(body.into()))),
        Reply::TwoPart(body) => (StatusCode::OK, ReplyBody::First(body)),
    };
    let response = Response::builder()
        .status(status)
        .header("content-type", "application/json");
    response.body(body).map_err(io::Error::other)
}

/// Body of a response. It yields once between two parts, because `hyper` flushes the first part only then.
enum ReplyBody {
    Full(Option<Bytes>),
    First(TwoPartBody),
    Yield(TwoPartBody),
    Second(TwoPartBody),
    End,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match std::mem::replace(&mut *self, Self::End) {
            Self::Full(body) => Poll::Ready(body.map(|body| Ok(Frame::data(body)))),
            Self::First(mut body) => {
                let first = std::mem::take(&mut body.first);
                *self = Self::Yield(body);
                Poll::Ready(Some(Ok(Frame::data(first.into()))))
            }
            Self::Yield(body) => {
                *self = Self::Second(body);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Self::Second(body) => Poll::Ready(match (body.wait_for_second)() {
                Some(second) if second.is_empty() => None,
                Some(second) => Some(Ok(Frame::data(second.into()))),
                None => Some(Err(io::Error::other("stand-in aborts the body"))),
            }),
            Self::End => Poll::Ready(None),
        }
    }
}
