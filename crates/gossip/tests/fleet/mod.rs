//! Drives many members of the real membership code on a virtual clock with delay and loss of datagrams.

#![allow(dead_code, reason = "each user of this driver needs a part of it")]

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

/// IP and UDP headers of one datagram.
const HEADER_BYTES: usize = 28;

const ZONES: usize = 8;
const MODELS: usize = 13;
const PORT: u16 = 7_946;
/// Time over which the busiest member's traffic is averaged.
const TRAFFIC_WINDOW: Duration = Duration::from_mins(1);

/// Time that one fetch of a configuration from a peer takes.
const FETCH_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(300));

pub struct Node {
    pub membership: Membership,
    pub is_up: bool,
    pub generation: u64,
    pub traffic: Traffic,
    starts: u64,
    is_fetching: bool,
}

/// Bytes and messages of one member, headers included, sent and received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub bytes: usize,
    pub messages: usize,
    window: u128,
    window_bytes: usize,
    pub worst_window_bytes: usize,
}

enum Happening {
    Tick {
        start: u64,
    },
    Datagram {
        from: SocketAddr,
        message: Box<Message>,
    },
    Fetched {
        start: u64,
        generation: u64,
    },
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Whether datagrams between the regions are lost.
    pub is_partitioned: bool,
    params: Params,
    rng: Pcg64Mcg,
    agenda: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    happenings: HashMap<u64, Happening>,
    next_number: u64,
    codec: Codec,
    seed: u64,
}

pub fn address(index: usize) -> SocketAddr {
    let index = u32::try_from(index).unwrap();
    SocketAddr::new(Ipv4Addr::from(0x0a00_0000 + index).into(), PORT)
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
    /// Creates a fleet whose members all start within the first second and know `seeds` addresses each.
    pub fn start(size: usize, seed: u64, params: &Params) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            loss: 0.0,
            is_partitioned: false,
            params: params.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            agenda: BinaryHeap::new(),
            happenings: HashMap::new(),
            next_number: 0,
            codec: Codec::new(b"fleet"),
            seed,
        };
        for index in 0..size {
            let membership = fleet.new_membership(size, index, 1);
            fleet.nodes.push(Node {
                membership,
                is_up: true,
                generation: 0,
                traffic: Traffic::default(),
                starts: 1,
                is_fetching: false,
            });
            fleet.schedule_first_tick(index);
        }
        fleet
    }

    /// Starts a fleet whose members know each other from the start, and runs it until it is quiet.
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
            .expect("the fleet did not come together");
        let is_quiet = |fleet: &Fleet| {
            fleet
                .nodes
                .iter()
                .all(|node| node.membership.queued_updates() == 0)
        };
        let second = Duration::from_secs(1);
        fleet
            .run_until_every(second, Duration::from_mins(5), is_quiet)
            .expect("the fleet did not become quiet");
        fleet.run_for(Duration::from_secs(30));
        fleet
    }

    /// Gives every member the claims of all members in one exchange.
    fn introduce_all(&mut self) {
        let claim = |node: &Node| {
            let own = node.membership.own();
            Update {
                key: member_key(&own.profile.process_id),
                status: own.status,
                reporter: 0,
                profile: Some(own.profile),
            }
        };
        let updates: Vec<Update> = self.nodes.iter().map(claim).collect();
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

    /// Runs until `is_done`, looked at every 100 ms, for at most `limit`. Returns the time that it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        self.run_until_every(Duration::from_millis(100), limit, is_done)
    }

    /// Runs until `is_done`, looked at every `pause`, for at most `limit`. Returns the time that it took.
    pub fn run_until_every(
        &mut self,
        pause: Duration,
        limit: Duration,
        is_done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while !is_done(self) {
            if self.now >= started_at + limit {
                return None;
            }
            self.run_for(pause);
        }
        Some(self.now.saturating_sub(started_at))
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].is_up = false;
    }

    /// Starts a process again with a higher incarnation and an empty table.
    pub fn restart(&mut self, index: usize) {
        let starts = self.nodes[index].starts + 1;
        let membership = self.new_membership(self.nodes.len(), index, starts);
        let node = &mut self.nodes[index];
        node.membership = membership;
        node.starts = starts;
        node.is_up = true;
        node.is_fetching = false;
        self.schedule_first_tick(index);
    }

    pub fn leave(&mut self, index: usize) {
        let actions = self.nodes[index].membership.leave(self.now);
        self.carry_out(index, actions);
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

    /// Returns whether `holds` for all members that are up, other than `subject` itself, looking at `subject`.
    pub fn all_see(&self, subject: usize, holds: impl Fn(Option<MemberState>) -> bool) -> bool {
        self.up()
            .filter(|observer| *observer != subject)
            .all(|observer| holds(self.state(observer, subject)))
    }

    pub fn up(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].is_up)
    }

    /// Count of pairs in which a member that is up holds another member that is up for dead or does not know it.
    pub fn wrong_pairs(&self) -> usize {
        let keys: HashSet<MemberKey> = self.up().map(key).collect();
        let others = keys.len() - 1;
        let right = |observer: usize| {
            let live = self.nodes[observer].membership.live_keys();
            live.iter().filter(|key| keys.contains(key)).count()
        };
        self.up().map(|observer| others - right(observer)).sum()
    }

    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    /// Sent and received bytes per second of the mean member since the traffic was reset `time` ago.
    pub fn mean_bytes_per_second(&self, time: Duration) -> f64 {
        let bytes: usize = self.up().map(|index| self.nodes[index].traffic.bytes).sum();
        ratio(bytes, self.up().count()) / time.as_secs_f64()
    }

    /// Sent and received messages per second of the mean member since the traffic was reset `time` ago.
    pub fn mean_messages_per_second(&self, time: Duration) -> f64 {
        let messages: usize = self
            .up()
            .map(|index| self.nodes[index].traffic.messages)
            .sum();
        ratio(messages, self.up().count()) / time.as_secs_f64()
    }

    /// Sent and received bytes per second of the busiest member since the traffic was reset `time` ago.
    pub fn highest_bytes_per_second(&self, time: Duration) -> f64 {
        let bytes = self
            .up()
            .map(|index| self.nodes[index].traffic.bytes)
            .max()
            .unwrap_or(0);
        ratio(bytes, 1) / time.as_secs_f64()
    }

    /// Sent and received bytes per second of the busiest member in its busiest minute.
    pub fn worst_window_bytes_per_second(&self) -> f64 {
        let bytes = self
            .up()
            .map(|index| self.nodes[index].traffic.worst_window_bytes)
            .max()
            .unwrap_or(0);
        ratio(bytes, 1) / TRAFFIC_WINDOW.as_secs_f64()
    }

    /// Sum of a counter over all members that are up.
    pub fn total(&self, counter: impl Fn(&Membership) -> u64) -> u64 {
        self.up()
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
        let start = self.nodes[index].starts;
        let delay = self
            .rng
            .random_range(Duration::ZERO..Duration::from_secs(1));
        self.schedule(self.now + delay, index, Happening::Tick { start });
    }

    fn schedule(&mut self, at: Duration, index: usize, happening: Happening) {
        self.agenda.push(Reverse((at, self.next_number, index)));
        self.happenings.insert(self.next_number, happening);
        self.next_number += 1;
    }

    fn step(&mut self, end: Duration) -> bool {
        let Some(Reverse((at, number, index))) = self.agenda.pop() else {
            return false;
        };
        if at > end {
            self.agenda.push(Reverse((at, number, index)));
            return false;
        }
        self.now = at;
        let Some(happening) = self.happenings.remove(&number) else {
            return true;
        };
        if self.nodes[index].is_up {
            self.happen(index, happening);
        }
        true
    }

    fn happen(&mut self, index: usize, happening: Happening) {
        let starts = self.nodes[index].starts;
        match happening {
            Happening::Tick { start } if start == starts => {
                let actions = self.nodes[index].membership.tick(self.now);
                self.carry_out(index, actions);
                let next_at = self.nodes[index].membership.next_tick_at();
                let next_at = next_at.max(self.now + Duration::from_millis(5));
                self.schedule(next_at, index, Happening::Tick { start });
            }
            Happening::Datagram { from, message } => {
                self.count(index, self.codec.datagram_bytes(&message));
                let actions = self.nodes[index]
                    .membership
                    .on_message(self.now, from, *message);
                self.carry_out(index, actions);
            }
            Happening::Fetched { start, generation } if start == starts => {
                self.nodes[index].is_fetching = false;
                // A fetch fails about as often as a datagram; the next report tries again.
                let is_better = generation > self.nodes[index].generation;
                if is_better && !self.rng.random_bool(self.loss) {
                    self.set_generation(index, generation);
                }
            }
            Happening::Tick { .. } | Happening::Fetched { .. } => {}
        }
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
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
            "a datagram of {bytes} bytes exceeds the bound"
        );
        self.count(sender, bytes);
        let receiver = index(to);
        let is_cut = self.is_partitioned && region(sender) != region(receiver);
        if is_cut || self.rng.random_bool(self.loss) {
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
            Happening::Datagram { from, message },
        );
    }

    fn fetch(&mut self, index: usize, generation: u64) {
        if self.nodes[index].is_fetching {
            return;
        }
        self.nodes[index].is_fetching = true;
        let start = self.nodes[index].starts;
        let delay = self.rng.random_range(FETCH_RANGE.0..FETCH_RANGE.1);
        self.schedule(
            self.now + delay,
            index,
            Happening::Fetched { start, generation },
        );
    }

    fn count(&mut self, index: usize, payload_bytes: usize) {
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
        traffic.worst_window_bytes = traffic.worst_window_bytes.max(traffic.window_bytes);
    }
}

/// Divides two counts that are far below the precision of the result.
pub fn ratio(part: usize, whole: usize) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole.max(1)).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(whole)
}
