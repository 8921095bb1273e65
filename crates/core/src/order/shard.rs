//! Pages of one shard: lookup, staging of changes and their outcomes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{BodyDigest, ClaimId, OrderKey, Owner, Page, Record, RecordState, WriteId};

/// Number of a page in its shard, in the order in which pages are opened.
pub type PageNumber = u32;

/// Revision of a page in the key-value service; 0 if the page does not exist.
pub type Revision = u64;

/// Number of the page that is emptied instead of deleted when it expires.
///
/// Without it, a sidecar that was paused for longer than the retention could create page 0 again after all pages it knew
/// had been deleted, and claim a key that another sidecar has claimed.
const ANCHOR_PAGE: PageNumber = 0;

/// Upper bound of the encoded length of an owner without the name of its server: tags, lengths and an incarnation of up
/// to 10 bytes.
const OWNER_OVERHEAD_BYTES: usize = 20;

/// Largest number of pages that one write deletes.
const MAX_DELETES: usize = 8;

/// Limits of the pages of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PageLimits {
    /// Encoded length in bytes at which a page is closed. The names of the sidecars that close the page or settle its
    /// orders are added on top of it. Default: 64 KiB.
    pub page_bytes: usize,
    /// Largest number of pages that hold claims. At this limit, claims that need a new page are refused. Default: 256.
    pub max_pages: usize,
    /// Largest number of pages in one write. Further changes are deferred to the next write. With 64 KiB pages the
    /// default of 8 keeps a transaction of one shard below 512 KiB.
    pub max_pages_per_write: usize,
    /// Age of its last change at which a closed page without unfinished claims is deleted. Default: 24 h.
    pub retention: Duration,
}

impl Default for PageLimits {
    /// 256 pages of 64 KiB hold about 400,000 claims of one shard.
    fn default() -> Self {
        Self {
            page_bytes: 64 << 10,
            max_pages: 256,
            max_pages_per_write: 8,
            retention: Duration::from_hours(24),
        }
    }
}

/// A page with the revision at which it was read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredPage {
    /// Content at this revision.
    pub page: Page,
    /// Revision of the last write.
    pub revision: Revision,
}

/// Decision of an operator about an order whose result is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Settlement {
    /// The order ran.
    Ran,
    /// The order did not run, and the sidecar that claimed it will not run it.
    NotRun,
}

/// Change to the claims of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Change {
    /// Claims an order.
    Claim {
        /// Order to claim.
        key: OrderKey,
        /// Digest of the call, to detect reuse of the key for a different call.
        body: BodyDigest,
        /// Claim that its owner has reported as not run. It is replaced if it is still the latest claim.
        released: Option<ClaimId>,
    },
    /// Marks a claim of the writer as run, after the backend server responded.
    Finish {
        /// Order that ran.
        key: OrderKey,
        /// Attempt that ran.
        attempt: u32,
    },
    /// Marks a claim of the writer as definitely not run.
    Release {
        /// Order that did not run.
        key: OrderKey,
        /// Attempt that did not run.
        attempt: u32,
    },
    /// Writes the decision of an operator.
    Settle {
        /// Order to settle.
        key: OrderKey,
        /// Claim to which the decision applies. If it is no longer the latest, the change has no effect.
        claim: ClaimId,
        /// Whether the order ran.
        settlement: Settlement,
    },
}

/// Effect of a staged change once its write is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChangeOutcome {
    /// The order is claimed with this attempt.
    Claimed(u32),
    /// The claim has the new state.
    Changed,
    /// The claim is no longer the latest, or it is already finished, released or settled.
    NoEffect,
    /// The key has another claim that cannot be replaced, or was used with a different body.
    Exists,
    /// The shard has reached [`PageLimits::max_pages`].
    Full,
    /// The write has reached [`PageLimits::max_pages_per_write`], so the change must be staged again for the next one.
    Deferred,
}

/// Write of a page that is applied only if the page is still at revision `base`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PagePut {
    /// Page to write.
    pub number: PageNumber,
    /// Revision to replace; 0 for a new page.
    pub base: Revision,
    /// Content to write.
    pub page: Page,
}

/// Deletion of a page that is applied only if the page is still at revision `base`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PageDelete {
    /// Page to delete.
    pub number: PageNumber,
    /// Revision to delete.
    pub base: Revision,
}

/// Transaction for a group of changes. All of its writes must be applied, or none.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Staged {
    /// Pages to write, by ascending number.
    pub puts: Vec<PagePut>,
    /// Expired pages to delete.
    pub deletes: Vec<PageDelete>,
    /// Outcome of each change, in the same order. Valid once the writes are applied, or immediately if there are none.
    pub outcomes: Vec<ChangeOutcome>,
}

/// State of a write whose response was lost, determined by reading back one of its pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write was applied at this revision.
    Applied(Revision),
    /// The write has not been applied but may still be in transit. It must be sent again; at most one of the two is
    /// applied because both expect the same revision.
    Pending,
    /// Another write has changed the page. This write was either applied before it or never will be, which the records
    /// show.
    Superseded,
}

/// Returns the state of a write whose response was lost, given the stored version of one of its pages.
///
/// ```
/// use tanagerford_core::order::{Owner, Page, PagePut, StoredPage, WriteId, WriteOutcome, resolve_write};
///
/// let writer = Owner { server: "w1".into(), incarnation: 1 };
/// let page = Page::new(WriteId { writer, sequence: 1 });
/// let put = PagePut { number: 0, base: 0, page: page.clone() };
/// assert_eq!(resolve_write(&put, None), WriteOutcome::Pending);
/// assert_eq!(resolve_write(&put, Some(&StoredPage { page, revision: 7 })), WriteOutcome::Applied(7));
/// ```
#[must_use]
pub fn resolve_write(put: &PagePut, found: Option<&StoredPage>) -> WriteOutcome {
    match found {
        Some(found) if found.page.write_id == put.page.write_id => {
            WriteOutcome::Applied(found.revision)
        }
        Some(found) if found.revision == put.base => WriteOutcome::Pending,
        None if put.base == 0 => WriteOutcome::Pending,
        _ => WriteOutcome::Superseded,
    }
}

/// Latest claim of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestClaim<'a> {
    /// Record of the claim, whose owner index refers to its page.
    pub record: &'a Record,
    /// Sidecar that made the claim.
    pub owner: &'a Owner,
}

impl LatestClaim<'_> {
    /// Returns the identity of the claim.
    #[must_use]
    pub fn claim(&self) -> ClaimId {
        ClaimId {
            owner: self.owner.clone(),
            attempt: self.record.attempt,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RecordLocation {
    page: PageNumber,
    position: usize,
}

/// Local view of one shard. If it is outdated, the writes staged from it fail.
///
/// Every claim changes the open page of the shard, so compare-and-swap on that page serializes all claims of the shard,
/// even if several sidecars assume that they own it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Shard {
    pages: BTreeMap<PageNumber, StoredPage>,
    index: BTreeMap<OrderKey, RecordLocation>,
}

impl Shard {
    /// Creates the view of a shard that consists of `pages`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{Change, OrderKey, Owner, PageLimits, Shard, ChangeOutcome};
    ///
    /// let local = Owner { server: "w1".into(), incarnation: 1 };
    /// let key = OrderKey::new("north", "burn-17");
    /// let claim = Change::Claim { key, body: 5, released: None };
    /// let mut shard = Shard::load([]);
    /// let staged = shard.stage(&local, 1, Duration::ZERO, &PageLimits::default(), &[claim]);
    /// assert_eq!(staged.outcomes, [ChangeOutcome::Claimed(1)]);
    /// shard.commit(&staged, 1);
    /// assert_eq!(shard.find(&key).unwrap().owner, &local);
    /// ```
    #[must_use]
    pub fn load(pages: impl IntoIterator<Item = (PageNumber, StoredPage)>) -> Self {
        let mut shard = Self {
            pages: pages.into_iter().collect(),
            index: BTreeMap::new(),
        };
        let numbers: Vec<PageNumber> = shard.pages.keys().copied().collect();
        for number in numbers {
            shard.index_page(number);
        }
        shard
    }

    /// Returns the latest claim of `key`, or `None` if it was never claimed or its page has expired.
    #[must_use]
    pub fn find(&self, key: &OrderKey) -> Option<LatestClaim<'_>> {
        let location = self.index.get(key)?;
        let page = &self.pages.get(&location.page)?.page;
        let record = page.records.get(location.position)?;
        Some(LatestClaim {
            record,
            owner: page.owner_of(record),
        })
    }

    /// Returns whether the latest claim of `key` is `claim`.
    #[must_use]
    pub fn is_latest_claim(&self, key: &OrderKey, claim: &ClaimId) -> bool {
        self.find(key).is_some_and(|found| found.claim() == *claim)
    }

    /// Returns the latest claims that are neither finished nor released nor settled.
    pub fn claimed(&self) -> impl Iterator<Item = LatestClaim<'_>> {
        let latest = self.index.keys().filter_map(|key| self.find(key));
        latest.filter(|found| found.record.state == RecordState::Claimed)
    }

    /// Returns the number of pages, including an emptied first page.
    #[must_use]
    pub fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// Returns the number of keys with a claim.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.index.len()
    }

    /// Returns the revisions of the pages by ascending page number.
    pub fn revisions(&self) -> impl Iterator<Item = (PageNumber, Revision)> {
        self.pages
            .iter()
            .map(|(number, stored)| (*number, stored.revision))
    }

    /// Computes the transaction that applies `changes` in their order. If it writes any page, it also deletes pages past
    /// their retention.
    #[must_use]
    pub fn stage(
        &self,
        writer: &Owner,
        sequence: u64,
        unix_now: Duration,
        limits: &PageLimits,
        changes: &[Change],
    ) -> Staged {
        let unix_now = Duration::from_secs(unix_now.as_secs());
        let mut draft = Draft::new(self, writer, limits, unix_now);
        let outcomes = changes.iter().map(|change| draft.apply(change)).collect();
        let deletes = if draft.puts.is_empty() {
            Vec::new()
        } else {
            draft.take_expired()
        };
        let write_id = WriteId {
            writer: writer.clone(),
            sequence,
        };
        let puts = draft.into_puts(&write_id);
        Staged {
            puts,
            deletes,
            outcomes,
        }
    }

    /// Updates the view after the key-value service has applied `staged` at `revision`.
    pub fn commit(&mut self, staged: &Staged, revision: Revision) {
        for delete in &staged.deletes {
            self.remove_page(delete.number);
        }
        for put in &staged.puts {
            let is_emptied = put.page.records.is_empty();
            if is_emptied {
                self.remove_page(put.number);
            }
            let stored = StoredPage {
                page: put.page.clone(),
                revision,
            };
            self.pages.insert(put.number, stored);
            self.index_page(put.number);
        }
    }

    fn index_page(&mut self, number: PageNumber) {
        let Some(stored) = self.pages.get(&number) else {
            return;
        };
        for (position, record) in stored.page.records.iter().enumerate() {
            let location = RecordLocation {
                page: number,
                position,
            };
            let latest = self.index.entry(record.key).or_insert(location);
            if latest.page <= number {
                *latest = location;
            }
        }
    }

    fn remove_page(&mut self, number: PageNumber) {
        self.pages.remove(&number);
        self.index.retain(|_, location| location.page != number);
    }

    fn open_page(&self) -> Option<(PageNumber, &StoredPage)> {
        let (number, stored) = self.pages.last_key_value()?;
        Some((*number, stored))
    }
}

/// Transaction under construction.
struct Draft<'a> {
    shard: &'a Shard,
    writer: &'a Owner,
    limits: &'a PageLimits,
    unix_now: Duration,
    puts: BTreeMap<PageNumber, (Revision, Page)>,
    new_locations: BTreeMap<OrderKey, RecordLocation>,
    /// Open page and an upper bound of its encoded length in bytes.
    open: Option<(PageNumber, usize)>,
}

impl<'a> Draft<'a> {
    fn new(
        shard: &'a Shard,
        writer: &'a Owner,
        limits: &'a PageLimits,
        unix_now: Duration,
    ) -> Self {
        let open = shard.open_page().filter(|(_, stored)| !stored.page.closed);
        let open = open.map(|(number, stored)| (number, stored.page.encoded_bytes()));
        let (puts, new_locations) = (BTreeMap::new(), BTreeMap::new());
        Self {
            shard,
            writer,
            limits,
            unix_now,
            puts,
            new_locations,
            open,
        }
    }

    fn apply(&mut self, change: &Change) -> ChangeOutcome {
        match change {
            Change::Claim {
                key,
                body,
                released,
            } => self.claim(key, *body, released.as_ref()),
            Change::Finish { key, attempt } => self.change_own(key, *attempt, RecordState::Done),
            Change::Release { key, attempt } => {
                self.change_own(key, *attempt, RecordState::Released)
            }
            Change::Settle {
                key,
                claim,
                settlement,
            } => {
                let state = match settlement {
                    Settlement::Ran => RecordState::SettledRan,
                    Settlement::NotRun => RecordState::SettledNotRun,
                };
                self.change_claim(key, claim, state)
            }
        }
    }

    fn claim(
        &mut self,
        key: &OrderKey,
        body: BodyDigest,
        released: Option<&ClaimId>,
    ) -> ChangeOutcome {
        let Some((location, record, claim)) = self.find(key) else {
            return self.append(key, body, 1);
        };
        let is_replaceable = record.state == RecordState::Claimed && released == Some(&claim);
        if record.body != body || !(record.state.is_free() || is_replaceable) {
            return ChangeOutcome::Exists;
        }
        let attempt = claim.attempt + 1;
        if self.has_room(location.page) {
            return self.replace(location, attempt);
        }
        if is_replaceable && !self.set_state(location, RecordState::Released) {
            return ChangeOutcome::Deferred;
        }
        self.append(key, body, attempt)
    }

    fn change_own(&mut self, key: &OrderKey, attempt: u32, state: RecordState) -> ChangeOutcome {
        let claim = ClaimId {
            owner: self.writer.clone(),
            attempt,
        };
        self.change_claim(key, &claim, state)
    }

    fn change_claim(
        &mut self,
        key: &OrderKey,
        claim: &ClaimId,
        state: RecordState,
    ) -> ChangeOutcome {
        match self.find(key) {
            Some((location, record, found))
                if record.state == RecordState::Claimed && found == *claim =>
            {
                let is_changed = self.set_state(location, state);
                if is_changed {
                    ChangeOutcome::Changed
                } else {
                    ChangeOutcome::Deferred
                }
            }
            _ => ChangeOutcome::NoEffect,
        }
    }

    fn find(&self, key: &OrderKey) -> Option<(RecordLocation, Record, ClaimId)> {
        let location = self
            .new_locations
            .get(key)
            .or_else(|| self.shard.index.get(key))
            .copied()?;
        let page = self.page(location.page)?;
        let record = page.records.get(location.position)?;
        let owner = page.owner_of(record).clone();
        Some((
            location,
            record.clone(),
            ClaimId {
                owner,
                attempt: record.attempt,
            },
        ))
    }

    fn page(&self, number: PageNumber) -> Option<&Page> {
        let changed = self.puts.get(&number).map(|(_, page)| page);
        changed.or_else(|| self.shard.pages.get(&number).map(|stored| &stored.page))
    }

    /// Returns whether the open page is `number` and has room for one more record.
    fn has_room(&self, number: PageNumber) -> bool {
        let owner_bytes = self.writer.server.len() + OWNER_OVERHEAD_BYTES;
        let more_bytes = Page::MAX_RECORD_BYTES + owner_bytes;
        self.open.is_some_and(|(open, bytes)| {
            open == number && bytes + more_bytes <= self.limits.page_bytes
        })
    }

    /// Returns the page for writing, or `None` if the write has reached its page limit.
    fn page_mut(&mut self, number: PageNumber) -> Option<&mut Page> {
        if !self.puts.contains_key(&number) {
            if self.puts.len() >= self.limits.max_pages_per_write {
                return None;
            }
            let stored = self.shard.pages.get(&number)?;
            self.puts
                .insert(number, (stored.revision, stored.page.clone()));
        }
        self.puts.get_mut(&number).map(|(_, page)| page)
    }

    fn set_state(&mut self, location: RecordLocation, state: RecordState) -> bool {
        let changed_at = self.unix_now;
        let Some(page) = self.page_mut(location.page) else {
            return false;
        };
        let record = &mut page.records[location.position];
        record.state = state;
        record.changed_at = record.changed_at.max(changed_at);
        true
    }

    fn replace(&mut self, location: RecordLocation, attempt: u32) -> ChangeOutcome {
        let (writer, changed_at) = (self.writer, self.unix_now);
        let Some(page) = self.page_mut(location.page) else {
            return ChangeOutcome::Deferred;
        };
        let owner = page.owner_index(writer);
        let record = &mut page.records[location.position];
        *record = Record {
            owner,
            attempt,
            state: RecordState::Claimed,
            changed_at,
            ..*record
        };
        self.add_open_page_bytes(writer.server.len() + OWNER_OVERHEAD_BYTES);
        ChangeOutcome::Claimed(attempt)
    }

    fn append(&mut self, key: &OrderKey, body: BodyDigest, attempt: u32) -> ChangeOutcome {
        let number = match self.open {
            Some((open, _)) if self.has_room(open) => open,
            _ => match self.open_next_page() {
                Ok(number) => number,
                Err(outcome) => return outcome,
            },
        };
        let (writer, changed_at) = (self.writer, self.unix_now);
        let Some(page) = self.page_mut(number) else {
            return ChangeOutcome::Deferred;
        };
        let known_owners = page.owners.len();
        let owner = page.owner_index(writer);
        let owner_bytes = if page.owners.len() > known_owners {
            writer.server.len() + OWNER_OVERHEAD_BYTES
        } else {
            0
        };
        let record = Record {
            key: *key,
            body,
            owner,
            attempt,
            state: RecordState::Claimed,
            changed_at,
        };
        let location = RecordLocation {
            page: number,
            position: page.records.len(),
        };
        page.records.push(record);
        self.new_locations.insert(*key, location);
        self.add_open_page_bytes(Page::MAX_RECORD_BYTES + owner_bytes);
        ChangeOutcome::Claimed(attempt)
    }

    /// Closes the last page and opens the next one. Because the last page is part of the write, two sidecars cannot both
    /// open a page.
    fn open_next_page(&mut self) -> Result<PageNumber, ChangeOutcome> {
        let last = self.puts.last_key_value().map(|(number, _)| *number);
        let last = last.max(self.shard.pages.last_key_value().map(|(number, _)| *number));
        let number = last.map_or(ANCHOR_PAGE, |last| last + 1);
        if self.pages_in_use() >= self.limits.max_pages {
            return Err(ChangeOutcome::Full);
        }
        let adds_last_page = last.is_some_and(|last| !self.puts.contains_key(&last));
        if self.puts.len() + 1 + usize::from(adds_last_page)
            > self.limits.max_pages_per_write.max(2)
        {
            return Err(ChangeOutcome::Deferred);
        }
        if let Some(page) = last.and_then(|last| self.page_mut(last)) {
            page.closed = true;
        }
        let page = Page::new(WriteId {
            writer: self.writer.clone(),
            sequence: 0,
        });
        self.open = Some((number, page.encoded_bytes()));
        self.puts.insert(number, (0, page));
        Ok(number)
    }

    /// Returns the number of pages with claims after the deletion of expired pages.
    fn pages_in_use(&self) -> usize {
        let added = self.puts.values().filter(|(base, _)| *base == 0).count();
        let anchor = self.shard.pages.get(&ANCHOR_PAGE);
        let emptied =
            anchor.is_some_and(|stored| stored.page.closed && stored.page.records.is_empty());
        self.shard.pages.len() + added - self.expired().count() - usize::from(emptied)
    }

    fn add_open_page_bytes(&mut self, more_bytes: usize) {
        if let Some((_, bytes)) = &mut self.open {
            *bytes += more_bytes;
        }
    }

    fn expired(&self) -> impl Iterator<Item = PageDelete> {
        let untouched = self
            .shard
            .pages
            .iter()
            .filter(|(number, _)| !self.puts.contains_key(number));
        let expired = untouched.filter(|(number, stored)| self.is_expired(**number, &stored.page));
        let delete = |(number, stored): (&PageNumber, &StoredPage)| PageDelete {
            number: *number,
            base: stored.revision,
        };
        expired.map(delete).take(MAX_DELETES)
    }

    /// Empties the anchor page if it has expired, and returns the other expired pages.
    fn take_expired(&mut self) -> Vec<PageDelete> {
        let expired: Vec<PageDelete> = self.expired().collect();
        let (anchor, deletes): (Vec<_>, Vec<_>) = expired
            .into_iter()
            .partition(|page| page.number == ANCHOR_PAGE);
        if let Some(page) = anchor.first().and_then(|_| self.page_mut(ANCHOR_PAGE)) {
            page.records.clear();
        }
        deletes
    }

    fn is_expired(&self, number: PageNumber, page: &Page) -> bool {
        let is_removable = |record: &Record| {
            record.state != RecordState::Claimed
                && record.changed_at + self.limits.retention <= self.unix_now
        };
        let is_emptied_anchor = number == ANCHOR_PAGE && page.records.is_empty();
        page.closed && !is_emptied_anchor && page.records.iter().all(is_removable)
    }

    fn into_puts(self, write_id: &WriteId) -> Vec<PagePut> {
        let put = |(number, (base, mut page)): (PageNumber, (Revision, Page))| {
            page.owner_index(&write_id.writer);
            page.write_id = write_id.clone();
            PagePut { number, base, page }
        };
        self.puts.into_iter().map(put).collect()
    }
}
