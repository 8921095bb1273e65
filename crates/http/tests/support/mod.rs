//! Server that answers before it has read the request, for the tests of both paths' clients.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// More than the kernel buffers of a connection hold, so that the request is still being written.
pub const REQUEST_BYTES: usize = 32 * 1024 * 1024;
/// Milliseconds after which a connection is reset, and bytes of the answer that are written before.
pub const RESETS: [(u64, usize); 6] = [
    (0, 10),
    (20, 10),
    (100, 10),
    (20, 0),
    (20, 100_000),
    (100, 100_000),
];
/// Texts in the place of a status.
pub const NO_STATUSES: [&str; 10] = [
    "000", "001", "099", "99", "0", "1000", "2OO", "-20", "+20", "",
];

/// Starts a server that reads the beginning of each request, answers with `answer`, and resets the connection after `delay`.
pub fn start_server(answer: String, delay: Duration) -> SocketAddr {
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
