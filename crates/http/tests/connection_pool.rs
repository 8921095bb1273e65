//! Tests of the connections to servers.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tanagerford_http::connection_pool::ConnectionPool;
use tokio::runtime::{Builder, Handle};

const WAIT: Duration = Duration::from_secs(20);

fn get() -> Request<Full<Bytes>> {
    let request = Request::get("/").header("host", "test");
    request.body(Full::default()).expect("request")
}

/// Guards against requests that reach a server after their callers have left: the kernel delivered what an abandoned
/// connection had not sent yet when the server or the network was back. An exchange that was completed ends in order.
#[test]
fn a_connection_is_reset_when_its_exchange_is_abandoned() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    for (answer, is_read, is_reset) in [
        ("", false, true),
        (response, false, true),
        (&*format!("{response}done"), true, false),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port");
        let address = listener.local_addr().expect("address");
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("runtime");
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let exchange = async {
            let pool = ConnectionPool::new(Handle::current());
            let sent = pool.send(address, get(), WAIT, true, |_| true);
            let exchange = async {
                let mut response = sent.await.expect("a response");
                while let Some(_chunk) = response.next_chunk().await.expect("a body") {}
            };
            if is_read {
                exchange.await;
            } else {
                futures_lite::future::or(exchange, async {
                    let _ = stopped.recv().await;
                })
                .await;
            }
            drop(pool);
            // The connection's task sees that its sender is gone.
            for _ in 0..100 {
                tokio::task::yield_now().await;
            }
        };
        std::thread::scope(|scope| {
            let server = scope.spawn(|| {
                let (mut stream, _) = listener.accept().expect("accept");
                stream.set_read_timeout(Some(WAIT)).expect("timeout");
                let mut request = [0; 1024];
                assert!(stream.read(&mut request).expect("a request") > 0);
                stream.write_all(answer.as_bytes()).expect("write");
                stop.close();
                stream.read(&mut request)
            });
            runtime.block_on(exchange);
            let end = server.join().expect("server");
            let is_reset_seen = end.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
            assert_eq!(is_reset_seen, is_reset, "after {answer:?}");
        });
    }
}
