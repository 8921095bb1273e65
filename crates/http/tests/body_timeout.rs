//! Tests of the time limit of a request's body.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use http::StatusCode;
use tanagerford_http::{Body, Handler, Limits, Listener, ListenerHandle, Reply, Request};

/// Time limit of a body in these tests.
const BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time that a test waits for a reply that must come.
const PATIENCE: Duration = Duration::from_secs(20);

struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request) -> Reply {
        Reply::new(Body::whole(request.body))
    }

    fn rejected(&self, status: StatusCode) -> Reply {
        let mut reply = Reply::new(Body::whole("rejected"));
        *reply.status_mut() = status;
        reply
    }
}

fn start() -> (ListenerHandle, TcpStream) {
    let limits = Limits {
        body_timeout: BODY_TIMEOUT,
        ..Limits::default()
    };
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits);
    let handle = listener
        .and_then(|listener| listener.start(Echo))
        .expect("listener starts");
    let stream = TcpStream::connect(handle.address()).expect("listener accepts");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("timeout is valid");
    (handle, stream)
}

fn send(stream: &mut TcpStream, body_part: &str) {
    let request = format!("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\n{body_part}");
    stream.write_all(request.as_bytes()).expect("peer reads");
}

/// Reads until `end` has arrived.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.ends_with(end) {
        let count = stream.read(&mut buffer).expect("reply arrives");
        assert!(count > 0, "connection ended after {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    text
}

/// Guards against a time limit that applies to the first body of a connection only.
#[test]
fn a_body_that_never_ends_is_rejected_on_a_kept_connection() {
    let (_handle, mut stream) = start();
    send(&mut stream, "body");
    let reply = read_until(&mut stream, "body");
    assert!(reply.starts_with("HTTP/1.1 200 "), "{reply}");
    send(&mut stream, "bo");
    let reply = read_until(&mut stream, "rejected");
    assert!(reply.starts_with("HTTP/1.1 408 "), "{reply}");
}

/// Guards against a time limit that starts with the connection's first body instead of with each body.
#[test]
fn a_later_body_has_a_time_limit_of_its_own() {
    let (_handle, mut stream) = start();
    for _ in 0..3 {
        send(&mut stream, "body");
        let reply = read_until(&mut stream, "body");
        assert!(reply.starts_with("HTTP/1.1 200 "), "{reply}");
        thread::sleep(BODY_TIMEOUT);
    }
}
