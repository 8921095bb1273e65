//! Requests that are withdrawn while their connection is established.

use std::cell::Cell;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tanagerford_http::connection_pool::{ConnectionPool, ExchangeError};
use tokio::runtime::Builder;

/// Upper bound on the time for connecting; a passing test never reaches it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a request that is written although its server asked for a rest while the connection was established.
#[test]
fn a_withheld_request_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port");
    let address = listener.local_addr().expect("address");
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("runtime");
    let pool = ConnectionPool::new(runtime.handle().clone());
    let asked = Cell::new(0);
    let may_send = |_| {
        asked.set(asked.get() + 1);
        false
    };
    let request = Request::new(Full::new(Bytes::new()));
    let sending = pool.send(address, request, CONNECT_TIMEOUT, true, may_send);
    let result = runtime.block_on(sending);
    assert!(matches!(result, Err(ExchangeError::Withheld)), "{result:?}");
    assert_eq!(asked.get(), 1);
    let (mut stream, _) = listener.accept().expect("connection");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("end of stream");
    assert!(received.is_empty());
}
