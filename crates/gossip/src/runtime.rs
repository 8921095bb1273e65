//! Runtime of the membership protocol: one socket, one thread that receives and one that runs the timers.

use std::fmt;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use error_stack::{Report, ResultExt};
use rand::RngExt;
use serde::Serialize;
use tanagerford_core::ids::{Generation, Incarnation};
use tanagerford_core::membership::{
    Action, DATAGRAM_BYTES, Event, Item, ItemError, Member, Membership, Params, Profile, StateDump,
};
use tanagerford_sync::lock;

use crate::codec::{Codec, DecodeError};

/// Longest time that the receiving thread waits before it looks whether it has to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

/// Shortest and longest pause of the timer thread.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(50));

/// Shortest time between two snapshots, so that a burst of changes costs one copy of the table.
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(50);

/// Events that a slow subscriber may leave unread.
const EVENT_CAPACITY: usize = 4_096;

/// Settings of the runtime.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Data of this process. A gossip port of 0 lets the system pick one, which then replaces it.
    pub profile: Profile,
    /// Number of this start of the process; higher than that of any earlier start.
    pub incarnation: Incarnation,
    /// Fleet key.
    pub fleet_key: Vec<u8>,
    /// Gossip addresses of processes that may know the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Parameters of the protocol.
    pub params: Params,
}

/// The runtime could not start.
#[derive(Debug)]
pub struct StartError;

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("could not start membership")
    }
}

impl std::error::Error for StartError {}

/// Members at one moment.
#[derive(Debug, Clone, Serialize)]
pub struct Snapshot {
    /// Number of the snapshot; rises with each change.
    pub version: u64,
    /// This process.
    pub own: Member,
    /// All other members, dead ones included, ordered by process id.
    pub members: Vec<Member>,
}

/// Counts of the transport since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TransportCounters {
    /// Payload bytes sent.
    pub sent_bytes: u64,
    /// Payload bytes received.
    pub received_bytes: u64,
    /// Datagrams that the system did not take.
    pub send_errors: u64,
    /// Datagrams of a wrong length or version.
    pub envelope_errors: u64,
    /// Datagrams with a wrong authentication code.
    pub unauthenticated: u64,
    /// Datagrams with malformed content.
    pub malformed: u64,
    /// Events that a slow subscriber lost.
    pub lost_events: u64,
}

#[derive(Debug, Default)]
struct AtomicCounters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    send_errors: AtomicU64,
    envelope_errors: AtomicU64,
    unauthenticated: AtomicU64,
    malformed: AtomicU64,
    lost_events: AtomicU64,
}

#[derive(Debug)]
struct State {
    membership: Membership,
    is_changed: bool,
    snapshot_at: Duration,
}

#[derive(Debug)]
struct Shared {
    socket: UdpSocket,
    codec: Codec,
    started_at: Instant,
    state: Mutex<State>,
    snapshot: Mutex<Arc<Snapshot>>,
    subscribers: Mutex<Vec<Sender<Event>>>,
    counters: AtomicCounters,
    is_stopped: AtomicBool,
}

/// Membership of this process in the fleet.
#[derive(Debug)]
pub struct Gossip {
    shared: Arc<Shared>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Gossip {
    /// Binds the gossip address and starts the protocol.
    ///
    /// ```
    /// use tanagerford_core::membership::{Params, Profile, Role};
    /// use tanagerford_gossip::{Gossip, Settings};
    /// let profile = Profile {
    ///     process_id: "entry-1".into(),
    ///     role: Role::Entry,
    ///     pool: String::new(),
    ///     availability_zone: "a".into(),
    ///     region: "north".into(),
    ///     link_address: "127.0.0.1:7000".parse().unwrap(),
    ///     gossip_address: "127.0.0.1:0".parse().unwrap(),
    /// };
    /// let gossip = Gossip::start(Settings {
    ///     profile,
    ///     incarnation: 1,
    ///     fleet_key: b"fleet key".to_vec(),
    ///     seeds: vec![],
    ///     params: Params::default(),
    /// })
    /// .unwrap();
    /// gossip.set_generation(7);
    /// assert_eq!(gossip.members().own.generation, 7);
    /// gossip.stop();
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> Result<Self, Report<StartError>> {
        let shared = Arc::new(Shared::open(settings).change_context(StartError)?);
        let gossip = Self {
            shared,
            threads: Mutex::new(Vec::new()),
        };
        gossip.spawn("gossip-receive", Shared::receive_loop)?;
        gossip.spawn("gossip-timer", Shared::timer_loop)?;
        Ok(gossip)
    }

    /// Returns the newest snapshot of the members.
    #[must_use]
    pub fn members(&self) -> Arc<Snapshot> {
        Arc::clone(&lock(&self.shared.snapshot))
    }

    /// Returns a channel with all events from now on. A subscriber that falls behind by thousands of events loses some,
    /// which is counted; it then has to read [`members`](Self::members) again.
    #[must_use]
    pub fn subscribe(&self) -> Receiver<Event> {
        let (sender, receiver) = bounded(EVENT_CAPACITY);
        lock(&self.shared.subscribers).push(sender);
        receiver
    }

    /// Returns the bound gossip address.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.members().own.profile.gossip_address
    }

    /// Replaces the seeds: addresses from the settings and from the VM list.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        lock(&self.shared.state).membership.set_seeds(seeds);
    }

    /// Sets the configuration generation that this process uses; it is sent with every datagram.
    pub fn set_generation(&self, generation: Generation) {
        self.shared.with_state(|_, state| {
            state.membership.set_generation(generation);
            state.is_changed = true;
            Vec::new()
        });
        self.shared.refresh_snapshot(true);
    }

    /// Announces that this process leaves and takes no new work.
    pub fn leave(&self) {
        self.shared.with_state(|now, state| {
            state.is_changed = true;
            state.membership.leave(now)
        });
        self.shared.refresh_snapshot(true);
    }

    /// Spreads an opaque item to all members.
    ///
    /// # Errors
    ///
    /// Returns why the item was not accepted.
    pub fn publish(&self, item: Item) -> Result<(), ItemError> {
        let now = self.shared.now();
        lock(&self.shared.state).membership.publish(now, item)
    }

    /// Returns the state for operators; it holds no secrets.
    #[must_use]
    pub fn dump(&self) -> StateDump {
        lock(&self.shared.state).membership.dump()
    }

    /// Returns the counts of the transport.
    #[must_use]
    pub fn transport_counters(&self) -> TransportCounters {
        let counters = &self.shared.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TransportCounters {
            sent_bytes: read(&counters.sent_bytes),
            received_bytes: read(&counters.received_bytes),
            send_errors: read(&counters.send_errors),
            envelope_errors: read(&counters.envelope_errors),
            unauthenticated: read(&counters.unauthenticated),
            malformed: read(&counters.malformed),
            lost_events: read(&counters.lost_events),
        }
    }

    /// Announces that this process has stopped, and ends the threads.
    pub fn stop(&self) {
        if !self.shared.is_stopped.load(Ordering::Acquire) {
            self.shared
                .with_state(|now, state| state.membership.depart(now));
        }
        self.halt();
    }

    /// Ends the threads without an announcement, as a crash would.
    pub fn halt(&self) {
        self.shared.is_stopped.store(true, Ordering::Release);
        for thread in lock(&self.threads).drain(..) {
            if thread.join().is_err() {
                tracing::error!("membership thread panicked");
            }
        }
    }

    fn spawn(&self, name: &str, run: fn(&Shared)) -> Result<(), Report<StartError>> {
        let shared = Arc::clone(&self.shared);
        let builder = std::thread::Builder::new().name(name.to_owned());
        let spawned = builder.spawn(move || run(&shared));
        match spawned {
            Ok(thread) => {
                lock(&self.threads).push(thread);
                Ok(())
            }
            Err(error) => {
                self.halt();
                Err(Report::new(error).change_context(StartError))
            }
        }
    }
}

impl Drop for Gossip {
    fn drop(&mut self) {
        self.halt();
    }
}

impl Shared {
    fn open(settings: Settings) -> io::Result<Self> {
        let mut profile = settings.profile;
        let socket = UdpSocket::bind(profile.gossip_address)?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        profile.gossip_address.set_port(socket.local_addr()?.port());
        let seed = rand::rng().random();
        let mut membership = Membership::new(
            Duration::ZERO,
            profile,
            settings.incarnation,
            settings.params,
            seed,
        );
        membership.set_seeds(settings.seeds);
        let snapshot = Snapshot {
            version: 0,
            own: membership.own(),
            members: Vec::new(),
        };
        let state = State {
            membership,
            is_changed: false,
            snapshot_at: Duration::ZERO,
        };
        Ok(Self {
            socket,
            codec: Codec::new(&settings.fleet_key),
            started_at: Instant::now(),
            state: Mutex::new(state),
            snapshot: Mutex::new(Arc::new(snapshot)),
            subscribers: Mutex::new(Vec::new()),
            counters: AtomicCounters::default(),
            is_stopped: AtomicBool::new(false),
        })
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn receive_loop(&self) {
        let mut buffer = [0; DATAGRAM_BYTES + 1];
        while !self.is_stopped.load(Ordering::Acquire) {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.on_datagram(&buffer[..length], from),
                Err(error) if is_timeout(&error) => {}
                Err(error) => {
                    // An unreachable peer is reported here on some systems; the pause bounds the rate of errors.
                    tracing::debug!(%error, "receiving a membership datagram failed");
                    std::thread::sleep(PAUSE_RANGE.0);
                }
            }
        }
    }

    fn timer_loop(&self) {
        while !self.is_stopped.load(Ordering::Acquire) {
            self.with_state(|now, state| state.membership.tick(now));
            self.refresh_snapshot(false);
            let next_tick_at = lock(&self.state).membership.next_tick_at();
            let pause = next_tick_at.saturating_sub(self.now());
            std::thread::sleep(pause.clamp(PAUSE_RANGE.0, PAUSE_RANGE.1));
        }
    }

    fn on_datagram(&self, datagram: &[u8], from: SocketAddr) {
        add(&self.counters.received_bytes, datagram.len());
        match self.codec.decode(datagram) {
            Ok(message) => {
                self.with_state(|now, state| state.membership.on_message(now, from, message));
            }
            Err(DecodeError::Envelope) => add(&self.counters.envelope_errors, 1),
            Err(DecodeError::Unauthenticated) => add(&self.counters.unauthenticated, 1),
            Err(DecodeError::Malformed) => add(&self.counters.malformed, 1),
        }
    }

    /// Runs `step` under the lock and carries out its actions after the lock is released.
    fn with_state(&self, step: impl FnOnce(Duration, &mut State) -> Vec<Action>) {
        let actions = {
            let mut state = lock(&self.state);
            let actions = step(self.now(), &mut state);
            let is_changed = actions
                .iter()
                .any(|action| matches!(action, Action::Notify(_)));
            state.is_changed |= is_changed;
            actions
        };
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, &self.codec.encode(&message)),
                Action::Notify(event) => self.notify(&event),
            }
        }
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        match self.socket.send_to(datagram, to) {
            Ok(length) => add(&self.counters.sent_bytes, length),
            Err(error) => {
                tracing::debug!(%to, %error, "sending a membership datagram failed");
                add(&self.counters.send_errors, 1);
            }
        }
    }

    fn notify(&self, event: &Event) {
        self.refresh_snapshot(false);
        lock(&self.subscribers).retain(|subscriber| match subscriber.try_send(event.clone()) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                add(&self.counters.lost_events, 1);
                true
            }
            Err(TrySendError::Disconnected(_)) => false,
        });
    }

    /// Replaces the snapshot if something changed; at most once per [`SNAPSHOT_PERIOD`] unless `is_forced`.
    fn refresh_snapshot(&self, is_forced: bool) {
        let mut state = lock(&self.state);
        let now = self.now();
        if !state.is_changed || (now < state.snapshot_at && !is_forced) {
            return;
        }
        state.is_changed = false;
        state.snapshot_at = now + SNAPSHOT_PERIOD;
        let mut members: Vec<Member> = state.membership.members().collect();
        members.sort_by(|left, right| left.profile.process_id.cmp(&right.profile.process_id));
        let own = state.membership.own();
        let mut snapshot = lock(&self.snapshot);
        let version = snapshot.version + 1;
        *snapshot = Arc::new(Snapshot {
            version,
            own,
            members,
        });
    }
}

fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
