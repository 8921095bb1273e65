//! Answers that a server sends before it has read the request, and heads that are no answer.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use support::{NO_STATUSES, REQUEST_BYTES, RESETS, start_server};
use tanagerford_http::connection_pool::{ConnectionPool, ExchangeError};
use tokio::runtime::{Builder, Handle};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Returns the bytes of the answer's body, and whether it ended as if it were complete.
async fn exchange(address: SocketAddr, body_bytes: usize) -> Result<(usize, bool), ExchangeError> {
    let pool = ConnectionPool::new(Handle::current());
    let request = Request::post("/").header("host", "test");
    let request = request
        .body(Full::new(Bytes::from(vec![b'x'; body_bytes])))
        .expect("request");
    let mut response = pool.send(address, request, TIMEOUT, true, |_| true).await?;
    let mut length = 0;
    loop {
        match response.next_chunk().await {
            Ok(Some(chunk)) => length += chunk.len(),
            Ok(None) => return Ok((length, true)),
            Err(_) => return Ok((length, false)),
        }
    }
}

/// Guards against a part of an answer that is taken for the whole: a server answers a long request at once, without a length,
/// and resets the connection while the request is still being written.
#[test]
fn an_answer_that_is_reset_during_the_request_is_not_complete() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime");
    for (delay_ms, part) in RESETS {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", "a".repeat(part));
        let address = start_server(answer, Duration::from_millis(delay_ms));
        for _ in 0..10 {
            let got = runtime.block_on(exchange(address, REQUEST_BYTES));
            let is_complete = matches!(got, Ok((_, true)));
            assert!(
                !is_complete,
                "{part} bytes, reset after {delay_ms} ms: {got:?}"
            );
        }
    }
}

/// Guards against an answer whose status is none.
#[test]
fn a_status_that_is_none_is_a_broken_answer() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime");
    for status in NO_STATUSES {
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\nok");
        let address = start_server(answer, Duration::from_millis(50));
        let got = runtime.block_on(exchange(address, 0));
        assert!(
            matches!(got, Err(ExchangeError::Broken(_))),
            "{status}: {got:?}"
        );
    }
}
