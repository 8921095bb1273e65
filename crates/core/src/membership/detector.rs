//! State of the failure detector, and its handling of time and received messages.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::budget::ByteBudget;
use super::dissemination::PROFILE_REQUEST_INTERVAL;
use super::health::LocalHealth;
use super::item::{Item, ItemError, ItemStore};
use super::member::{Member, MemberKey, MemberState, MemberStatus, Profile, member_key};
use super::merge::Source;
use super::message::{Body, Header, Message, Update};
use super::output::{Action, Counters, Event, StateDump};
use super::params::Params;
use super::probe::{Probe, Relay};
use super::queue::{DisseminationQueue, Urgency};
use super::table::{Record, Table};
use crate::ids::{Generation, Incarnation};

/// Interval at which expired members and items are removed.
const PURGE_PERIOD: Duration = Duration::from_secs(5);

/// Failure detector and member table of one process.
#[derive(Debug)]
pub struct Membership {
    pub(super) params: Params,
    pub(super) key: MemberKey,
    pub(super) profile: Arc<Profile>,
    pub(super) status: MemberStatus,
    pub(super) generation: Generation,
    pub(super) rng: Pcg64Mcg,
    pub(super) table: Table,
    pub(super) updates: DisseminationQueue<Update>,
    pub(super) health: LocalHealth,
    pub(super) gossip_budget: ByteBudget,
    pub(super) sync_budget: ByteBudget,
    pub(super) counters: Counters,
    pub(super) probe: Option<Probe>,
    pub(super) probe_order: Vec<MemberKey>,
    pub(super) next_probe_at: Duration,
    pub(super) relays: BTreeMap<u64, Relay>,
    pub(super) liveness_conflicts: VecDeque<MemberKey>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) join_at: Duration,
    pub(super) join_attempts: u32,
    pub(super) sync_at: Duration,
    pub(super) reconnect_at: Duration,
    /// Actions to return from the current call.
    pub(super) actions: Vec<Action>,
    /// Members for which the current datagram contained a claim but whose profile is not known.
    pub(super) missing_profiles: Vec<MemberKey>,
    pub(super) items: ItemStore,
    pub(super) item_queue: DisseminationQueue<Item>,
    /// Number of members that the current datagram added or changed.
    pub(super) changes: usize,
    pub(super) requested_at: BTreeMap<MemberKey, Duration>,
    pub(super) generation_sends_left: u32,
    pub(super) reported_generation: (Generation, Duration),
    pub(super) gossip_at: Duration,
    purge_at: Duration,
    is_superseded: bool,
}

impl Membership {
    /// Creates the detector of a process that does not know any other member yet. `seed` initializes the random number
    /// generator.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::membership::{Membership, Params, Profile, Role};
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let profile = Profile {
    ///     process_id: "entry-1".into(),
    ///     role: Role::Entry,
    ///     pool: String::new(),
    ///     availability_zone: "a".into(),
    ///     region: "north".into(),
    ///     link_address: address,
    ///     gossip_address: address,
    /// };
    /// let mut membership = Membership::new(Duration::ZERO, profile, 1, Params::default(), 42);
    /// membership.set_seeds(vec!["127.0.0.1:7001".parse().unwrap()]);
    /// let actions = membership.tick(Duration::from_secs(1));
    /// assert_eq!(actions.len(), 1);
    /// ```
    #[must_use]
    pub fn new(
        now: Duration,
        profile: Profile,
        incarnation: Incarnation,
        params: Params,
        seed: u64,
    ) -> Self {
        let key = member_key(&profile.process_id);
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ key ^ incarnation);
        let status = MemberStatus {
            incarnation,
            refutation: 0,
            state: MemberState::Alive,
        };
        let mut membership = Self {
            key,
            profile: Arc::new(profile),
            status,
            generation: 0,
            table: Table::new(),
            updates: DisseminationQueue::new(),
            health: LocalHealth::default(),
            gossip_budget: ByteBudget::new(
                params.gossip_bytes_per_second,
                params.gossip_burst_bytes,
            ),
            sync_budget: ByteBudget::new(params.sync_bytes_per_second, params.sync_burst_bytes),
            counters: Counters::default(),
            probe: None,
            probe_order: Vec::new(),
            next_probe_at: now + jitter(&mut rng, params.probe_period),
            relays: BTreeMap::new(),
            liveness_conflicts: VecDeque::new(),
            seeds: Vec::new(),
            join_at: now + rng.random_range(Duration::ZERO..params.probe_period / 2),
            join_attempts: 0,
            sync_at: now + jitter(&mut rng, params.sync_period),
            reconnect_at: now + jitter(&mut rng, params.reconnect_period),
            actions: Vec::new(),
            missing_profiles: Vec::new(),
            items: ItemStore::default(),
            item_queue: DisseminationQueue::new(),
            changes: 0,
            requested_at: BTreeMap::new(),
            generation_sends_left: 0,
            reported_generation: (0, now),
            gossip_at: now + rng.random_range(Duration::ZERO..params.gossip_period),
            purge_at: now + PURGE_PERIOD,
            is_superseded: false,
            rng,
            params,
        };
        membership.refill(now);
        membership.announce_self(true);
        membership
    }

    /// Replaces the seeds, which are gossip addresses from the settings and the VM list.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets the configuration generation that this process uses. A value below the current one is ignored.
    pub fn set_generation(&mut self, generation: Generation) {
        if generation > self.generation {
            self.generation = generation;
            self.generation_sends_left = self.transmit_limit();
        }
    }

    /// Announces that this process is leaving and accepts no new work. It remains a member until
    /// [`depart`](Self::depart).
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.announce_state(now, MemberState::Leaving)
    }

    /// Announces that this process stops; other members then consider it dead.
    pub fn depart(&mut self, now: Duration) -> Vec<Action> {
        self.announce_state(now, MemberState::Dead)
    }

    /// Disseminates an opaque item to all members.
    ///
    /// # Errors
    ///
    /// Fails if the item is too long or not newer than the stored one, or if too many items are stored.
    pub fn publish(&mut self, now: Duration, item: Item) -> Result<(), ItemError> {
        if item.value.len() > self.params.item_bytes {
            return Err(ItemError::TooLong);
        }
        let expires_at = now + self.params.item_retention;
        self.items
            .put(item.clone(), expires_at, self.params.max_items)?;
        self.item_queue.push(item.key, item, Urgency::Deferrable);
        Ok(())
    }

    /// Performs all work that is due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.refill(now);
        self.join(now);
        self.run_probe(now);
        self.expire_relays(now);
        self.expire_suspicions(now);
        self.run_gossip(now);
        self.run_sync(now);
        self.run_reconnect(now);
        self.purge(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the time by which [`tick`](Self::tick) must be called next.
    #[must_use]
    pub fn next_tick_at(&self) -> Duration {
        let probe_at = self
            .probe
            .as_ref()
            .map_or(self.next_probe_at, |probe| probe.next_at);
        self.gossip_at.min(probe_at)
    }

    /// Processes a datagram that passed authentication; `from` is its source address.
    pub fn on_message(&mut self, now: Duration, from: SocketAddr, message: Message) -> Vec<Action> {
        self.refill(now);
        self.counters.received_messages += 1;
        let header = message.header;
        if header.sender == self.key {
            self.check_superseded(header.incarnation);
            return std::mem::take(&mut self.actions);
        }
        let source = match message.body {
            Body::Entries => Source::AntiEntropy,
            _ => Source::Dissemination,
        };
        self.changes = 0;
        let mut outdated_at_peer = Vec::new();
        for update in message.updates {
            self.apply(now, update, source, &mut outdated_at_peer);
        }
        self.on_header(now, header);
        for item in message.items {
            self.on_item(now, item);
        }
        let notice = self.notice_for_sender(header);
        self.on_body(now, from, header.sender, message.body, notice.as_ref());
        self.send_newer(from, &outdated_at_peer);
        self.request_missing_profiles(now, from);
        std::mem::take(&mut self.actions)
    }

    /// Returns this process as a member, as its peers see it.
    #[must_use]
    pub fn own(&self) -> Member {
        Member {
            profile: Arc::clone(&self.profile),
            status: self.status,
            generation: self.generation,
        }
    }

    /// Returns all other known members, including dead ones, in ascending order of key.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.table.iter().map(|(_, record)| record.to_member())
    }

    /// Returns the member with this key, or `None` if it is unknown or is this process.
    #[must_use]
    pub fn member(&self, key: MemberKey) -> Option<Member> {
        self.table.get(key).map(Record::to_member)
    }

    /// Returns the keys of all other members that are not dead, in unspecified order.
    #[must_use]
    pub fn live_keys(&self) -> &[MemberKey] {
        self.table.live()
    }

    /// Returns the number of other members that are not dead.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.table.live().len()
    }

    /// Returns the number of updates that are queued for dissemination.
    #[must_use]
    pub fn queued_updates(&self) -> usize {
        self.updates.len()
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns a snapshot of the state, for operators.
    #[must_use]
    pub fn dump(&self) -> StateDump {
        StateDump {
            own: self.own(),
            members: self.members().collect(),
            health_factor: self.health.factor(),
            queued_updates: self.updates.len(),
            items: self.items.len(),
            counters: self.counters,
        }
    }

    /// Returns whether at least `numerator / denominator` of the known members, and more than one, are failing.
    pub(super) fn failing_at_least(&self, numerator: usize, denominator: usize) -> bool {
        let failing = self.table.failing();
        failing > 1 && failing * denominator >= self.table.len() * numerator
    }

    /// Returns the shortest suspicion timeout. It grows with the logarithm of the fleet's size, because a refutation
    /// needs that many rounds. It is also longer while many members seem to fail, because the network is then the more
    /// likely cause.
    pub(super) fn min_suspicion_timeout(&self) -> Duration {
        let periods = (self.table.live().len() + 1).ilog2();
        let slowdown = if self.failing_at_least(2, 3) {
            8
        } else if self.failing_at_least(1, 3) {
            4
        } else {
            1
        };
        self.params.probe_period * periods.max(self.params.suspicion_min_periods) * slowdown
    }

    pub(super) fn notify(&mut self, event: Event) {
        self.actions.push(Action::Notify(event));
    }

    fn refill(&mut self, now: Duration) {
        self.gossip_budget.refill(now);
        self.sync_budget.refill(now);
    }

    fn announce_state(&mut self, now: Duration, state: MemberState) -> Vec<Action> {
        self.refill(now);
        if self.status.state < state {
            self.status.state = state;
            self.status.refutation += 1;
            self.announce_self(false);
            let targets = self
                .table
                .pick(&mut self.rng, self.params.leave_fanout, None);
            self.gossip_to(&targets);
        }
        std::mem::take(&mut self.actions)
    }

    pub(super) fn check_superseded(&mut self, incarnation: Incarnation) {
        if incarnation > self.status.incarnation && !self.is_superseded {
            self.is_superseded = true;
            self.notify(Event::Superseded { incarnation });
        }
    }

    /// Applies the sender's claim about itself, which the header of every datagram contains.
    fn on_header(&mut self, now: Duration, header: Header) {
        let state = if header.is_leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        let status = MemberStatus {
            incarnation: header.incarnation,
            refutation: header.refutation,
            state,
        };
        let update = Update {
            key: header.sender,
            status,
            reporter: 0,
            profile: None,
        };
        self.apply(now, update, Source::Dissemination, &mut Vec::new());
        self.table.update_unindexed(header.sender, |record| {
            record.generation = record.generation.max(header.generation);
        });
        self.report_generation(now, header);
    }

    /// Returns a claim about which the sender must be notified at once: a suspicion or death that it has not refuted
    /// yet, or a newer process with its id. A replaced process receives no other datagrams, because the address of its
    /// id has changed.
    fn notice_for_sender(&self, header: Header) -> Option<Update> {
        let record = self.table.get(header.sender)?;
        let is_suspected_or_dead = matches!(
            record.status.state,
            MemberState::Suspect | MemberState::Dead
        );
        let is_current = record.status.incarnation == header.incarnation;
        let is_replaced = record.status.incarnation > header.incarnation;
        let needs_notice = is_replaced || (is_suspected_or_dead && is_current);
        needs_notice.then(|| record.to_update(header.sender, false))
    }

    fn on_body(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sender: MemberKey,
        body: Body,
        notice: Option<&Update>,
    ) {
        match body {
            Body::Ping { probe, target } => self.on_ping(from, probe, target, notice),
            Body::Ack { probe } => self.on_ack(probe),
            Body::Nack { probe } => self.on_nack(probe),
            Body::PingRequest {
                probe,
                target,
                address,
            } => self.on_ping_request(now, from, probe, target, address),
            Body::Sync { digests } => self.on_sync(from, sender, &digests),
            Body::Request { keys } => self.on_request(from, &keys),
            Body::Entries => self.on_entries(now, self.changes),
            Body::Gossip => self.on_gossip(from, notice),
        }
    }

    fn expire_suspicions(&mut self, now: Duration) {
        let min = self.min_suspicion_timeout();
        let ratio = self.params.suspicion_max_ratio;
        let is_expired = |record: &Record| {
            let suspicion = record.suspicion.as_ref();
            suspicion.is_some_and(|suspicion| now >= suspicion.deadline(min, ratio))
        };
        let expired = self
            .table
            .with_suspicion()
            .filter(|(_, record)| is_expired(record));
        let expired: Vec<MemberKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            self.declare_dead(now, key);
        }
    }

    fn declare_dead(&mut self, now: Duration, key: MemberKey) {
        let Some(record) = self.table.get(key) else {
            return;
        };
        let mut update = record.to_update(key, false);
        update.status.state = MemberState::Dead;
        self.counters.declared_dead += 1;
        self.adopt(now, update, Source::Dissemination);
        // A process that reaches almost no other member is more likely to be partitioned itself, so it must not
        // disseminate its view.
        if self.failing_at_least(2, 3) {
            self.updates.remove(key);
        }
    }

    fn purge(&mut self, now: Duration) {
        if now < self.purge_at {
            return;
        }
        self.purge_at = now + PURGE_PERIOD;
        self.items.expire(now);
        self.requested_at
            .retain(|_, at| now < *at + PROFILE_REQUEST_INTERVAL);
        let retention = self.params.dead_retention;
        let old: Vec<MemberKey> = self
            .table
            .iter()
            .filter(|(_, record)| record.is_dead() && now >= record.changed_at + retention)
            .map(|(key, _)| key)
            .collect();
        for key in old {
            if let Some(record) = self.table.get(key) {
                let profile = Arc::clone(&record.profile);
                self.notify(Event::Removed(profile));
            }
            self.table.remove(key);
            self.updates.remove(key);
        }
    }
}

/// Returns a random time from half to one and a half times `mean`.
pub(super) fn jitter(rng: &mut Pcg64Mcg, mean: Duration) -> Duration {
    rng.random_range(mean / 2..=mean + mean / 2)
}
