//! Tests of the life cycle of a server's connections, on a virtual clock that moves only when a test advances it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use tanagerford_http::server::{Server, ServerLimits, ServerStopHandle, Service};
use tanagerford_http::{Body, Reply, read_body};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Handle};
use tokio::task::yield_now;

const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const PROPAGATION_TIME: Duration = Duration::from_secs(5);
/// Step of the virtual clock; no timeout of the tests is a multiple of it plus a step.
const STEP: Duration = Duration::from_millis(500);
/// Real time of each wait; a passing test never reaches it.
const WAIT: Duration = Duration::from_secs(20);
/// Real time between two looks at a socket.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

const REQUEST: &str = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";

fn limits() -> ServerLimits {
    ServerLimits {
        max_header_bytes: 16 * 1024,
        header_timeout: HEADER_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        propagation_time: PROPAGATION_TIME,
    }
}

/// Answers every request with "done" after its body.
struct Done {
    limits: Mutex<ServerLimits>,
    handled: AtomicUsize,
}

impl Done {
    fn handled(&self) -> usize {
        self.handled.load(Ordering::Relaxed)
    }
}

impl Service for Done {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Reply {
        self.handled.fetch_add(1, Ordering::Relaxed);
        let read = read_body(request.into_body(), usize::MAX).await;
        Reply::new(Body::full(if read.is_ok() { "done" } else { "failed" }))
    }

    fn limits(&self) -> ServerLimits {
        *self.limits.lock().expect("lock")
    }
}

struct Setup {
    service: Arc<Done>,
    address: SocketAddr,
    stop: ServerStopHandle,
}

impl Setup {
    fn set_limits(&self, change: impl FnOnce(&mut ServerLimits)) {
        change(&mut self.service.limits.lock().expect("lock"));
    }

    async fn connect(&self) -> Caller {
        Caller(TcpStream::connect(self.address).await.expect("connect"))
    }
}

/// Runs a test with a server in a runtime whose clock is virtual.
fn run<T: Future<Output = ()>>(test: impl FnOnce(Setup) -> T) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime");
    let (release, released) = mpsc::channel::<()>();
    runtime.block_on(async {
        // The clock does not advance by itself while a blocking task runs.
        tokio::task::spawn_blocking(move || {
            let _ = released.recv();
        });
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any_port, Handle::current()).expect("bind");
        let service = Arc::new(Done {
            limits: Mutex::new(limits()),
            handled: AtomicUsize::new(0),
        });
        let setup = Setup {
            service: Arc::clone(&service),
            address: server.address().expect("address"),
            stop: server.stop_handle(),
        };
        server.start(service);
        test(setup).await;
    });
    drop(release);
}

/// Advances the clock in steps and lets all tasks run after each.
async fn advance(time: Duration) {
    let mut rest = time;
    while !rest.is_zero() {
        let step = rest.min(STEP);
        tokio::time::advance(step).await;
        settle().await;
        rest -= step;
    }
}

/// Lets all tasks run, and lets the runtime look for events of sockets.
async fn settle() {
    for _ in 0..4 {
        thread::sleep(POLL_INTERVAL);
        yield_now().await;
    }
}

struct Caller(TcpStream);

impl Caller {
    fn send(&self, text: &str) {
        let sent = self.0.try_write(text.as_bytes()).expect("send");
        assert_eq!(sent, text.len());
    }

    /// Waits until text that ends with `end` has arrived or the connection has ended; returns what has arrived.
    async fn receive_until(&self, end: &str) -> String {
        let mut text = String::new();
        let mut buffer = [0; 4096];
        let mut waited = Duration::ZERO;
        while !text.ends_with(end) {
            match self.0.try_read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => text.push_str(&String::from_utf8_lossy(&buffer[..length])),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    assert!(waited < WAIT, "neither {end:?} nor an end after {text:?}");
                    thread::sleep(POLL_INTERVAL);
                    waited += POLL_INTERVAL;
                    yield_now().await;
                }
                Err(_) => break,
            }
        }
        text
    }

    async fn is_answered(&self) -> bool {
        let text = self.receive_until("done").await;
        text.starts_with("HTTP/1.1 200 ") && text.ends_with("done")
    }

    async fn is_closed(&self) -> bool {
        self.receive_until("\0").await.is_empty()
    }
}

/// Guards against a connection that is closed while callers still reuse it, after its idle timeout was raised.
#[test]
fn a_raised_idle_timeout_extends_open_connections() {
    run(async |setup| {
        let caller = setup.connect().await;
        caller.send(REQUEST);
        assert!(caller.is_answered().await);
        setup.set_limits(|limits| limits.idle_timeout = IDLE_TIMEOUT * 20);
        advance(IDLE_TIMEOUT * 16).await;
        caller.send(REQUEST);
        assert!(caller.is_answered().await);
    });
}

/// Guards against a connection that keeps the timeout that was in force when it opened, and against one that is closed
/// before its caller can know of a lowered timeout.
#[test]
fn a_lowered_idle_timeout_shortens_open_connections_after_the_propagation_time() {
    run(async |setup| {
        setup.set_limits(|limits| limits.idle_timeout = IDLE_TIMEOUT * 20);
        let mut callers = Vec::new();
        // The connections check their timeouts at different times after the change.
        for _ in 0..8 {
            let caller = setup.connect().await;
            caller.send(REQUEST);
            assert!(caller.is_answered().await);
            callers.push(caller);
            advance(STEP * 2).await;
        }
        advance(IDLE_TIMEOUT * 3).await;
        setup.set_limits(|limits| limits.idle_timeout = STEP);
        // The callers may still use the old timeout.
        advance(PROPAGATION_TIME.saturating_sub(STEP)).await;
        for caller in &callers {
            caller.send(REQUEST);
            assert!(caller.is_answered().await);
        }
        advance(STEP + PROPAGATION_TIME * 4).await;
        for caller in &callers {
            assert!(caller.is_closed().await);
        }
    });
}

/// Guards against idle connections that stay open forever, new ones included.
#[test]
fn idle_connections_are_closed() {
    run(async |setup| {
        let (new, kept) = (setup.connect().await, setup.connect().await);
        kept.send(REQUEST);
        assert!(kept.is_answered().await);
        advance((IDLE_TIMEOUT + PROPAGATION_TIME).saturating_sub(STEP)).await;
        assert_eq!(setup.stop.open_connections(), 2);
        advance(STEP * 2).await;
        assert!(new.is_closed().await);
        assert!(kept.is_closed().await);
    });
}

/// Guards against a request that is cut because its head began to arrive shortly before the idle timeout.
#[test]
fn a_head_that_begins_before_the_idle_timeout_is_read() {
    run(async |setup| {
        let caller = setup.connect().await;
        caller.send(REQUEST);
        assert!(caller.is_answered().await);
        advance((IDLE_TIMEOUT + PROPAGATION_TIME).saturating_sub(STEP)).await;
        let (start, end) = REQUEST.split_at(10);
        caller.send(start);
        settle().await;
        advance(HEADER_TIMEOUT).await;
        caller.send(end);
        assert!(caller.is_answered().await);
    });
}

/// Guards against heads without end, which would keep their connections open.
#[test]
fn a_head_that_does_not_end_is_given_up() {
    run(async |setup| {
        let (new, kept) = (setup.connect().await, setup.connect().await);
        kept.send(REQUEST);
        assert!(kept.is_answered().await);
        for caller in [&new, &kept] {
            caller.send("GET / ");
        }
        settle().await;
        for _ in 0..16 {
            advance(STEP).await;
            for caller in [&new, &kept] {
                // The connection may have ended.
                let _ = caller.0.try_write(b"x");
            }
        }
        assert!(new.is_closed().await);
        assert!(kept.is_closed().await);
    });
}

/// Guards against a request that is lost because it arrives while the process does not run, and the idle timeout passes
/// meanwhile.
#[test]
fn a_request_that_arrives_with_the_idle_timeout_is_answered() {
    run(async |setup| {
        let caller = setup.connect().await;
        caller.send(REQUEST);
        assert!(caller.is_answered().await);
        // No task runs between the request and the end of the timeout, so the server sees both at once.
        caller.send(REQUEST);
        tokio::time::advance(IDLE_TIMEOUT * 20).await;
        assert!(caller.is_answered().await);
    });
}

/// Guards against a request that is lost because its bytes arrive after the runtime has looked for events and before
/// the connection, whose idle timeout has passed, is closed.
#[test]
fn a_request_that_the_runtime_does_not_know_of_is_answered() {
    run(async |setup| {
        let caller = setup.connect().await;
        caller.send(REQUEST);
        assert!(caller.is_answered().await);
        // The runtime polls this future first after the clock has advanced, and then the connection.
        tokio::time::advance(IDLE_TIMEOUT * 20).await;
        caller.send(REQUEST);
        assert!(caller.is_answered().await);
    });
}

/// Guards against a request that a stopping server has read in part and then drops.
#[test]
fn a_head_that_began_before_the_stop_is_answered() {
    run(async |setup| {
        let (new, kept) = (setup.connect().await, setup.connect().await);
        kept.send(REQUEST);
        assert!(kept.is_answered().await);
        let (start, end) = REQUEST.split_at(10);
        for caller in [&new, &kept] {
            caller.send(start);
        }
        settle().await;
        setup.stop.begin_shutdown();
        settle().await;
        for caller in [&new, &kept] {
            caller.send(end);
            let text = caller.receive_until("done").await;
            assert!(text.contains("\r\nconnection: close\r\n"), "{text}");
            assert!(text.ends_with("done"), "{text}");
            assert!(caller.is_closed().await);
        }
    });
}

/// Guards against a request that is lost because it arrives when the server stops, and against one that a stopping server
/// reads and does not answer.
#[test]
fn a_request_that_arrives_before_the_stop_is_answered_and_a_later_one_is_not_read() {
    run(async |setup| {
        let (early, late) = (setup.connect().await, setup.connect().await);
        for caller in [&early, &late] {
            caller.send(REQUEST);
            assert!(caller.is_answered().await);
        }
        // The runtime has not looked for events since, so the server cannot know of the request when it stops.
        early.send(REQUEST);
        setup.stop.begin_shutdown();
        assert!(early.is_answered().await);
        assert!(early.is_closed().await);
        // The connection may have ended.
        let _ = late.0.try_write(REQUEST.as_bytes());
        assert!(late.is_closed().await);
        assert_eq!(setup.service.handled(), 3);
    });
}

/// Guards against a stop that waits forever for heads without end or for callers that send nothing.
#[test]
fn a_stop_ends_idle_connections_and_heads_without_end() {
    run(async |setup| {
        let (new, kept, unfinished) = (
            setup.connect().await,
            setup.connect().await,
            setup.connect().await,
        );
        kept.send(REQUEST);
        assert!(kept.is_answered().await);
        unfinished.send("GET / ");
        settle().await;
        setup.stop.begin_shutdown();
        assert!(new.is_closed().await);
        assert!(kept.is_closed().await);
        advance(HEADER_TIMEOUT + PROPAGATION_TIME + STEP).await;
        assert!(unfinished.is_closed().await);
    });
}
