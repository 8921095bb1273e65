//! Runtime of the membership protocol: a UDP socket, a thread that receives datagrams and a thread that runs timers.

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

/// Interval at which the receiving thread checks whether it has to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

/// Minimum and maximum sleep of the timer thread.
const TIMER_SLEEP_RANGE: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(50));

/// Minimum time between two snapshots, so that a burst of changes copies the table only once.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of unread events of a subscriber.
const SUBSCRIBER_QUEUE_EVENTS: usize = 4_096;

/// Settings of the runtime.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Profile that this process announces. A gossip port of 0 is replaced by a free port selected by the system.
    pub profile: Profile,
    /// Number of this start of the process; higher than that of any earlier start.
    pub incarnation: Incarnation,
    /// Secret that authenticates the datagrams of a fleet.
    pub fleet_key: Vec<u8>,
    /// Gossip addresses of processes through which this one joins; some may be down.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and limits of the membership protocol.
    pub params: Params,
}

/// The gossip address could not be bound or a thread could not be started.
#[derive(Debug)]
pub struct StartError;

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot start the membership runtime")
    }
}

impl std::error::Error for StartError {}

/// Copy of the member table.
#[derive(Debug, Clone, Serialize)]
pub struct Snapshot {
    /// Sequence number that increases by one with each snapshot.
    pub version: u64,
    /// Member record of this process itself.
    pub own: Member,
    /// All other members including dead ones, ordered by process id.
    pub members: Vec<Member>,
}

/// Counters of the transport since [`Gossip::start`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TransportCounters {
    /// UDP payload bytes sent, without IP and UDP headers.
    pub sent_bytes: u64,
    /// UDP payload bytes received, including those of rejected datagrams.
    pub received_bytes: u64,
    /// Datagrams that the operating system failed to send.
    pub send_errors: u64,
    /// Received datagrams with an invalid length or another format version.
    pub envelope_errors: u64,
    /// Received datagrams with an invalid authentication code.
    pub unauthenticated: u64,
    /// Authenticated datagrams with malformed content.
    pub malformed: u64,
    /// Events dropped because the queue of a subscriber was full.
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
    has_changes: bool,
    /// Earliest time of the next snapshot.
    next_snapshot_at: Duration,
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
    is_stopping: AtomicBool,
}

/// Membership of this process in the fleet. Dropping it ends the threads without an announcement.
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
    /// Returns [`StartError`] if the address cannot be bound or a thread cannot be started.
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

    /// Returns the latest snapshot of the members. Changes of other members appear in it with a delay of up to about
    /// 100 ms.
    #[must_use]
    pub fn members(&self) -> Arc<Snapshot> {
        Arc::clone(&lock(&self.shared.snapshot))
    }

    /// Returns a channel that receives all events from now on.
    ///
    /// Events are dropped and counted in [`TransportCounters::lost_events`] while a subscriber has 4,096 unread ones. It
    /// then has to read [`members`](Self::members) again.
    #[must_use]
    pub fn subscribe(&self) -> Receiver<Event> {
        let (sender, receiver) = bounded(SUBSCRIBER_QUEUE_EVENTS);
        lock(&self.shared.subscribers).push(sender);
        receiver
    }

    /// Returns the gossip address with the bound port.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.members().own.profile.gossip_address
    }

    /// Replaces the seeds, which come from the settings and the VM list.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        lock(&self.shared.state).membership.set_seeds(seeds);
    }

    /// Sets the configuration generation that this process uses and announces in every datagram.
    pub fn set_generation(&self, generation: Generation) {
        self.shared.with_state(|_, state| {
            state.membership.set_generation(generation);
            state.has_changes = true;
            Vec::new()
        });
        self.shared.refresh_snapshot(true);
    }

    /// Announces that this process is leaving and accepts no new work. The threads keep running.
    pub fn leave(&self) {
        self.shared.with_state(|now, state| {
            state.has_changes = true;
            state.membership.leave(now)
        });
        self.shared.refresh_snapshot(true);
    }

    /// Disseminates an opaque item to all members.
    ///
    /// # Errors
    ///
    /// Returns the reason if the item is not accepted.
    pub fn publish(&self, item: Item) -> Result<(), ItemError> {
        let now = self.shared.now();
        lock(&self.shared.state).membership.publish(now, item)
    }

    /// Returns the state of the protocol for operators. It contains no secrets.
    #[must_use]
    pub fn dump(&self) -> StateDump {
        lock(&self.shared.state).membership.dump()
    }

    /// Returns the current counters; the values are read one by one, not atomically as a whole.
    #[must_use]
    pub fn transport_counters(&self) -> TransportCounters {
        let counters = &self.shared.counters;
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TransportCounters {
            sent_bytes: load(&counters.sent_bytes),
            received_bytes: load(&counters.received_bytes),
            send_errors: load(&counters.send_errors),
            envelope_errors: load(&counters.envelope_errors),
            unauthenticated: load(&counters.unauthenticated),
            malformed: load(&counters.malformed),
            lost_events: load(&counters.lost_events),
        }
    }

    /// Announces that this process has stopped and ends the threads. Does nothing if they have already ended.
    pub fn stop(&self) {
        if !self.shared.is_stopping.load(Ordering::Acquire) {
            self.shared
                .with_state(|now, state| state.membership.depart(now));
        }
        self.abort();
    }

    /// Ends the threads without an announcement, so that peers observe a crash.
    pub fn abort(&self) {
        self.shared.is_stopping.store(true, Ordering::Release);
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
                self.abort();
                Err(Report::new(error).change_context(StartError))
            }
        }
    }
}

impl Drop for Gossip {
    fn drop(&mut self) {
        self.abort();
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
            has_changes: false,
            next_snapshot_at: Duration::ZERO,
        };
        Ok(Self {
            socket,
            codec: Codec::new(&settings.fleet_key),
            started_at: Instant::now(),
            state: Mutex::new(state),
            snapshot: Mutex::new(Arc::new(snapshot)),
            subscribers: Mutex::new(Vec::new()),
            counters: AtomicCounters::default(),
            is_stopping: AtomicBool::new(false),
        })
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn receive_loop(&self) {
        let mut buffer = [0; DATAGRAM_BYTES + 1];
        while !self.is_stopping.load(Ordering::Acquire) {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => self.on_datagram(&buffer[..length], from),
                Err(error) if is_timeout(&error) => {}
                Err(error) => {
                    // Some systems report an unreachable peer here; the pause limits the rate of these errors.
                    tracing::debug!(%error, "cannot receive a membership datagram");
                    std::thread::sleep(TIMER_SLEEP_RANGE.0);
                }
            }
        }
    }

    fn timer_loop(&self) {
        while !self.is_stopping.load(Ordering::Acquire) {
            self.with_state(|now, state| state.membership.tick(now));
            self.refresh_snapshot(false);
            let next_tick_at = lock(&self.state).membership.next_tick_at();
            let sleep = next_tick_at.saturating_sub(self.now());
            std::thread::sleep(sleep.clamp(TIMER_SLEEP_RANGE.0, TIMER_SLEEP_RANGE.1));
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

    /// Runs `step` while holding the lock and performs the returned actions after releasing it.
    fn with_state(&self, step: impl FnOnce(Duration, &mut State) -> Vec<Action>) {
        let actions = {
            let mut state = lock(&self.state);
            let actions = step(self.now(), &mut state);
            let has_event = actions
                .iter()
                .any(|action| matches!(action, Action::Notify(_)));
            state.has_changes |= has_event;
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
                tracing::debug!(%to, %error, "cannot send a membership datagram");
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

    /// Replaces the snapshot if the members have changed, at most once per [`MIN_SNAPSHOT_INTERVAL`] unless `is_forced`.
    fn refresh_snapshot(&self, is_forced: bool) {
        let mut state = lock(&self.state);
        let now = self.now();
        if !state.has_changes || (now < state.next_snapshot_at && !is_forced) {
            return;
        }
        state.has_changes = false;
        state.next_snapshot_at = now + MIN_SNAPSHOT_INTERVAL;
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
