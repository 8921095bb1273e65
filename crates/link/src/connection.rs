//! Open link: one thread reads frames, another writes them.

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

/// Bytes after which the writer stops collecting queued frames and writes them.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Frames that wait for the writer. A full queue means that the peer stopped reading.
const QUEUE_FRAMES: usize = 16 * 1024;

/// Interval of pings on an idle link. An entry has about 104 links at the stated size; with a ping every second from both
/// sides they took 16.8 KB/s of its 6 KB/s for control. The failure detector of the membership is faster.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Time without any frame after which a link is taken for lost: two lost pings and a reserve.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(12);

/// Interval at which [`Link::flush`] looks whether all frames are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Settings of a link.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Identity of this process.
    pub identity: Identity,
    /// Shared secret of the fleet.
    pub key: FleetKey,
    /// Longest time to connect and to finish the handshake.
    pub connect_timeout: Duration,
    /// A link without any frame for this long is taken for lost.
    pub silence_timeout: Duration,
    /// Interval at which the side that opened the link pings it while it is idle; well below `silence_timeout`.
    pub ping_interval: Duration,
    /// Configuration generation that every outgoing frame carries.
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
            silence_timeout: SILENCE_TIMEOUT,
            ping_interval: PING_INTERVAL,
            generation,
        }
    }
}

/// Receives what happens on a link.
pub trait LinkHandler: Send + Sync + 'static {
    /// Called in the reader thread for each frame; must not block.
    fn on_frame(&self, link: &Link, frame: Frame);

    /// Called once when the link is lost or closed.
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
    /// Frames that were queued and not yet written to the socket.
    unwritten: AtomicUsize,
    generation: Arc<AtomicU64>,
}

impl Link {
    /// Returns what the peer told about itself.
    #[must_use]
    pub fn peer(&self) -> &Peer {
        &self.inner.peer
    }

    /// Returns the peer's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns whether the link was lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.inner.lost.load(Ordering::Acquire)
    }

    /// Queues a message for the peer.
    ///
    /// # Errors
    ///
    /// [`LinkError::Lost`] when the link was lost. A full queue closes the link and returns [`LinkError::Congested`].
    pub fn send(&self, body: frame::Body) -> Result<(), LinkError> {
        let frame = Frame {
            generation: self.inner.generation.load(Ordering::Relaxed),
            body: Some(body),
        };
        if self.is_lost() {
            return Err(LinkError::Lost);
        }
        // A channel with a fixed capacity allocates it at once, which took 5.5 MB for each end of a link.
        if self.inner.unwritten.fetch_add(1, Ordering::AcqRel) >= QUEUE_FRAMES {
            tracing::warn!(
                peer = self.peer().process_id,
                "peer stopped reading; closing the link"
            );
            self.close();
            return Err(LinkError::Congested);
        }
        self.inner.queue.send(frame).map_err(|_| LinkError::Lost)
    }

    /// Waits until all queued frames are written; returns false when `timeout` passes or the link is lost before.
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

    /// Closes the link. Frames that are still queued may be lost.
    pub fn close(&self) {
        self.inner.lost.store(true, Ordering::Release);
        let _ = self.inner.stream.shutdown(Shutdown::Both);
    }

    /// Returns whether `other` is the same link.
    #[must_use]
    pub fn same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.inner, &other.inner)
    }
}

/// Opens a link to the process at `address`.
///
/// # Errors
///
/// [`LinkError::Connect`] when the peer cannot be reached, else an error of the handshake.
pub fn connect(
    address: SocketAddr,
    options: &LinkOptions,
    handler: Arc<impl LinkHandler>,
) -> Result<Link, Report<LinkError>> {
    let stream = TcpStream::connect_timeout(&address, options.connect_timeout)
        .change_context(LinkError::Connect)?;
    open(stream, options, handler, Role::Client)
}

/// Runs the handshake on a connection and starts the link's threads.
pub(crate) fn open(
    mut stream: TcpStream,
    options: &LinkOptions,
    handler: Arc<impl LinkHandler>,
    role: Role,
) -> Result<Link, Report<LinkError>> {
    let address = prepare(&stream, options.connect_timeout).change_context(LinkError::Lost)?;
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
        .set_read_timeout(Some(options.silence_timeout))
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

fn prepare(stream: &TcpStream, timeout: Duration) -> io::Result<SocketAddr> {
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
    let read = move || {
        loop {
            match reader.read() {
                Ok(frame) => dispatch(&link, frame, &*handler),
                Err(error) => {
                    tracing::debug!(peer = link.peer().process_id, %error, "link ended");
                    break;
                }
            }
        }
        link.close();
        handler.on_lost(&link);
    };
    thread::Builder::new()
        .name("link-reader".to_owned())
        .spawn(read)
        .map(drop)
}

fn dispatch(link: &Link, frame: Frame, handler: &impl LinkHandler) {
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
    // The writer holds no strong reference to the link, so that the queue disconnects with the last user of the link.
    let link = Arc::downgrade(&link.inner);
    let write = move || {
        let mut buffer = BytesMut::new();
        loop {
            let (first, from_queue) = match queued.recv_timeout(ping_interval) {
                Ok(frame) => (frame, 1),
                Err(RecvTimeoutError::Timeout) if role == Role::Client => (ping(&link), 0),
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => break,
            };
            let Ok(more) = fill(&mut buffer, &first, &queued) else {
                break;
            };
            if flush(&mut sink, &mut buffer).is_err() {
                break;
            }
            if let Some(inner) = link.upgrade() {
                inner
                    .unwritten
                    .fetch_sub(from_queue + more, Ordering::AcqRel);
            }
        }
        if let Some(inner) = link.upgrade() {
            inner.lost.store(true, Ordering::Release);
        }
        let _ = sink.shutdown(Shutdown::Both);
    };
    thread::Builder::new()
        .name("link-writer".to_owned())
        .spawn(write)
        .map(drop)
}

fn ping(link: &std::sync::Weak<Inner>) -> Frame {
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

/// Encodes `first` and further queued frames; returns how many further ones.
fn fill(
    buffer: &mut BytesMut,
    first: &Frame,
    queued: &Receiver<Frame>,
) -> Result<usize, Report<LinkError>> {
    encode(first, buffer)?;
    let mut more = 0;
    while buffer.len() < WRITE_BATCH_BYTES {
        let Ok(frame) = queued.try_recv() else {
            break;
        };
        encode(&frame, buffer)?;
        more += 1;
    }
    Ok(more)
}

fn flush(sink: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<()> {
    io::Write::write_all(sink, buffer)?;
    buffer.clear();
    Ok(())
}
