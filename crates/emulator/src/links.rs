//! Transfers of cached prompt parts between emulated engines.

use std::time::Duration;

use crate::load::Transfers;

/// Factor by which a transfer between availability zones takes longer.
const CROSS_ZONE_FACTOR: f64 = 2.0;

/// Links of the engines. Each link carries its transfers one after another.
#[derive(Debug)]
pub(crate) struct Links {
    transfers: Option<Transfers>,
    /// Time at which the last transfer of each engine ends.
    busy_until: Vec<Duration>,
}

impl Links {
    pub(crate) fn new(transfers: Option<Transfers>, engines: usize) -> Self {
        Self {
            transfers,
            busy_until: vec![Duration::ZERO; engines],
        }
    }

    /// Queues a transfer behind those of both engines and returns the time at which it ends.
    pub(crate) fn transfer(
        &mut self,
        now: Duration,
        (source, destination): (usize, usize),
        tokens: u32,
        is_cross_zone: bool,
    ) -> Duration {
        let Some(transfers) = &self.transfers else {
            return now;
        };
        let zone_factor = if is_cross_zone {
            CROSS_ZONE_FACTOR
        } else {
            1.0
        };
        let tokens_per_ms = transfers.link_mbps * 1_000.0 / 8.0 / transfers.kv_token_bytes;
        let transfer_ms = transfers.setup_ms + f64::from(tokens) / tokens_per_ms * zone_factor;
        let begin = self.busy_until[source].max(self.busy_until[destination]);
        let end = begin.max(now) + Duration::from_secs_f64(transfer_ms / 1_000.0);
        self.busy_until[source] = end;
        self.busy_until[destination] = end;
        end
    }
}
