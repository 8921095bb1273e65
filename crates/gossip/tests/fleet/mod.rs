//! Simulates a fleet of [`Membership`] instances on a virtual clock, with delay and loss of datagrams.

#![allow(
    dead_code,
    reason = "each user of this module needs only some of its items"
)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tanagerford_core::membership::{
    Action, Body, Event, Header, Member, MemberKey, MemberState, Membership, Message, Params,
    Profile, Role, Update, member_key,
};
use tanagerford_gossip::Codec;

/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

const ZONES: usize = 8;
const MODELS: usize = 13;
const GOSSIP_PORT: u16 = 7_946;

/// Length of the windows in which the peak traffic of a member is measured.
const TRAFFIC_WINDOW: Duration = Duration::from_mins(1);

/// Minimum and maximum time of a configuration fetch from a peer.
const FETCH_TIME_RANGE: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(300));

pub struct Node {
    pub membership: Membership,
    pub is_running: bool,
    pub generation: u64,
    pub traffic: Traffic,
    incarnation: u64,
    is_fetching: bool,
}

/// Traffic that a member sends and receives, including IP and UDP headers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub bytes: usize,
    pub messages: usize,
    /// Index of the current window of [`TRAFFIC_WINDOW`].
    window: u128,
    window_bytes: usize,
    /// Largest number of bytes in one window.
    pub peak_window_bytes: usize,
}

enum SimulationEvent {
    Tick {
        incarnation: u64,
    },
    Datagram {
        from: SocketAddr,
        message: Box<Message>,
    },
    Fetched {
        incarnation: u64,
        generation: u64,
    },
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    /// Probability that a datagram or a configuration fetch is lost.
    pub loss: f64,
    /// Whether all datagrams between regions are lost.
    pub is_partitioned: bool,
    params: Params,
    rng: Pcg64Mcg,
    /// Time, id and node index of each pending event, earliest first.
    event_queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: HashMap<u64, SimulationEvent>,
    next_event_id: u64,
    codec: Codec,
    seed: u64,
}

pub fn address(index: usize) -> SocketAddr {
    let index = u32::try_from(index).unwrap();
    SocketAddr::new(Ipv4Addr::from(0x0a00_0000 + index).into(), GOSSIP_PORT)
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("the fleet uses IPv4 only");
    };
    usize::try_from(u32::from(*address.ip()) - 0x0a00_0000).unwrap()
}

pub fn zone(index: usize) -> usize {
    index % ZONES
}

pub fn region(index: usize) -> usize {
    zone(index) / (ZONES / 2)
}

pub fn key(index: usize) -> MemberKey {
    member_key(&process_id(index))
}

fn process_id(index: usize) -> String {
    if index.is_multiple_of(3) {
        format!("entry-{index:05}")
    } else {
        format!("sidecar-{index:05}")
    }
}

fn profile(index: usize) -> Profile {
    let is_entry = index.is_multiple_of(3);
    Profile {
        process_id: process_id(index),
        role: if is_entry { Role::Entry } else { Role::Sidecar },
        pool: if is_entry {
            String::new()
        } else {
            format!("model-{:02}", index % MODELS)
        },
        availability_zone: format!("zone-{}", zone(index)),
        region: format!("region-{}", region(index)),
        link_address: SocketAddr::new(address(index).ip(), 7_900),
        gossip_address: address(index),
    }
}

impl Fleet {
    /// Creates a fleet whose members all start within the first second, each with the addresses of all members as seeds.
    pub fn start(size: usize, seed: u64, params: &Params) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            loss: 0.0,
            is_partitioned: false,
            params: params.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            event_queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event_id: 0,
            codec: Codec::new(b"fleet"),
            seed,
        };
        for index in 0..size {
            let membership = fleet.new_membership(size, index, 1);
            fleet.nodes.push(Node {
                membership,
                is_running: true,
                generation: 0,
                traffic: Traffic::default(),
                incarnation: 1,
                is_fetching: false,
            });
            fleet.schedule_first_tick(index);
        }
        fleet
    }

    /// Creates a fleet whose members know each other from the start, and runs it until no updates are queued.
    pub fn start_settled(size: usize, seed: u64, params: &Params) -> Self {
        let mut fleet = Self::start(size, seed, params);
        fleet.introduce_all();
        let is_complete = |fleet: &Fleet| {
            fleet
                .nodes
                .iter()
                .all(|node| node.membership.live_count() == size - 1)
        };
        fleet
            .run_until(Duration::from_mins(5), is_complete)
            .expect("not all members became live in all tables");
        let has_no_queued_updates = |fleet: &Fleet| {
            fleet
                .nodes
                .iter()
                .all(|node| node.membership.queued_updates() == 0)
        };
        let second = Duration::from_secs(1);
        fleet
            .run_until_every(second, Duration::from_mins(5), has_no_queued_updates)
            .expect("the queues of updates did not become empty");
        fleet.run_for(Duration::from_secs(30));
        fleet
    }

    /// Delivers the status and profile of all members to each member in a single message.
    fn introduce_all(&mut self) {
        let update = |node: &Node| {
            let own = node.membership.own();
            Update {
                key: member_key(&own.profile.process_id),
                status: own.status,
                reporter: 0,
                profile: Some(own.profile),
            }
        };
        let updates: Vec<Update> = self.nodes.iter().map(update).collect();
        for index in 0..self.nodes.len() {
            let peer = (index + 1) % self.nodes.len();
            let header = Header {
                sender: key(peer),
                incarnation: 1,
                refutation: 0,
                is_leaving: false,
                generation: 0,
            };
            let message = Message {
                header,
                body: Body::Entries,
                updates: updates.clone(),
                items: Vec::new(),
            };
            drop(
                self.nodes[index]
                    .membership
                    .on_message(self.now, address(peer), message),
            );
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `is_done`, checked every 100 ms, for at most `limit`. Returns the elapsed time, or `None` at the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        self.run_until_every(Duration::from_millis(100), limit, is_done)
    }

    /// Runs until `is_done`, checked every `interval`, for at most `limit`. Returns the elapsed time, or `None` at the
    /// limit.
    pub fn run_until_every(
        &mut self,
        interval: Duration,
        limit: Duration,
        is_done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while !is_done(self) {
            if self.now >= started_at + limit {
                return None;
            }
            self.run_for(interval);
        }
        Some(self.now.saturating_sub(started_at))
    }

    /// Stops a process without an announcement.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].is_running = false;
    }

    /// Restarts a process with the next incarnation and an empty member table.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let membership = self.new_membership(self.nodes.len(), index, incarnation);
        let node = &mut self.nodes[index];
        node.membership = membership;
        node.incarnation = incarnation;
        node.is_running = true;
        node.is_fetching = false;
        self.schedule_first_tick(index);
    }

    pub fn leave(&mut self, index: usize) {
        let actions = self.nodes[index].membership.leave(self.now);
        self.apply_actions(index, actions);
    }

    pub fn set_generation(&mut self, index: usize, generation: u64) {
        self.nodes[index].generation = generation;
        self.nodes[index].membership.set_generation(generation);
    }

    pub fn member(&self, observer: usize, subject: usize) -> Option<Member> {
        self.nodes[observer].membership.member(key(subject))
    }

    pub fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        self.member(observer, subject)
            .map(|member| member.status.state)
    }

    /// Returns whether `predicate` holds for the state of `subject` in the tables of all other running members.
    pub fn all_see(&self, subject: usize, predicate: impl Fn(Option<MemberState>) -> bool) -> bool {
        self.running()
            .filter(|observer| *observer != subject)
            .all(|observer| predicate(self.state(observer, subject)))
    }

    /// Returns the indexes of the running members.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].is_running)
    }

    /// Returns the number of ordered pairs of running members in which the first regards the second as dead or does not
    /// know it.
    pub fn wrong_pairs(&self) -> usize {
        let keys: HashSet<MemberKey> = self.running().map(key).collect();
        let others = keys.len() - 1;
        let correct = |observer: usize| {
            let live = self.nodes[observer].membership.live_keys();
            live.iter().filter(|key| keys.contains(key)).count()
        };
        self.running()
            .map(|observer| others - correct(observer))
            .sum()
    }

    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    /// Returns the bytes per second that a member sends and receives on average, `time` after the traffic was reset.
    pub fn mean_bytes_per_second(&self, time: Duration) -> f64 {
        let bytes: usize = self
            .running()
            .map(|index| self.nodes[index].traffic.bytes)
            .sum();
        ratio(bytes, self.running().count()) / time.as_secs_f64()
    }

    /// Returns the messages per second that a member sends and receives on average, `time` after the traffic was reset.
    pub fn mean_messages_per_second(&self, time: Duration) -> f64 {
        let messages: usize = self
            .running()
            .map(|index| self.nodes[index].traffic.messages)
            .sum();
        ratio(messages, self.running().count()) / time.as_secs_f64()
    }

    /// Returns the bytes per second that the busiest member sends and receives, `time` after the traffic was reset.
    pub fn max_bytes_per_second(&self, time: Duration) -> f64 {
        let bytes = self
            .running()
            .map(|index| self.nodes[index].traffic.bytes)
            .max()
            .unwrap_or(0);
        ratio(bytes, 1) / time.as_secs_f64()
    }

    /// Returns the bytes per second of the member and [`TRAFFIC_WINDOW`] with the most traffic.
    pub fn peak_window_bytes_per_second(&self) -> f64 {
        let bytes = self
            .running()
            .map(|index| self.nodes[index].traffic.peak_window_bytes)
            .max()
            .unwrap_or(0);
        ratio(bytes, 1) / TRAFFIC_WINDOW.as_secs_f64()
    }

    /// Returns the sum of a counter over all running members.
    pub fn total(&self, counter: impl Fn(&Membership) -> u64) -> u64 {
        self.running()
            .map(|index| counter(&self.nodes[index].membership))
            .sum()
    }

    fn new_membership(&self, size: usize, index: usize, incarnation: u64) -> Membership {
        let mut membership = Membership::new(
            self.now,
            profile(index),
            incarnation,
            self.params.clone(),
            self.seed,
        );
        membership.set_seeds((0..size).map(address).collect());
        membership
    }

    fn schedule_first_tick(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        let delay = self
            .rng
            .random_range(Duration::ZERO..Duration::from_secs(1));
        self.schedule(
            self.now + delay,
            index,
            SimulationEvent::Tick { incarnation },
        );
    }

    fn schedule(&mut self, at: Duration, index: usize, event: SimulationEvent) {
        self.event_queue
            .push(Reverse((at, self.next_event_id, index)));
        self.events.insert(self.next_event_id, event);
        self.next_event_id += 1;
    }

    /// Processes the next event if it is due by `end`. Returns false if there is none.
    fn step(&mut self, end: Duration) -> bool {
        let Some(Reverse((at, event_id, index))) = self.event_queue.pop() else {
            return false;
        };
        if at > end {
            self.event_queue.push(Reverse((at, event_id, index)));
            return false;
        }
        self.now = at;
        let Some(event) = self.events.remove(&event_id) else {
            return true;
        };
        if self.nodes[index].is_running {
            self.handle_event(index, event);
        }
        true
    }

    fn handle_event(&mut self, index: usize, event: SimulationEvent) {
        let current = self.nodes[index].incarnation;
        match event {
            SimulationEvent::Tick { incarnation } if incarnation == current => {
                let actions = self.nodes[index].membership.tick(self.now);
                self.apply_actions(index, actions);
                let next_at = self.nodes[index].membership.next_tick_at();
                let next_at = next_at.max(self.now + Duration::from_millis(5));
                self.schedule(next_at, index, SimulationEvent::Tick { incarnation });
            }
            SimulationEvent::Datagram { from, message } => {
                self.record_traffic(index, self.codec.datagram_bytes(&message));
                let actions = self.nodes[index]
                    .membership
                    .on_message(self.now, from, *message);
                self.apply_actions(index, actions);
            }
            SimulationEvent::Fetched {
                incarnation,
                generation,
            } if incarnation == current => {
                self.nodes[index].is_fetching = false;
                // Fetches fail with the loss rate of datagrams; the next report of the generation starts another one.
                let is_newer = generation > self.nodes[index].generation;
                if is_newer && !self.rng.random_bool(self.loss) {
                    self.set_generation(index, generation);
                }
            }
            SimulationEvent::Tick { .. } | SimulationEvent::Fetched { .. } => {}
        }
    }

    fn apply_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.transmit(index, to, message),
                Action::Notify(Event::GenerationAhead { generation, .. }) => {
                    self.fetch(index, generation);
                }
                Action::Notify(_) => {}
            }
        }
    }

    fn transmit(&mut self, sender: usize, to: SocketAddr, message: Message) {
        let bytes = self.codec.datagram_bytes(&message);
        assert!(
            bytes <= 1_200,
            "a datagram of {bytes} bytes exceeds the limit"
        );
        self.record_traffic(sender, bytes);
        let receiver = index(to);
        let is_unreachable = self.is_partitioned && region(sender) != region(receiver);
        if is_unreachable || self.rng.random_bool(self.loss) {
            return;
        }
        let base_us = if region(sender) == region(receiver) {
            1_000
        } else {
            30_000
        };
        let delay = Duration::from_micros(base_us + self.rng.random_range(0..1_000));
        let from = address(sender);
        let message = Box::new(message);
        self.schedule(
            self.now + delay,
            receiver,
            SimulationEvent::Datagram { from, message },
        );
    }

    fn fetch(&mut self, index: usize, generation: u64) {
        if self.nodes[index].is_fetching {
            return;
        }
        self.nodes[index].is_fetching = true;
        let incarnation = self.nodes[index].incarnation;
        let delay = self
            .rng
            .random_range(FETCH_TIME_RANGE.0..FETCH_TIME_RANGE.1);
        self.schedule(
            self.now + delay,
            index,
            SimulationEvent::Fetched {
                incarnation,
                generation,
            },
        );
    }

    fn record_traffic(&mut self, index: usize, payload_bytes: usize) {
        let bytes = payload_bytes + HEADER_BYTES;
        let window = self.now.as_millis() / TRAFFIC_WINDOW.as_millis();
        let traffic = &mut self.nodes[index].traffic;
        if traffic.window != window {
            traffic.window = window;
            traffic.window_bytes = 0;
        }
        traffic.bytes += bytes;
        traffic.messages += 1;
        traffic.window_bytes += bytes;
        traffic.peak_window_bytes = traffic.peak_window_bytes.max(traffic.window_bytes);
    }
}

/// Returns the quotient of two counts below 2^32, which `f64` represents exactly. A `whole` of 0 counts as 1.
pub fn ratio(part: usize, whole: usize) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole.max(1)).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(whole)
}
