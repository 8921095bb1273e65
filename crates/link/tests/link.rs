//! Links over loopback connections: authentication, limits and lost connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tanagerford_link::message::{Chunk, Frame, Hello, frame};
use tanagerford_link::{
    FleetKey, FrameReader, Identity, Link, LinkError, LinkHandler, LinkOptions, LinkServer,
    LinkServerHandle, MAX_FRAME_BYTES, connect, encode,
};

/// Limit of every wait, so that a failing test ends.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Handler that records frames and can block the reader thread.
#[derive(Default)]
struct RecordingHandler {
    frames: Mutex<Vec<Frame>>,
    is_lost: AtomicBool,
    is_blocked: AtomicBool,
}

impl LinkHandler for RecordingHandler {
    fn on_frame(&self, _: &Link, frame: Frame) {
        while self.is_blocked.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(5));
        }
        self.frames.lock().expect("frames are readable").push(frame);
    }

    fn on_lost(&self, _: &Link) {
        self.is_lost.store(true, Ordering::Release);
    }
}

fn options(process_id: &str, key: &[u8]) -> LinkOptions {
    let identity = Identity {
        process_id: process_id.to_owned(),
        incarnation: 7,
        availability_zone: "zone-a".to_owned(),
    };
    LinkOptions::new(identity, FleetKey::new(key), Arc::new(AtomicU64::new(3)))
}

fn start_server(options: LinkOptions) -> (LinkServerHandle, Arc<RecordingHandler>) {
    let handler = Arc::new(RecordingHandler::default());
    let server = LinkServer::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("port is free");
    let server_handle = server
        .start(options, Arc::clone(&handler))
        .expect("server starts");
    (server_handle, handler)
}

fn chunk(sequence: u64, bytes: usize) -> frame::Body {
    frame::Body::Chunk(Chunk {
        attempt_id: 1,
        sequence,
        data: vec![7; bytes],
        tokens: 1,
    })
}

fn wait_until(is_reached: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_reached() {
        assert!(Instant::now() < deadline, "state was not reached");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against frames that are lost or reordered, and against a link that reports a wrong identity of its peer.
#[test]
fn frames_arrive_in_order_with_the_sender_generation() {
    let (server, received) = start_server(options("sidecar", b"key"));
    let handler = Arc::new(RecordingHandler::default());
    let link = connect(server.address(), &options("entry", b"key"), handler).expect("link opens");
    assert_eq!(link.peer().process_id, "sidecar");
    assert_eq!(link.peer().incarnation, 7);
    for sequence in 0..100 {
        link.send(chunk(sequence, 10)).expect("frame is queued");
    }
    assert!(link.flush(WAIT_TIMEOUT));
    wait_until(|| received.frames.lock().expect("frames are readable").len() == 100);
    let frames = received.frames.lock().expect("frames are readable");
    for (sequence, frame) in (0..).zip(frames.iter()) {
        assert_eq!(frame.generation, 3);
        assert_eq!(frame.body, Some(chunk(sequence, 10)));
    }
}

/// Guards against a link to a peer that does not have the fleet key.
#[test]
fn a_peer_with_another_key_is_rejected() {
    let (server, received) = start_server(options("sidecar", b"key"));
    let handler = Arc::new(RecordingHandler::default());
    let result = connect(server.address(), &options("entry", b"other"), handler);
    let error = result.expect_err("link is rejected");
    let context = *error.current_context();
    // The server may close the connection before the client has read the server's proof.
    assert!(
        matches!(context, LinkError::Authentication | LinkError::Lost),
        "{error:?}"
    );
    assert!(
        received
            .frames
            .lock()
            .expect("frames are readable")
            .is_empty()
    );
}

/// Guards against a peer without the fleet key that authenticates by sending the client's own proof back to it.
#[test]
fn a_reflected_proof_is_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port is free");
    let address = listener.local_addr().expect("port is known");
    // This peer echoes every byte, including the client's proof.
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("peer connects");
        let mut buffer = [0; 4096];
        while let Ok(count) = stream.read(&mut buffer) {
            if count == 0 || stream.write_all(&buffer[..count]).is_err() {
                return;
            }
        }
    });
    let handler = Arc::new(RecordingHandler::default());
    let result = connect(address, &options("entry", b"key"), handler);
    let error = result.expect_err("link is rejected");
    assert_eq!(*error.current_context(), LinkError::Authentication);
}

/// Guards against frames of another protocol version that are misinterpreted.
#[test]
fn another_version_is_rejected() {
    let (server, _) = start_server(options("sidecar", b"key"));
    let mut stream = TcpStream::connect(server.address()).expect("server accepts");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("timeout is set");
    let hello = Frame {
        generation: 0,
        body: Some(frame::Body::Hello(Hello {
            version: 99,
            nonce: vec![0; 32],
            ..Hello::default()
        })),
    };
    let mut buffer = BytesMut::new();
    encode(&hello, &mut buffer).expect("frame is small");
    stream.write_all(&buffer).expect("hello is sent");
    let mut received = Vec::new();
    // The server sends its own hello and then closes the connection.
    stream
        .read_to_end(&mut received)
        .expect("connection is closed");
    assert!(!received.is_empty());
}

/// Guards against unbounded memory growth when the peer stops reading from its socket.
#[test]
fn a_full_queue_closes_the_link() {
    let (server, received) = start_server(options("sidecar", b"key"));
    received.is_blocked.store(true, Ordering::Release);
    let handler = Arc::new(RecordingHandler::default());
    let link = connect(server.address(), &options("entry", b"key"), handler).expect("link opens");
    let error = (0..200_000).find_map(|sequence| link.send(chunk(sequence, 1_024)).err());
    assert!(
        matches!(error, Some(LinkError::Congested | LinkError::Lost)),
        "{error:?}"
    );
    assert!(link.is_lost());
    received.is_blocked.store(false, Ordering::Release);
}

/// Guards against a link that stays open although the peer process is frozen and sends no frames.
#[test]
fn a_link_without_received_frames_is_lost() {
    let options_without_pings = |process_id| LinkOptions {
        receive_timeout: Duration::from_millis(100),
        ping_interval: Duration::from_hours(1),
        ..options(process_id, b"key")
    };
    let (server, _received) = start_server(options_without_pings("sidecar"));
    let handler = Arc::new(RecordingHandler::default());
    let link = connect(
        server.address(),
        &options_without_pings("entry"),
        Arc::clone(&handler),
    )
    .expect("link opens");
    wait_until(|| handler.is_lost.load(Ordering::Acquire));
    assert!(link.is_lost());
}

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic on a malformed byte stream.
    #[test]
    fn malformed_bytes_return_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut reader = FrameReader::new(&bytes[..]);
        let mut frames = 0;
        while reader.read().is_ok() {
            frames += 1;
            prop_assert!(frames <= bytes.len());
        }
    }

    /// Guards against a large allocation for a frame length announced by an unauthenticated peer.
    #[test]
    fn a_large_frame_before_the_handshake_is_rejected(length in 4_097_u32..) {
        let length_prefix = length.to_be_bytes();
        let mut reader = FrameReader::new(&length_prefix[..]);
        let error = reader.read().expect_err("frame is rejected");
        prop_assert_eq!(*error.current_context(), LinkError::Malformed);
    }

    /// Guards against a frame that differs after encoding and decoding.
    #[test]
    fn frames_round_trip(sequence in any::<u64>(), bytes in 0_usize..4_000, generation in any::<u64>()) {
        let frame = Frame { generation, body: Some(chunk(sequence, bytes)) };
        let mut buffer = BytesMut::new();
        encode(&frame, &mut buffer).expect("frame is small");
        let mut reader = FrameReader::new(&buffer[..]);
        prop_assert_eq!(reader.read().expect("frame is complete"), frame);
    }
}

/// Guards against sending a frame that exceeds the peer's size limit.
#[test]
fn an_oversized_frame_is_not_encoded() {
    let frame = Frame {
        generation: 0,
        body: Some(chunk(0, MAX_FRAME_BYTES + 1)),
    };
    let error = encode(&frame, &mut BytesMut::new()).expect_err("frame is too large");
    assert_eq!(*error.current_context(), LinkError::Malformed);
}
