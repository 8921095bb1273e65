//! Batch of changes that are written in one transaction.

use tanagerford_core::order::{ChangeOutcome, PagePut, Staged};
use tanagerford_kv::kv::{Compare, Transaction, Write};

use super::locked_shard::QueuedChange;

/// Changes of a batch to one shard.
#[derive(Debug, Clone)]
pub(super) struct BatchPart {
    pub(super) shard: u32,
    pub(super) queued: Vec<QueuedChange>,
    pub(super) staged: Staged,
}

impl BatchPart {
    /// Returns the changes with their outcomes if the batch is applied.
    pub(super) fn changes(&self) -> impl Iterator<Item = (&QueuedChange, ChangeOutcome)> {
        self.queued.iter().zip(self.staged.outcomes.iter().copied())
    }
}

/// Next call that a batch needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchPhase {
    /// The transaction must be sent, for the first time or again.
    Send,
    /// The response was lost; a page must be read back.
    ReadBack,
    /// A page had changed; the shards must be read again and searched for the claims.
    Reconcile,
}

/// Batch that is being written. A writer has at most one at a time.
#[derive(Debug, Clone)]
pub(super) struct Batch {
    pub(super) parts: Vec<BatchPart>,
    pub(super) phase: BatchPhase,
    /// Whether a response was lost, so that a copy of the transaction may still take effect.
    pub(super) has_lost_response: bool,
}

impl Batch {
    /// Returns the first page that the batch writes, with its shard; `None` if it writes no page.
    pub(super) fn first_put(&self) -> Option<(u32, &PagePut)> {
        self.parts
            .iter()
            .find_map(|part| part.staged.puts.first().map(|put| (part.shard, put)))
    }

    /// Returns the transaction, which applies only if no page has changed. `page_key` returns the key of a page from
    /// its shard and number.
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
