//! Merging of claims about members into the table.

use std::sync::Arc;
use std::time::Duration;

use super::detector::Membership;
use super::member::{MemberKey, MemberState, MemberStatus, member_key};
use super::message::Update;
use super::output::Event;
use super::suspicion::Suspicion;
use super::table::Record;

/// Most members that wait for a probe because a peer has another view of them.
const MAX_DISPUTES: usize = 256;

/// How claims arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    /// By dissemination: the claim is news.
    Spread,
    /// By anti-entropy: the claim is what the peer holds, possibly for long.
    Exchange,
}

impl Membership {
    /// Applies a claim. In an exchange, claims that are older than the own ones are collected in `newer_here`.
    pub(super) fn apply(
        &mut self,
        now: Duration,
        update: Update,
        mode: Mode,
        newer_here: &mut Vec<MemberKey>,
    ) {
        if update.key == self.key {
            self.refute(&update);
            return;
        }
        let Some(record) = self.table.get(update.key) else {
            self.learn(now, update, mode);
            return;
        };
        let known = record.status;
        if update.status.incarnation > known.incarnation && !is_applicable(&update) {
            self.wanted.push(update.key);
            return;
        }
        if update.status == known {
            self.confirm(&update, mode);
            return;
        }
        if mode == Mode::Exchange && Self::is_disputed(&update, known) {
            self.dispute(update.key);
            return;
        }
        if update.status > known {
            self.adopt(now, update, mode);
        } else if mode == Mode::Exchange {
            newer_here.push(update.key);
        }
    }

    /// Replaces a claim about this process that says it does not work.
    fn refute(&mut self, update: &Update) {
        self.check_superseded(update.status.incarnation);
        let is_current = update.status.incarnation == self.status.incarnation;
        if !is_current || update.status <= self.status || self.status.state == MemberState::Dead {
            return;
        }
        self.status.refutation = update.status.refutation.saturating_add(1);
        self.counters.refutations += 1;
        self.health.worsen(1);
        self.announce_self(false);
    }

    /// Adds a member that was not known.
    fn learn(&mut self, now: Duration, update: Update, mode: Mode) {
        if update.status.state == MemberState::Dead {
            return;
        }
        let Some(profile) = &update.profile else {
            self.wanted.push(update.key);
            return;
        };
        if member_key(&profile.process_id) != update.key || !self.make_room() {
            self.counters.refused += 1;
            return;
        }
        let record = Record {
            profile: Arc::clone(profile),
            status: update.status,
            generation: 0,
            changed_at: now,
            is_departed: false,
            suspicion: suspicion_of(now, &update),
        };
        self.notify(Event::Joined(record.to_member()));
        self.table.insert(update.key, record);
        self.insert_into_probe_order(update.key);
        self.pass_on(update, mode);
    }

    /// Makes room for one more member by forgetting a dead one.
    fn make_room(&mut self) -> bool {
        if self.table.len() < self.params.max_members {
            return true;
        }
        let dead = self.table.iter().find(|(_, record)| record.is_dead());
        let dead = dead.map(|(key, _)| key);
        if let Some(key) = dead {
            self.table.remove(key);
        }
        dead.is_some()
    }

    /// Queues an adopted claim for dissemination. What an exchange brought is old news to most members; the rest learn
    /// it by their own exchanges.
    fn pass_on(&mut self, update: Update, mode: Mode) {
        self.changes += 1;
        match mode {
            Mode::Spread => self.queue_update(update),
            Mode::Exchange => self.updates.remove(update.key),
        }
    }

    /// Counts a suspicion by another member as a confirmation and spreads it anew.
    fn confirm(&mut self, update: &Update, mode: Mode) {
        if update.status.state != MemberState::Suspect || update.reporter == 0 {
            self.hear(update.key, mode);
            return;
        }
        let mut is_new = false;
        self.table.touch(update.key, |record| {
            let suspicion = record.suspicion.as_mut();
            is_new = suspicion.is_some_and(|suspicion| suspicion.confirm(update.reporter));
        });
        if is_new {
            self.queue_update(update.clone());
        } else {
            self.hear(update.key, mode);
        }
    }

    /// Counts a known claim that was spread once more by another member.
    fn hear(&mut self, key: MemberKey, mode: Mode) {
        if mode == Mode::Spread {
            let limit = self.transmit_limit();
            self.updates.heard(key, limit);
        }
    }

    /// Returns whether exchanged tables differ on whether a member works. Neither side is believed then: the member is
    /// probed, so that the end of a partition does not make both sides declare each other dead again.
    fn is_disputed(update: &Update, known: MemberStatus) -> bool {
        let is_same_start = update.status.incarnation == known.incarnation;
        let says_dead = update.status.state == MemberState::Dead;
        let known_dead = known.state == MemberState::Dead;
        is_same_start
            && says_dead != known_dead
            && says_dead == (update.status > known)
            && !update.is_departure()
    }

    fn dispute(&mut self, key: MemberKey) {
        if self.disputes.len() < MAX_DISPUTES && !self.disputes.contains(&key) {
            self.disputes.push_back(key);
        }
    }

    /// Replaces what is known of a member by a greater claim.
    pub(super) fn adopt(&mut self, now: Duration, update: Update, mode: Mode) {
        let is_restart = update.profile.is_some()
            && self
                .table
                .get(update.key)
                .is_some_and(|record| record.status.incarnation < update.status.incarnation);
        let was_dead = self.table.get(update.key).is_some_and(Record::is_dead);
        self.table.change(update.key, |record| {
            record.changed_at = now;
            record.status = update.status;
            record.is_departed = update.is_departure();
            record.suspicion = suspicion_of(now, &update);
            if let (true, Some(profile)) = (is_restart, &update.profile) {
                record.profile = Arc::clone(profile);
                record.generation = 0;
            }
        });
        if was_dead {
            self.insert_into_probe_order(update.key);
        }
        if let Some(member) = self.member(update.key) {
            let event = if is_restart {
                Event::Joined(member)
            } else {
                Event::Changed(member)
            };
            self.notify(event);
        }
        self.pass_on(update, mode);
    }
}

/// Returns whether a claim about a higher incarnation can be stored without asking for the profile.
fn is_applicable(update: &Update) -> bool {
    update.profile.is_some() || update.status.state == MemberState::Dead
}

fn suspicion_of(now: Duration, update: &Update) -> Option<Suspicion> {
    let is_suspect = update.status.state == MemberState::Suspect;
    is_suspect.then(|| Suspicion::new(now, update.reporter))
}
