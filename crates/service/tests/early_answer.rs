//! Answers that a service sends before it has read the request, and heads that are no answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use tanagerford_service::{Call, ServiceClient};

/// More than the kernel buffers of a connection hold, so that the request is still being written.
const REQUEST_BYTES: usize = 32 * 1024 * 1024;

/// Starts a service that reads the beginning of each request, answers with `answer`, and resets the connection after `delay`.
fn start_service(answer: String, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port");
    SockRef::from(&listener)
        .set_recv_buffer_size(16 * 1024)
        .expect("buffer size");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream.write_all(answer.as_bytes());
            thread::sleep(delay);
            reset(&stream);
        }
    });
    address
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("linger");
}

/// Returns the status and the body's length of an answer that looks complete.
fn complete_answer(address: SocketAddr, body_bytes: usize) -> Option<(u16, usize)> {
    let client = ServiceClient::new(address, 1);
    let call = Call {
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: vec![b'x'; body_bytes],
        timeout: Duration::from_secs(20),
        is_repeatable: false,
    };
    let mut response = client.call(&call).ok()?;
    let mut body = Vec::new();
    response.body.read_to_end(&mut body).ok()?;
    Some((response.status, body.len()))
}

/// Guards against a part of an answer that is taken for the whole: a service answers a long request at once, without a length,
/// and resets the connection while the request is still being written.
#[test]
fn an_answer_that_is_reset_during_the_request_is_not_complete() {
    for (delay_ms, part) in [
        (0, 10),
        (20, 10),
        (100, 10),
        (20, 0),
        (20, 100_000),
        (100, 100_000),
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", "a".repeat(part));
        let address = start_service(answer, Duration::from_millis(delay_ms));
        for _ in 0..5 {
            let got = complete_answer(address, REQUEST_BYTES);
            assert_eq!(got, None, "{part} bytes, reset after {delay_ms} ms");
        }
    }
}

/// Guards against an answer whose status is none.
#[test]
fn a_status_that_is_none_is_no_answer() {
    for status in [
        "000", "001", "099", "99", "0", "1000", "2OO", "-20", "+20", "",
    ] {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\nok");
        let address = start_service(answer, Duration::from_millis(50));
        assert_eq!(complete_answer(address, 0), None, "{status}");
    }
}
