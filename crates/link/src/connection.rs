//! An open link and its two threads: one reads frames, the other writes them.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use error_stack::{Report, ResultExt};

use crate::codec::{FrameReader, encode};
use crate::error::LinkError;
use crate::handshake::{self, FleetKey, Identity, Peer, Role};
use crate::message::{Frame, Ping, frame};

/// Size at which the writer stops adding queued frames to a batch and writes it.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Maximum number of frames that wait for the writer. A full queue means that the peer has stopped reading.
const MAX_QUEUED_FRAMES: usize = 16 * 1024;

/// Default interval of pings on an idle link. At the design size an entry has about 104 links; a ping every second from
/// both sides uses 16.8 KB/s, more than the 6 KB/s available for control traffic. A long interval is sufficient, because
/// the failure detector of the membership protocol is faster.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Default time without a received frame after which a link is considered lost: two missed pings and a margin.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(12);

/// Interval at which [`Link::flush`] checks whether all frames are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Settings of a link.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Identity of this process, sent to the peer.
    pub identity: Identity,
    /// Secret with which both sides authenticate.
    pub key: FleetKey,
    /// Timeout for the connection and for each read and write of the handshake; 1 s by default. Writes on the open link
    /// keep this timeout.
    pub connect_timeout: Duration,
    /// Time without a received frame after which the link is considered lost; 12 s by default.
    pub receive_timeout: Duration,
    /// Interval at which the side that opened the link sends pings while it has no other frames to send; 5 s by default.
    /// It must be well below `receive_timeout`.
    pub ping_interval: Duration,
    /// Configuration generation of this process, read for each outgoing frame.
    pub generation: Arc<AtomicU64>,
}

impl LinkOptions {
    /// Returns options with the default timeouts.
    #[must_use]
    pub fn new(identity: Identity, key: FleetKey, generation: Arc<AtomicU64>) -> Self {
        Self {
            identity,
            key,
            connect_timeout: Duration::from_secs(1),
            receive_timeout: RECEIVE_TIMEOUT,
            ping_interval: PING_INTERVAL,
            generation,
        }
    }
}

/// Receives the frames and the end of a link.
pub trait LinkHandler: Send + Sync + 'static {
    /// Handles a received frame. It runs in the reader thread of the link and must not block.
    fn on_frame(&self, link: &Link, frame: Frame);

    /// Handles the end of the link, whether closed locally or lost. It is called exactly once.
    fn on_lost(&self, link: &Link);
}

/// Open link to a peer. Clones refer to the same link.
#[derive(Debug, Clone)]
pub struct Link {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    peer: Peer,
    address: SocketAddr,
    queue: Sender<Frame>,
    stream: TcpStream,
    lost: AtomicBool,
    /// Frames that are queued but not yet written to the socket.
    unwritten: AtomicUsize,
    generation: Arc<AtomicU64>,
}

impl Link {
    /// Returns the authenticated identity of the peer.
    #[must_use]
    pub fn peer(&self) -> &Peer {
        &self.inner.peer
    }

    /// Returns the remote address of the connection.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns whether the link is closed or lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.inner.lost.load(Ordering::Acquire)
    }

    /// Queues a message for the peer.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Lost`] if the link is closed or lost. A full queue closes the link and returns
    /// [`LinkError::Congested`].
    pub fn send(&self, body: frame::Body) -> Result<(), LinkError> {
        let frame = Frame {
            generation: self.inner.generation.load(Ordering::Relaxed),
            body: Some(body),
        };
        if self.is_lost() {
            return Err(LinkError::Lost);
        }
        // The length is limited here and not by the channel, because a bounded channel allocates its whole capacity in
        // advance: 5.5 MB for each end of a link.
        if self.inner.unwritten.fetch_add(1, Ordering::AcqRel) >= MAX_QUEUED_FRAMES {
            tracing::warn!(
                peer = self.peer().process_id,
                "queue of outgoing frames is full; closing the link"
            );
            self.close();
            return Err(LinkError::Congested);
        }
        self.inner.queue.send(frame).map_err(|_| LinkError::Lost)
    }

    /// Waits until all queued frames are written. Returns false if `timeout` expires or the link is lost before that.
    #[must_use]
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.inner.unwritten.load(Ordering::Acquire) > 0 {
            if self.is_lost() || Instant::now() >= deadline {
                return false;
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        true
    }

    /// Closes the link. Frames that are still queued may not be sent.
    pub fn close(&self) {
        self.inner.lost.store(true, Ordering::Release);
        let _ = self.inner.stream.shutdown(Shutdown::Both);
    }

    /// Returns whether both values refer to the same connection.
    #[must_use]
    pub fn is_same_link(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.inner, &other.inner)
    }
}

/// Opens a link to the process at `address`.
///
/// # Errors
///
/// Returns [`LinkError::Connect`] if the peer cannot be reached, otherwise the error of the handshake.
pub fn connect(
    address: SocketAddr,
    options: &LinkOptions,
    handler: Arc<impl LinkHandler>,
) -> Result<Link, Report<LinkError>> {
    let stream = TcpStream::connect_timeout(&address, options.connect_timeout)
        .change_context(LinkError::Connect)?;
    open(stream, options, handler, Role::Client)
}

/// Runs the handshake on a connection and starts the reader and writer threads.
pub(crate) fn open(
    mut stream: TcpStream,
    options: &LinkOptions,
    handler: Arc<impl LinkHandler>,
    role: Role,
) -> Result<Link, Report<LinkError>> {
    let address =
        configure_socket(&stream, options.connect_timeout).change_context(LinkError::Lost)?;
    let source = stream.try_clone().change_context(LinkError::Lost)?;
    let mut reader = FrameReader::new(source);
    let peer = handshake::run(
        &mut reader,
        &mut stream,
        &options.identity,
        &options.key,
        role,
    )?;
    stream
        .set_read_timeout(Some(options.receive_timeout))
        .change_context(LinkError::Lost)?;
    let sink = stream.try_clone().change_context(LinkError::Lost)?;
    let (queue, queued) = channel::unbounded();
    let inner = Inner {
        peer,
        address,
        queue,
        stream,
        lost: AtomicBool::new(false),
        unwritten: AtomicUsize::new(0),
        generation: Arc::clone(&options.generation),
    };
    let link = Link {
        inner: Arc::new(inner),
    };
    spawn_reader(link.clone(), reader, handler).change_context(LinkError::Lost)?;
    spawn_writer(sink, queued, role, options.ping_interval, &link)
        .change_context(LinkError::Lost)?;
    Ok(link)
}

/// Sets the options and timeouts of the socket and returns the remote address.
fn configure_socket(stream: &TcpStream, timeout: Duration) -> io::Result<SocketAddr> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.peer_addr()
}

fn spawn_reader(
    link: Link,
    mut reader: FrameReader<TcpStream>,
    handler: Arc<impl LinkHandler>,
) -> io::Result<()> {
    let read_loop = move || {
        loop {
            match reader.read() {
                Ok(frame) => handle_frame(&link, frame, &*handler),
                Err(error) => {
                    tracing::debug!(peer = link.peer().process_id, %error, "link closed");
                    break;
                }
            }
        }
        link.close();
        handler.on_lost(&link);
    };
    thread::Builder::new()
        .name("link-reader".to_owned())
        .spawn(read_loop)
        .map(drop)
}

/// Responds to a ping and forwards every frame to the handler.
fn handle_frame(link: &Link, frame: Frame, handler: &impl LinkHandler) {
    match frame.body {
        Some(frame::Body::Ping(Ping {
            nonce,
            answer: false,
        })) => {
            let pong = Ping {
                nonce,
                answer: true,
            };
            let _ = link.send(frame::Body::Ping(pong));
            handler.on_frame(link, frame);
        }
        _ => handler.on_frame(link, frame),
    }
}

fn spawn_writer(
    mut sink: TcpStream,
    queued: Receiver<Frame>,
    role: Role,
    ping_interval: Duration,
    link: &Link,
) -> io::Result<()> {
    // The writer holds only a weak reference, so that the queue disconnects when the last user drops the link.
    let link = Arc::downgrade(&link.inner);
    let write_loop = move || {
        let mut buffer = BytesMut::new();
        loop {
            let (first, queued_count) = match queued.recv_timeout(ping_interval) {
                Ok(frame) => (frame, 1),
                Err(RecvTimeoutError::Timeout) if role == Role::Client => (new_ping(&link), 0),
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => break,
            };
            let Ok(additional) = encode_batch(&mut buffer, &first, &queued) else {
                break;
            };
            if write_batch(&mut sink, &mut buffer).is_err() {
                break;
            }
            if let Some(inner) = link.upgrade() {
                inner
                    .unwritten
                    .fetch_sub(queued_count + additional, Ordering::AcqRel);
            }
        }
        if let Some(inner) = link.upgrade() {
            inner.lost.store(true, Ordering::Release);
        }
        let _ = sink.shutdown(Shutdown::Both);
    };
    thread::Builder::new()
        .name("link-writer".to_owned())
        .spawn(write_loop)
        .map(drop)
}

fn new_ping(link: &std::sync::Weak<Inner>) -> Frame {
    let generation = link
        .upgrade()
        .map_or(0, |inner| inner.generation.load(Ordering::Relaxed));
    Frame {
        generation,
        body: Some(frame::Body::Ping(Ping {
            nonce: 0,
            answer: false,
        })),
    }
}

/// Encodes `first` and the frames queued after it, up to [`WRITE_BATCH_BYTES`]. Returns the number of frames taken from the
/// queue in addition to `first`.
fn encode_batch(
    buffer: &mut BytesMut,
    first: &Frame,
    queued: &Receiver<Frame>,
) -> Result<usize, Report<LinkError>> {
    encode(first, buffer)?;
    let mut additional = 0;
    while buffer.len() < WRITE_BATCH_BYTES {
        let Ok(frame) = queued.try_recv() else {
            break;
        };
        encode(&frame, buffer)?;
        additional += 1;
    }
    Ok(additional)
}

fn write_batch(sink: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<()> {
    io::Write::write_all(sink, buffer)?;
    buffer.clear();
    Ok(())
}
