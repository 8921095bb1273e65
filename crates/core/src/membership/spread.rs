//! Dissemination of claims, items and the configuration generation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::detector::Membership;
use super::item::{Item, ItemError};
use super::member::{MemberKey, MemberState};
use super::message::{Body, Header, MAX_REQUESTED_KEYS, Message, Packer, Update, short_key};
use super::output::{Action, Event};

/// Bytes of updates that a probe may carry while the byte budget is used up.
const SCARCE_PIGGYBACK_BYTES: usize = 160;

/// Time between two reports of the same newer generation, so that a failed fetch is tried again.
const GENERATION_REPEAT: Duration = Duration::from_millis(500);

/// Time between two requests for the same profile.
pub(super) const REQUEST_REPEAT: Duration = Duration::from_millis(500);

impl Membership {
    pub(super) fn run_gossip(&mut self, now: Duration) {
        if now < self.gossip_at {
            return;
        }
        self.gossip_at = now + self.params.gossip_period;
        self.probe_disputed();
        if self.updates.is_empty() && self.item_queue.is_empty() && self.generation_sends_left == 0
        {
            return;
        }
        if !self.budget.is_open() {
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
        let limit_bytes = if self.budget.is_open() {
            usize::MAX
        } else {
            SCARCE_PIGGYBACK_BYTES
        };
        let mut packer = Packer::new(&body, limit_bytes);
        if let Some(update) = first {
            packer.add_update(update);
        }
        let limit = self.transmit_limit();
        self.updates.take(limit, |update| packer.add_update(update));
        self.item_queue.take(limit, |item| packer.add_item(item));
        self.dispatch(to, body, packer);
    }

    /// Sends a datagram with exactly what `packer` holds.
    pub(super) fn dispatch(&mut self, to: SocketAddr, body: Body, packer: Packer) {
        self.budget.charge(packer.wire_bytes());
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
            incarnation: self.standing.incarnation,
            refutation: self.standing.refutation,
            is_leaving: self.standing.state == MemberState::Leaving,
            generation: self.generation,
        }
    }

    /// Returns the claim of this process about itself.
    pub(super) fn own_update(&self, with_profile: bool) -> Update {
        let reporter = match self.standing.state {
            MemberState::Dead => short_key(self.key),
            _ => 0,
        };
        Update {
            key: self.key,
            standing: self.standing,
            reporter,
            profile: with_profile.then(|| Arc::clone(&self.profile)),
        }
    }

    pub(super) fn announce_self(&mut self, with_profile: bool) {
        let update = self.own_update(with_profile);
        self.updates.push(self.key, update);
    }

    /// Count of times that an update is sent: the logarithm of the fleet and a margin for lost datagrams.
    pub(super) fn transmit_limit(&self) -> u32 {
        (self.table.live().len() + 1).ilog2() + 2
    }

    /// Tells a sender that it is held for dead; suspected senders learn it with the next probe.
    pub(super) fn on_gossip(&mut self, from: SocketAddr, tell: Option<&Update>) {
        if tell.is_some_and(|update| update.standing.state == MemberState::Dead)
            && self.budget.is_open()
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
        if keys.is_empty() || !self.budget.is_open() {
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
}
