//! Answers that a service sends before it has read the request, and heads that are no answer.

#[path = "../../http/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::{NO_STATUSES, REQUEST_BYTES, RESETS, start_server};
use tanagerford_service::{Call, ServiceClient};

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
    for (delay_ms, part) in RESETS {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", "a".repeat(part));
        let address = start_server(answer, Duration::from_millis(delay_ms));
        for _ in 0..5 {
            let got = complete_answer(address, REQUEST_BYTES);
            assert_eq!(got, None, "{part} bytes, reset after {delay_ms} ms");
        }
    }
}

/// Guards against an answer whose status is none.
#[test]
fn a_status_that_is_none_is_no_answer() {
    for status in NO_STATUSES {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\nok");
        let address = start_server(answer, Duration::from_millis(50));
        assert_eq!(complete_answer(address, 0), None, "{status}");
    }
}
