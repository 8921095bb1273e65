//! Tests of the timeout for reading a request's body.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use http::StatusCode;
use tanagerford_http::{Body, Handler, Limits, Listener, ListenerHandle, Reply, Request};

const BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Upper bound on the wait for a reply that is expected.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request) -> Reply {
        Reply::new(Body::full(request.body))
    }

    fn rejected(&self, status: StatusCode) -> Reply {
        let mut reply = Reply::new(Body::full("rejected"));
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
        .set_read_timeout(Some(REPLY_TIMEOUT))
        .expect("timeout is valid");
    (handle, stream)
}

fn send(stream: &mut TcpStream, body_part: &str) {
    let request = format!("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\n{body_part}");
    stream.write_all(request.as_bytes()).expect("peer reads");
}

/// Reads until the text ends with `end`.
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

/// Guards against a timeout that applies only to the first body of a connection.
#[test]
fn incomplete_body_is_rejected_on_a_reused_connection() {
    let (_handle, mut stream) = start();
    send(&mut stream, "body");
    let reply = read_until(&mut stream, "body");
    assert!(reply.starts_with("HTTP/1.1 200 "), "{reply}");
    send(&mut stream, "bo");
    let reply = read_until(&mut stream, "rejected");
    assert!(reply.starts_with("HTTP/1.1 408 "), "{reply}");
}

/// Guards against a timeout that is measured from the first body of a connection instead of from each body.
#[test]
fn each_body_has_its_own_timeout() {
    let (_handle, mut stream) = start();
    for _ in 0..3 {
        send(&mut stream, "body");
        let reply = read_until(&mut stream, "body");
        assert!(reply.starts_with("HTTP/1.1 200 "), "{reply}");
        thread::sleep(BODY_TIMEOUT);
    }
}
