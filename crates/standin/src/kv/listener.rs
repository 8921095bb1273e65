//! Small HTTP listener for stand-ins: one thread per connection, whole answers, and streams of two parts.
//!
//! It uses `hyper` itself because `astra` opens its port without telling which one the system picked.

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

/// Longest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Request as the stand-ins need it.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// Answer of a stand-in.
pub(crate) enum Reply {
    /// Whole answer.
    Whole(StatusCode, Vec<u8>),
    /// Answer in two parts, the first of which is sent at once.
    Stream(Stream),
    /// The connection ends without an answer.
    Disconnect,
}

/// Answer in two parts.
pub(crate) struct Stream {
    pub(crate) first: Vec<u8>,
    /// Waits for the second part; `None` ends the connection in the middle of the answer.
    pub(crate) rest: Box<dyn FnOnce() -> Option<Vec<u8>> + Send>,
}

impl Reply {
    pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Self {
        Self::Whole(status, serde_json::to_vec(value).unwrap_or_default())
    }

    pub(crate) fn error(status: StatusCode, code: u32, message: &str) -> Self {
        let failure = wire::Failure {
            code,
            message: message.to_owned(),
        };
        Self::json(status, &failure)
    }
}

type Handler = Arc<dyn Fn(&Exchange) -> Reply + Send + Sync>;

/// Listener on a loopback port picked by the system; it ends with all connections when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    is_stopped: AtomicBool,
    connections: Mutex<HashMap<u64, TcpStream>>,
}

impl Listener {
    pub(crate) fn start(
        handler: impl Fn(&Exchange) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let of_thread = Arc::clone(&shared);
        let handler: Handler = Arc::new(handler);
        let thread = thread::Builder::new().name("standin".to_owned());
        let accepting = thread.spawn(move || accept(&listener, &of_thread, &handler))?;
        Ok(Self {
            address,
            shared,
            accepting: Some(accepting),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // The accepting thread wakes up only for a connection.
        let _ = TcpStream::connect(self.address);
        // The port is closed when the thread has ended; a later connection must be refused.
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
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
            tracing::warn!(%error, "stand-in could not serve a connection");
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
                tracing::debug!(%error, "connection to a stand-in ended");
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
    let exchange = Exchange {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        body,
    };
    let (status, body) = match handler(&exchange) {
        Reply::Disconnect => return Err(io::Error::other("stand-in gives no answer")),
        Reply::Whole(status, body) => (status, ReplyBody::Whole(Some(body.into()))),
        Reply::Stream(stream) => (StatusCode::OK, ReplyBody::First(stream)),
    };
    let response = Response::builder()
        .status(status)
        .header("content-type", "application/json");
    response.body(body).map_err(io::Error::other)
}

/// Body of an answer. Between the parts of a stream it yields once, because hyper sends what it has only then.
enum ReplyBody {
    Whole(Option<Bytes>),
    First(Stream),
    Yield(Stream),
    Rest(Stream),
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
            Self::Whole(body) => Poll::Ready(body.map(|body| Ok(Frame::data(body)))),
            Self::First(mut stream) => {
                let first = std::mem::take(&mut stream.first);
                *self = Self::Yield(stream);
                Poll::Ready(Some(Ok(Frame::data(first.into()))))
            }
            Self::Yield(stream) => {
                *self = Self::Rest(stream);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Self::Rest(stream) => Poll::Ready(match (stream.rest)() {
                Some(rest) if rest.is_empty() => None,
                Some(rest) => Some(Ok(Frame::data(rest.into()))),
                None => Some(Err(io::Error::other("stand-in ends the answer"))),
            }),
            Self::End => Poll::Ready(None),
        }
    }
}
