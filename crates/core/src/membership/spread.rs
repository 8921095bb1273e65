//! Dissemination of claims, items and the configuration generation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::detector::Membership;
use super::item::{Item, ItemError};
use super::member::{MemberKey, MemberState};
use super::message::{Body, Header, MAX_REQUESTED_KEYS, Message, Packer, Update, short_key};
use super::output::{Action, Event};
use super::queue::Class;

/// Bytes of updates that a probe may carry while the byte budget is used up.
const SCARCE_PIGGYBACK_BYTES: usize = 160;

/// Time between two reports of the same newer generation, so that a failed fetch is tried again.
const GENERATION_REPEAT: Duration = Duration::from_millis(500);

/// Time between two requests for the same profile.
pub(super) const REQUEST_REPEAT: Duration = Duration::from_millis(500);

/// Count of waiting updates up to which each is sent the full number of times.
const UNCROWDED_UPDATES: u32 = 32;

/// Count of times that an update is sent however many wait.
const MIN_TRANSMISSIONS: u32 = 3;

impl Membership {
    pub(super) fn run_gossip(&mut self, now: Duration) {
        if now < self.gossip_at {
            return;
        }
        self.gossip_at = now + self.params.gossip_period;
        self.probe_disputed();
        let class = self.sendable_class();
        if !self.updates.has(class)
            && !self.item_queue.has(class)
            && self.generation_sends_left == 0
        {
            return;
        }
        if !self.spread_budget.is_open() {
            self.counters.throttled += 1;
            return;
        }
        let targets = self
            .table
            .pick(&mut self.rng, self.params.gossip_fanout, None);
        self.gossip_to(&targets);
    }

    pub(super) fn gossip_to(&mut self, targets: &[MemberKey]) {
        for target in targets {
            let Some(record) = self.table.get(*target) else {
                continue;
            };
            let to = record.profile.gossip_address;
            self.generation_sends_left = self.generation_sends_left.saturating_sub(1);
            self.send(to, Body::Gossip, None);
        }
    }

    /// Sends a datagram filled with `first` and with queued updates and items.
    pub(super) fn send(&mut self, to: SocketAddr, body: Body, first: Option<&Update>) {
        let limit_bytes = if self.spread_budget.is_open() {
            usize::MAX
        } else {
            SCARCE_PIGGYBACK_BYTES
        };
        let mut packer = Packer::new(&body, limit_bytes);
        if let Some(update) = first {
            packer.add_update(update);
        }
        let limit = self.transmit_limit();
        let class = self.sendable_class();
        self.updates
            .take(class, limit, |update| packer.add_update(update));
        self.item_queue
            .take(class, limit, |item| packer.add_item(item));
        self.dispatch(to, body, packer);
    }

    /// Sends a datagram with exactly what `packer` holds.
    pub(super) fn dispatch(&mut self, to: SocketAddr, body: Body, packer: Packer) {
        let budget = match body {
            Body::Sync { .. } | Body::Entries | Body::Request { .. } => &mut self.exchange_budget,
            _ => &mut self.spread_budget,
        };
        budget.charge(packer.wire_bytes());
        self.counters.sent_messages += 1;
        let message = Message {
            header: self.header(),
            body,
            updates: packer.updates,
            items: packer.items,
        };
        self.out.push(Action::Send { to, message });
    }

    pub(super) fn header(&self) -> Header {
        Header {
            sender: self.key,
            incarnation: self.status.incarnation,
            refutation: self.status.refutation,
            is_leaving: self.status.state == MemberState::Leaving,
            generation: self.generation,
        }
    }

    /// Returns the claim of this process about itself.
    pub(super) fn own_update(&self, with_profile: bool) -> Update {
        let reporter = match self.status.state {
            MemberState::Dead => short_key(self.key),
            _ => 0,
        };
        Update {
            key: self.key,
            status: self.status,
            reporter,
            profile: with_profile.then(|| Arc::clone(&self.profile)),
        }
    }

    pub(super) fn announce_self(&mut self, with_profile: bool) {
        let update = self.own_update(with_profile);
        self.queue_update(update);
    }

    /// Count of times that each member sends an update. With `ln(n)` arrivals per member one member in `n` is missed;
    /// twice the binary logarithm leaves a wide margin with 20% of the datagrams lost. While more updates wait than fit
    /// into a datagram, each is sent less often, and anti-entropy covers the rest.
    pub(super) fn transmit_limit(&self) -> u32 {
        let limit = 2 * ((self.table.live().len() + 1).ilog2() + 2);
        let crowd = u32::try_from(self.updates.len()).unwrap_or(u32::MAX) / UNCROWDED_UPDATES;
        (limit / crowd.max(1)).max(MIN_TRANSMISSIONS)
    }

    /// Tells a sender that it is held for dead; suspected senders learn it with the next probe.
    pub(super) fn on_gossip(&mut self, from: SocketAddr, tell: Option<&Update>) {
        if tell.is_some_and(|update| update.status.state == MemberState::Dead)
            && self.spread_budget.is_open()
        {
            self.send(from, Body::Gossip, tell);
        }
    }

    pub(super) fn request_wanted(&mut self, now: Duration, from: SocketAddr) {
        let mut keys = std::mem::take(&mut self.wanted);
        keys.sort_unstable();
        keys.dedup();
        keys.retain(|key| {
            let requested_at = self.requested_at.get(key);
            requested_at.is_none_or(|at| now >= *at + REQUEST_REPEAT)
        });
        keys.truncate(MAX_REQUESTED_KEYS);
        if keys.is_empty() || !self.exchange_budget.is_open() {
            return;
        }
        for key in &keys {
            self.requested_at.insert(*key, now);
        }
        self.send(from, Body::Request { keys }, None);
    }

    pub(super) fn report_generation(&mut self, now: Duration, header: Header) {
        if header.generation <= self.generation {
            return;
        }
        let (reported, reported_at) = self.generation_reported;
        if header.generation <= reported && now < reported_at + GENERATION_REPEAT {
            return;
        }
        let Some(record) = self.table.get(header.sender) else {
            return;
        };
        let peer = Arc::clone(&record.profile);
        self.generation_reported = (header.generation, now);
        self.notify(Event::GenerationAhead {
            generation: header.generation,
            peer,
        });
    }

    pub(super) fn on_item(&mut self, now: Duration, item: Item) {
        match self.publish(now, item.clone()) {
            Ok(()) => self.notify(Event::Item(item)),
            Err(ItemError::Outdated) => {}
            Err(ItemError::TooLong | ItemError::Full) => self.counters.refused += 1,
        }
    }

    /// Queues a claim for dissemination. Claims with a profile are joins; they are long, and anti-entropy brings them
    /// too, so that they do not hold up the others.
    pub(super) fn queue_update(&mut self, update: Update) {
        let class = match update.profile {
            Some(_) => Class::Patient,
            None => Class::Urgent,
        };
        self.updates.push(update.key, update, class);
    }

    fn sendable_class(&self) -> Class {
        if self.spread_budget.is_ample() {
            Class::Patient
        } else {
            Class::Urgent
        }
    }
}
