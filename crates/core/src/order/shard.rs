//! Pages of one shard: lookup, staged changes and their outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{BodyDigest, ClaimId, OrderKey, Owner, Page, Record, RecordState, WriteId};

/// Number of a page in its shard; rises with each page that is opened.
pub type PageNumber = u32;

/// Revision of a page in the key-value service; 0 if the page does not exist.
pub type Revision = u64;

/// Number of the page that is emptied and never deleted.
///
/// A sidecar that was paused for longer than the retention time could otherwise create page 0 again in a shard whose
/// pages moved on, and claim a key that another sidecar has claimed.
const ANCHOR_PAGE: PageNumber = 0;

/// Largest count of pages that one write deletes.
const MAX_DELETES: usize = 8;

/// Limits of the pages of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PageLimits {
    /// Encoded length at which a page is closed. The names of the sidecars that close the page or settle its orders
    /// come on top.
    pub page_bytes: usize,
    /// Largest count of pages that hold claims.
    pub max_pages: usize,
    /// Largest count of pages in one write; further changes wait for the next write. With 64 KiB pages the default
    /// keeps a transaction of one shard under 512 KiB.
    pub max_pages_per_write: usize,
    /// Age at which a settled page is deleted.
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

/// A page as it was read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredPage {
    /// Content.
    pub page: Page,
    /// Revision of the last write.
    pub revision: Revision,
}

/// Statement of an operator about an order whose sidecar is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Settlement {
    /// The order was run.
    Ran,
    /// The order was not run and will not be run by the sidecar that claimed it.
    NotRun,
}

/// Change of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Change {
    /// Claims an order.
    Claim {
        /// Key.
        key: OrderKey,
        /// Digest of the call.
        body: BodyDigest,
        /// Claim of which its owner said that it was not run; it is replaced if it still stands.
        released: Option<ClaimId>,
    },
    /// Notes that the writer's claim was run and answered.
    Finish {
        /// Key.
        key: OrderKey,
        /// Attempt that was run.
        attempt: u32,
    },
    /// Notes that the writer's claim was certainly not run.
    Release {
        /// Key.
        key: OrderKey,
        /// Attempt that was not run.
        attempt: u32,
    },
    /// Writes an operator's statement.
    Settle {
        /// Key.
        key: OrderKey,
        /// Claim that the operator saw.
        claim: ClaimId,
        /// Statement.
        how: Settlement,
    },
}

/// What a staged change does once its write is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The order is claimed with this attempt.
    Claimed(u32),
    /// The claim got its new state.
    Changed,
    /// The claim does not stand any more or has the state already.
    NoEffect,
    /// Another claim of the key stands, or the key was used with another body.
    Exists,
    /// The shard holds as many pages as it may.
    Full,
    /// The write touches as many pages as it may; the change waits for the next one.
    Later,
}

/// Write of a page, on condition that it is still at revision `base`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PagePut {
    /// Page.
    pub number: PageNumber,
    /// Revision that is replaced; 0 for a new page.
    pub base: Revision,
    /// New content.
    pub page: Page,
}

/// Deletion of a page, on condition that it is still at revision `base`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PageDelete {
    /// Page.
    pub number: PageNumber,
    /// Revision that is deleted.
    pub base: Revision,
}

/// Writes that carry out a group of changes; all of them or none are to be applied.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Staged {
    /// Pages to write.
    pub puts: Vec<PagePut>,
    /// Pages to delete.
    pub deletes: Vec<PageDelete>,
    /// One verdict for each change; valid once the writes are applied, or at once if there are none.
    pub verdicts: Vec<Verdict>,
}

/// Result of reading back a page of a write whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Wrote {
    /// The write was applied at this revision.
    Applied(Revision),
    /// The write was not applied but still can be: it may be on its way. The same write is sent again; at most one of
    /// the two is applied because both expect the same revision.
    NotYet,
    /// Another write followed. The write was applied before it or never will be; the records tell which.
    Superseded,
}

/// Tells what became of a write from one of its pages, read back.
///
/// ```
/// use tanagerford_core::order::{Owner, Page, PagePut, StoredPage, WriteId, Wrote, resolve};
///
/// let writer = Owner { server: "w1".into(), incarnation: 1 };
/// let page = Page::new(WriteId { writer, sequence: 1 });
/// let put = PagePut { number: 0, base: 0, page: page.clone() };
/// assert_eq!(resolve(&put, None), Wrote::NotYet);
/// assert_eq!(resolve(&put, Some(&StoredPage { page, revision: 7 })), Wrote::Applied(7));
/// ```
#[must_use]
pub fn resolve(put: &PagePut, found: Option<&StoredPage>) -> Wrote {
    match found {
        Some(found) if found.page.write_id == put.page.write_id => Wrote::Applied(found.revision),
        Some(found) if found.revision == put.base => Wrote::NotYet,
        None if put.base == 0 => Wrote::NotYet,
        _ => Wrote::Superseded,
    }
}

/// Latest claim of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Found<'a> {
    /// Record of the claim.
    pub record: &'a Record,
    /// Sidecar that made the claim.
    pub owner: &'a Owner,
}

impl Found<'_> {
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
struct Place {
    page: PageNumber,
    position: usize,
}

/// A sidecar's view of one shard. It may be outdated; then the writes staged from it fail.
///
/// Every claim changes the shard's open page, so compare-and-swap on that page puts all claims of a shard in one
/// order, whoever believes to own the shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Shard {
    pages: BTreeMap<PageNumber, StoredPage>,
    index: BTreeMap<OrderKey, Place>,
}

impl Shard {
    /// Returns the shard that consists of `pages`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::order::{Change, OrderKey, Owner, PageLimits, Shard, Verdict};
    ///
    /// let me = Owner { server: "w1".into(), incarnation: 1 };
    /// let key = OrderKey::new("north", "burn-17");
    /// let claim = Change::Claim { key, body: 5, released: None };
    /// let mut shard = Shard::load([]);
    /// let staged = shard.stage(&me, 1, Duration::ZERO, &PageLimits::default(), &[claim]);
    /// assert_eq!(staged.verdicts, [Verdict::Claimed(1)]);
    /// shard.commit(&staged, 1);
    /// assert_eq!(shard.find(&key).unwrap().owner, &me);
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

    /// Returns the latest claim of `key`.
    #[must_use]
    pub fn find(&self, key: &OrderKey) -> Option<Found<'_>> {
        let place = self.index.get(key)?;
        let page = &self.pages.get(&place.page)?.page;
        let record = page.records.get(place.position)?;
        Some(Found {
            record,
            owner: page.owner_of(record),
        })
    }

    /// Returns whether the latest claim of `key` is `claim`.
    #[must_use]
    pub fn stands(&self, key: &OrderKey, claim: &ClaimId) -> bool {
        self.find(key).is_some_and(|found| found.claim() == *claim)
    }

    /// Returns the latest claims that are neither finished nor released nor settled.
    pub fn claimed(&self) -> impl Iterator<Item = Found<'_>> {
        let latest = self.index.keys().filter_map(|key| self.find(key));
        latest.filter(|found| found.record.state == RecordState::Claimed)
    }

    /// Returns the count of pages.
    #[must_use]
    pub fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// Returns the count of keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.index.len()
    }

    /// Returns the revisions of the pages.
    pub fn revisions(&self) -> impl Iterator<Item = (PageNumber, Revision)> {
        self.pages
            .iter()
            .map(|(number, stored)| (*number, stored.revision))
    }

    /// Computes the writes that carry out `changes` in their order, and deletes pages past their retention.
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
        let verdicts = changes.iter().map(|change| draft.apply(change)).collect();
        let expired = if draft.puts.is_empty() {
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
            deletes: expired,
            verdicts,
        }
    }

    /// Takes over writes that were applied at `revision`.
    pub fn commit(&mut self, staged: &Staged, revision: Revision) {
        for delete in &staged.deletes {
            self.remove_page(delete.number);
        }
        for put in &staged.puts {
            let emptied = put.page.records.is_empty();
            if emptied {
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
            let place = Place {
                page: number,
                position,
            };
            let latest = self.index.entry(record.key).or_insert(place);
            if latest.page <= number {
                *latest = place;
            }
        }
    }

    fn remove_page(&mut self, number: PageNumber) {
        self.pages.remove(&number);
        self.index.retain(|_, place| place.page != number);
    }

    fn open_page(&self) -> Option<(PageNumber, &StoredPage)> {
        let (number, stored) = self.pages.last_key_value()?;
        Some((*number, stored))
    }
}

/// Pages under change.
struct Draft<'a> {
    shard: &'a Shard,
    writer: &'a Owner,
    limits: &'a PageLimits,
    unix_now: Duration,
    puts: BTreeMap<PageNumber, (Revision, Page)>,
    placed: BTreeMap<OrderKey, Place>,
    /// Open page and an upper bound of its encoded length.
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
        let (puts, placed) = (BTreeMap::new(), BTreeMap::new());
        Self {
            shard,
            writer,
            limits,
            unix_now,
            puts,
            placed,
            open,
        }
    }

    fn apply(&mut self, change: &Change) -> Verdict {
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
            Change::Settle { key, claim, how } => {
                let state = match how {
                    Settlement::Ran => RecordState::SettledRan,
                    Settlement::NotRun => RecordState::SettledNotRun,
                };
                self.change_claim(key, claim, state)
            }
        }
    }

    fn claim(&mut self, key: &OrderKey, body: BodyDigest, released: Option<&ClaimId>) -> Verdict {
        let Some((place, record, claim)) = self.find(key) else {
            return self.append(key, body, 1);
        };
        let replaceable = record.state == RecordState::Claimed && released == Some(&claim);
        if record.body != body || !(record.state.is_free() || replaceable) {
            return Verdict::Exists;
        }
        let attempt = claim.attempt + 1;
        if self.fits(place.page) {
            return self.replace(place, attempt);
        }
        if replaceable && !self.set_state(place, RecordState::Released) {
            return Verdict::Later;
        }
        self.append(key, body, attempt)
    }

    fn change_own(&mut self, key: &OrderKey, attempt: u32, state: RecordState) -> Verdict {
        let claim = ClaimId {
            owner: self.writer.clone(),
            attempt,
        };
        self.change_claim(key, &claim, state)
    }

    fn change_claim(&mut self, key: &OrderKey, claim: &ClaimId, state: RecordState) -> Verdict {
        match self.find(key) {
            Some((place, record, found))
                if record.state == RecordState::Claimed && found == *claim =>
            {
                let changed = self.set_state(place, state);
                if changed {
                    Verdict::Changed
                } else {
                    Verdict::Later
                }
            }
            _ => Verdict::NoEffect,
        }
    }

    fn find(&self, key: &OrderKey) -> Option<(Place, Record, ClaimId)> {
        let place = self
            .placed
            .get(key)
            .or_else(|| self.shard.index.get(key))
            .copied()?;
        let page = self.page(place.page)?;
        let record = page.records.get(place.position)?;
        let owner = page.owner_of(record).clone();
        Some((
            place,
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

    /// Returns whether the open page is `number` and takes one more record.
    fn fits(&self, number: PageNumber) -> bool {
        let owner_bytes = self.writer.server.len() + 20;
        let more_bytes = Page::MAX_RECORD_BYTES + owner_bytes;
        self.open.is_some_and(|(open, bytes)| {
            open == number && bytes + more_bytes <= self.limits.page_bytes
        })
    }

    fn touch(&mut self, number: PageNumber) -> Option<&mut Page> {
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

    fn set_state(&mut self, place: Place, state: RecordState) -> bool {
        let changed_at = self.unix_now;
        let Some(page) = self.touch(place.page) else {
            return false;
        };
        let record = &mut page.records[place.position];
        record.state = state;
        record.changed_at = record.changed_at.max(changed_at);
        true
    }

    fn replace(&mut self, place: Place, attempt: u32) -> Verdict {
        let (writer, changed_at) = (self.writer, self.unix_now);
        let Some(page) = self.touch(place.page) else {
            return Verdict::Later;
        };
        let owner = page.owner_index(writer);
        let record = &mut page.records[place.position];
        *record = Record {
            owner,
            attempt,
            state: RecordState::Claimed,
            changed_at,
            ..*record
        };
        self.grow(writer.server.len() + 20);
        Verdict::Claimed(attempt)
    }

    fn append(&mut self, key: &OrderKey, body: BodyDigest, attempt: u32) -> Verdict {
        let number = match self.open {
            Some((open, _)) if self.fits(open) => open,
            _ => match self.open_next() {
                Ok(number) => number,
                Err(verdict) => return verdict,
            },
        };
        let (writer, changed_at) = (self.writer, self.unix_now);
        let Some(page) = self.touch(number) else {
            return Verdict::Later;
        };
        let known_owners = page.owners.len();
        let owner = page.owner_index(writer);
        let owner_bytes = if page.owners.len() > known_owners {
            writer.server.len() + 20
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
        let place = Place {
            page: number,
            position: page.records.len(),
        };
        page.records.push(record);
        self.placed.insert(*key, place);
        self.grow(Page::MAX_RECORD_BYTES + owner_bytes);
        Verdict::Claimed(attempt)
    }

    /// Closes the last page and opens the next one. The last page is always written with it, so that two sidecars
    /// cannot both open a page.
    fn open_next(&mut self) -> Result<PageNumber, Verdict> {
        let last = self.puts.last_key_value().map(|(number, _)| *number);
        let last = last.max(self.shard.pages.last_key_value().map(|(number, _)| *number));
        let number = last.map_or(ANCHOR_PAGE, |last| last + 1);
        if self.pages_in_use() >= self.limits.max_pages {
            return Err(Verdict::Full);
        }
        let touches_last = last.is_some_and(|last| !self.puts.contains_key(&last));
        if self.puts.len() + 1 + usize::from(touches_last) > self.limits.max_pages_per_write.max(2)
        {
            return Err(Verdict::Later);
        }
        if let Some(page) = last.and_then(|last| self.touch(last)) {
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

    /// Returns the count of pages with claims once the expired ones are deleted.
    fn pages_in_use(&self) -> usize {
        let added = self.puts.values().filter(|(base, _)| *base == 0).count();
        let anchor = self.shard.pages.get(&ANCHOR_PAGE);
        let emptied =
            anchor.is_some_and(|stored| stored.page.closed && stored.page.records.is_empty());
        self.shard.pages.len() + added - self.expired().count() - usize::from(emptied)
    }

    fn grow(&mut self, more_bytes: usize) {
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

    /// Empties the anchor page if it is past its retention, and returns the other pages that are.
    fn take_expired(&mut self) -> Vec<PageDelete> {
        let expired: Vec<PageDelete> = self.expired().collect();
        let (anchor, deletes): (Vec<_>, Vec<_>) = expired
            .into_iter()
            .partition(|page| page.number == ANCHOR_PAGE);
        if let Some(page) = anchor.first().and_then(|_| self.touch(ANCHOR_PAGE)) {
            page.records.clear();
        }
        deletes
    }

    fn is_expired(&self, number: PageNumber, page: &Page) -> bool {
        let settled = |record: &Record| {
            record.state != RecordState::Claimed
                && record.changed_at + self.limits.retention <= self.unix_now
        };
        let emptied_anchor = number == ANCHOR_PAGE && page.records.is_empty();
        page.closed && !emptied_anchor && page.records.iter().all(settled)
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
