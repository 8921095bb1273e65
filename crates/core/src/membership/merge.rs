//! Merges claims about members into the table.

use std::sync::Arc;
use std::time::Duration;

use super::detector::Membership;
use super::member::{MemberKey, MemberState, MemberStatus, member_key};
use super::message::Update;
use super::output::Event;
use super::suspicion::Suspicion;
use super::table::Record;

/// Maximum number of members queued for a probe because a peer disagrees about whether they are dead.
const MAX_LIVENESS_CONFLICTS: usize = 256;

/// Way in which a claim was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// Dissemination: the claim is recent.
    Dissemination,
    /// Anti-entropy: the claim is a record of the peer's table and may be old.
    AntiEntropy,
}

impl Membership {
    /// Applies a claim. If a claim from anti-entropy is older than the table's, its key is added to `outdated_at_peer`.
    pub(super) fn apply(
        &mut self,
        now: Duration,
        update: Update,
        source: Source,
        outdated_at_peer: &mut Vec<MemberKey>,
    ) {
        if update.key == self.key {
            self.refute(&update);
            return;
        }
        let Some(record) = self.table.get(update.key) else {
            self.add_member(now, update, source);
            return;
        };
        let known = record.status;
        if update.status.incarnation > known.incarnation && !is_applicable(&update) {
            self.missing_profiles.push(update.key);
            return;
        }
        if update.status == known {
            self.confirm(&update, source);
            return;
        }
        if source == Source::AntiEntropy && Self::is_liveness_conflict(&update, known) {
            self.queue_conflict(update.key);
            return;
        }
        if update.status > known {
            self.adopt(now, update, source);
        } else if source == Source::AntiEntropy {
            outdated_at_peer.push(update.key);
        }
    }

    /// Refutes a claim that this process is suspected, leaving or dead by raising its refutation number.
    fn refute(&mut self, update: &Update) {
        self.check_superseded(update.status.incarnation);
        let is_current = update.status.incarnation == self.status.incarnation;
        if !is_current || update.status <= self.status || self.status.state == MemberState::Dead {
            return;
        }
        self.status.refutation = update.status.refutation.saturating_add(1);
        self.counters.refutations += 1;
        self.health.record_failures(1);
        self.announce_self(false);
    }

    /// Adds an unknown member, or requests its profile.
    fn add_member(&mut self, now: Duration, update: Update, source: Source) {
        if update.status.state == MemberState::Dead {
            return;
        }
        let Some(profile) = &update.profile else {
            self.missing_profiles.push(update.key);
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
            suspicion: new_suspicion(now, &update),
        };
        self.notify(Event::Joined(record.to_member()));
        self.table.insert(update.key, record);
        self.insert_into_probe_order(update.key);
        self.queue_adopted(update, source);
    }

    /// Returns whether the table has room for one more member, after removing a dead one if it is full.
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

    /// Queues an adopted claim for dissemination, unless it came from anti-entropy: most members know such a claim
    /// already, and the others receive it by their own exchanges.
    fn queue_adopted(&mut self, update: Update, source: Source) {
        self.changes += 1;
        match source {
            Source::Dissemination => self.queue_update(update),
            Source::AntiEntropy => self.updates.remove(update.key),
        }
    }

    /// Records a suspicion by another member as a confirmation, which is disseminated if it is new.
    fn confirm(&mut self, update: &Update, source: Source) {
        if update.status.state != MemberState::Suspect || update.reporter == 0 {
            self.record_duplicate(update.key, source);
            return;
        }
        let mut is_new = false;
        self.table.update_unindexed(update.key, |record| {
            let suspicion = record.suspicion.as_mut();
            is_new = suspicion.is_some_and(|suspicion| suspicion.confirm(update.reporter));
        });
        if is_new {
            self.queue_update(update.clone());
        } else {
            self.record_duplicate(update.key, source);
        }
    }

    /// Records a claim that was received again by dissemination.
    fn record_duplicate(&mut self, key: MemberKey, source: Source) {
        if source == Source::Dissemination {
            let limit = self.transmit_limit();
            self.updates.record_duplicate(key, limit);
        }
    }

    /// Returns whether the tables of an exchange differ on whether a member is dead. In that case neither claim is
    /// adopted and the member is probed instead; otherwise both sides would declare each other dead again at the end of
    /// a partition.
    fn is_liveness_conflict(update: &Update, known: MemberStatus) -> bool {
        let is_same_incarnation = update.status.incarnation == known.incarnation;
        let claims_dead = update.status.state == MemberState::Dead;
        let is_known_dead = known.state == MemberState::Dead;
        is_same_incarnation
            && claims_dead != is_known_dead
            && claims_dead == (update.status > known)
            && !update.is_departure()
    }

    fn queue_conflict(&mut self, key: MemberKey) {
        if self.liveness_conflicts.len() < MAX_LIVENESS_CONFLICTS
            && !self.liveness_conflicts.contains(&key)
        {
            self.liveness_conflicts.push_back(key);
        }
    }

    /// Replaces the status of a member by a greater one.
    pub(super) fn adopt(&mut self, now: Duration, update: Update, source: Source) {
        let is_restart = update.profile.is_some()
            && self
                .table
                .get(update.key)
                .is_some_and(|record| record.status.incarnation < update.status.incarnation);
        let was_dead = self.table.get(update.key).is_some_and(Record::is_dead);
        self.table.update(update.key, |record| {
            record.changed_at = now;
            record.status = update.status;
            record.is_departed = update.is_departure();
            record.suspicion = new_suspicion(now, &update);
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
        self.queue_adopted(update, source);
    }
}

/// Returns whether a claim about a higher incarnation can be applied without requesting the profile first.
fn is_applicable(update: &Update) -> bool {
    update.profile.is_some() || update.status.state == MemberState::Dead
}

fn new_suspicion(now: Duration, update: &Update) -> Option<Suspicion> {
    let is_suspect = update.status.state == MemberState::Suspect;
    is_suspect.then(|| Suspicion::new(now, update.reporter))
}
