//! Links over loopback: authentication, limits and loss.

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

/// Longest time that a test waits for a state that must come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Handler that keeps what it gets and can be held up.
#[derive(Default)]
struct Recorder {
    frames: Mutex<Vec<Frame>>,
    lost: AtomicBool,
    hold: AtomicBool,
}

impl LinkHandler for Recorder {
    fn on_frame(&self, _: &Link, frame: Frame) {
        while self.hold.load(Ordering::Acquire) {
            thread::sleep(Duration::from_millis(5));
        }
        self.frames.lock().expect("frames are readable").push(frame);
    }

    fn on_lost(&self, _: &Link) {
        self.lost.store(true, Ordering::Release);
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

fn server(options: LinkOptions) -> (LinkServerHandle, Arc<Recorder>) {
    let recorder = Arc::new(Recorder::default());
    let server = LinkServer::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("port is free");
    let handle = server
        .start(options, Arc::clone(&recorder))
        .expect("server starts");
    (handle, recorder)
}

fn chunk(sequence: u64, bytes: usize) -> frame::Body {
    frame::Body::Chunk(Chunk {
        attempt_id: 1,
        sequence,
        data: vec![7; bytes],
        tokens: 1,
    })
}

fn wait_until(reached: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !reached() {
        assert!(Instant::now() < deadline, "state was not reached");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against frames that are lost or reordered, and against links that do not tell who the peer is.
#[test]
fn frames_arrive_in_order_with_the_generation_of_their_sender() {
    let (server, received) = server(options("sidecar", b"key"));
    let handler = Arc::new(Recorder::default());
    let link = connect(server.address(), &options("entry", b"key"), handler).expect("link opens");
    assert_eq!(link.peer().process_id, "sidecar");
    assert_eq!(link.peer().incarnation, 7);
    for sequence in 0..100 {
        link.send(chunk(sequence, 10)).expect("frame is queued");
    }
    assert!(link.flush(PATIENCE));
    wait_until(|| received.frames.lock().expect("frames are readable").len() == 100);
    let frames = received.frames.lock().expect("frames are readable");
    for (sequence, frame) in (0..).zip(frames.iter()) {
        assert_eq!(frame.generation, 3);
        assert_eq!(frame.body, Some(chunk(sequence, 10)));
    }
}

/// Guards against a peer that takes part without the fleet key.
#[test]
fn a_peer_with_another_key_is_refused() {
    let (server, received) = server(options("sidecar", b"key"));
    let handler = Arc::new(Recorder::default());
    let refused = connect(server.address(), &options("entry", b"other"), handler);
    let error = refused.expect_err("link is refused");
    let context = *error.current_context();
    // The server may close the connection before its own proof is read.
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

/// Guards against a replayed proof: the proof of one connection must not open another one.
#[test]
fn a_reflected_proof_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port is free");
    let address = listener.local_addr().expect("port is known");
    // This peer sends back whatever it gets, and so proves nothing.
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("peer connects");
        let mut buffer = [0; 4096];
        while let Ok(count) = stream.read(&mut buffer) {
            if count == 0 || stream.write_all(&buffer[..count]).is_err() {
                return;
            }
        }
    });
    let handler = Arc::new(Recorder::default());
    let refused = connect(address, &options("entry", b"key"), handler);
    let error = refused.expect_err("link is refused");
    assert_eq!(*error.current_context(), LinkError::Authentication);
}

/// Guards against a peer of another version whose frames would be misread.
#[test]
fn another_version_is_refused() {
    let (server, _) = server(options("sidecar", b"key"));
    let mut stream = TcpStream::connect(server.address()).expect("server accepts");
    stream
        .set_read_timeout(Some(PATIENCE))
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
    let mut rest = Vec::new();
    // The server answers with its own hello and then closes the connection.
    stream.read_to_end(&mut rest).expect("connection is closed");
    assert!(!rest.is_empty());
}

/// Guards against memory that grows without bound when a peer stops reading.
#[test]
fn a_peer_that_stops_reading_loses_its_link() {
    let (server, received) = server(options("sidecar", b"key"));
    received.hold.store(true, Ordering::Release);
    let handler = Arc::new(Recorder::default());
    let link = connect(server.address(), &options("entry", b"key"), handler).expect("link opens");
    let congested = (0..200_000).find_map(|sequence| link.send(chunk(sequence, 1_024)).err());
    assert!(
        matches!(congested, Some(LinkError::Congested | LinkError::Lost)),
        "{congested:?}"
    );
    assert!(link.is_lost());
    received.hold.store(false, Ordering::Release);
}

/// Guards against a link to a frozen process that looks open for ever.
#[test]
fn a_silent_peer_loses_its_link() {
    let quiet = |process_id| LinkOptions {
        silence_timeout: Duration::from_millis(100),
        ping_interval: Duration::from_hours(1),
        ..options(process_id, b"key")
    };
    let (server, _received) = server(quiet("sidecar"));
    let handler = Arc::new(Recorder::default());
    let link =
        connect(server.address(), &quiet("entry"), Arc::clone(&handler)).expect("link opens");
    wait_until(|| handler.lost.load(Ordering::Acquire));
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
    fn malformed_bytes_end_in_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut reader = FrameReader::new(&bytes[..]);
        let mut frames = 0;
        while reader.read().is_ok() {
            frames += 1;
            prop_assert!(frames <= bytes.len());
        }
    }

    /// Guards against a stranger that makes the process allocate by announcing a large frame.
    #[test]
    fn a_large_frame_before_the_handshake_is_refused(length in 4_097_u32..) {
        let announced = length.to_be_bytes();
        let mut reader = FrameReader::new(&announced[..]);
        let error = reader.read().expect_err("frame is refused");
        prop_assert_eq!(*error.current_context(), LinkError::Malformed);
    }

    /// Guards against frames that change on the way through the codec.
    #[test]
    fn frames_survive_the_codec(sequence in any::<u64>(), bytes in 0_usize..4_000, generation in any::<u64>()) {
        let frame = Frame { generation, body: Some(chunk(sequence, bytes)) };
        let mut buffer = BytesMut::new();
        encode(&frame, &mut buffer).expect("frame is small");
        let mut reader = FrameReader::new(&buffer[..]);
        prop_assert_eq!(reader.read().expect("frame is whole"), frame);
    }
}

/// Guards against frames that the peer would refuse.
#[test]
fn an_oversized_frame_is_not_encoded() {
    let frame = Frame {
        generation: 0,
        body: Some(chunk(0, MAX_FRAME_BYTES + 1)),
    };
    let error = encode(&frame, &mut BytesMut::new()).expect_err("frame is too large");
    assert_eq!(*error.current_context(), LinkError::Malformed);
}
