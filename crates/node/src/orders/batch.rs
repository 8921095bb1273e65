//! A group of changes that is written in one transaction.

use tanagerford_core::order::{ChangeOutcome, PagePut, Staged};
use tanagerford_kv::kv::{Compare, Transaction, Write};

use super::cell::Queued;

/// Part of a batch that belongs to one shard.
#[derive(Debug, Clone)]
pub(super) struct Part {
    pub(super) shard: u32,
    pub(super) queued: Vec<Queued>,
    pub(super) staged: Staged,
}

impl Part {
    pub(super) fn changes(&self) -> impl Iterator<Item = (&Queued, ChangeOutcome)> {
        self.queued.iter().zip(self.staged.outcomes.iter().copied())
    }
}

/// What is known about a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// To be sent, for the first time or again.
    Send,
    /// The answer was lost; a page is to be read back.
    ReadBack,
    /// A page had changed; the shards are to be read and searched for the claims.
    Reconcile,
}

/// The batch that is being written. At most one is under way at a time.
#[derive(Debug, Clone)]
pub(super) struct Batch {
    pub(super) parts: Vec<Part>,
    pub(super) phase: Phase,
    /// Whether an answer was lost, so that a copy of the write may still be on its way.
    pub(super) doubtful: bool,
}

impl Batch {
    pub(super) fn first_put(&self) -> Option<(u32, &PagePut)> {
        self.parts
            .iter()
            .find_map(|part| part.staged.puts.first().map(|put| (part.shard, put)))
    }

    /// Returns the transaction; `page_key` names a page of a shard in the key-value service.
    pub(super) fn transaction(&self, page_key: impl Fn(u32, u32) -> String) -> Transaction {
        let mut transaction = Transaction::default();
        for part in &self.parts {
            for put in &part.staged.puts {
                let key = page_key(part.shard, put.number);
                transaction.compares.push(Compare {
                    key: key.clone(),
                    mod_revision: put.base,
                });
                transaction.writes.push(Write::Put {
                    key,
                    value: put.page.encode(),
                    lease: None,
                });
            }
            for delete in &part.staged.deletes {
                let key = page_key(part.shard, delete.number);
                transaction.compares.push(Compare {
                    key: key.clone(),
                    mod_revision: delete.base,
                });
                transaction.writes.push(Write::Delete { key });
            }
        }
        transaction
    }
}
