//! Size and processing time of the data that processes send and store: token chunks, configuration sections and claim
//! pages.

use std::hint::black_box;
use std::time::Duration;

use bytes::BytesMut;
use tanagerford_core::config::Configuration;
use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::config::section::Sections;
use tanagerford_core::order::{
    OrderKey, Owner, Page, PageLimits, Record, RecordState, Shard, StoredPage, WriteId,
};
use tanagerford_link::message::frame::Body;
use tanagerford_link::message::{Chunk, Frame};
use tanagerford_link::{FrameReader, encode};
use tanagerford_node::config_feed::message;
use tanagerford_node::orders::ORDER_SHARDS;

use crate::fleet::ratio;
use crate::{resident_bytes, time_us};

/// Length of the server-sent event that carries one token.
const TOKEN_EVENT_BYTES: usize = 200;

/// Cost of a frame that carries one token.
pub struct ChunkCost {
    pub frame_bytes: usize,
    pub encode_us: f64,
    pub decode_us: f64,
}

/// Cost of a configuration change of one workspace.
pub struct SectionCost {
    /// Length of a frame with all sections.
    pub full_bytes: usize,
    /// Length of a frame with the changed sections.
    pub update_bytes: usize,
    /// Time to split the configuration into sections.
    pub split_ms: f64,
    /// Time to merge an update into the sections and to build the active configuration.
    pub apply_ms: f64,
    pub memory_bytes: usize,
}

/// Cost of full claim pages, and the number of orders that the pages of a pool hold.
pub struct PageCost {
    pub orders_per_page: usize,
    pub bytes_per_order: f64,
    pub resident_bytes_per_order: f64,
    pub encode_us: f64,
    pub decode_us: f64,
    pub orders_per_pool: f64,
    /// Order rate that fills the pages of a pool within the retention period.
    pub orders_per_second: f64,
    /// Resident bytes of a shard with the maximum number of pages.
    pub shard_bytes: f64,
}

/// Measures a frame with one token, without reading it from a socket.
pub fn chunk_cost() -> ChunkCost {
    const FRAMES: u32 = 20_000;
    let frame = |sequence| Frame {
        generation: 90_000,
        body: Some(Body::Chunk(Chunk {
            attempt_id: 1_000_000,
            sequence,
            data: vec![b'x'; TOKEN_EVENT_BYTES],
            tokens: 1,
        })),
    };
    let mut buffer = BytesMut::new();
    let mut is_encoded = encode(&frame(1_000), &mut buffer).is_ok();
    let frame_bytes = buffer.len();
    let encode_us = time_us(FRAMES, || {
        buffer.clear();
        is_encoded &= encode(black_box(&frame(1_000)), &mut buffer).is_ok();
    });
    assert!(is_encoded, "failed to encode a token frame");
    let stream = buffer.repeat(usize::try_from(FRAMES).unwrap_or_default());
    let mut reader = FrameReader::new(&stream[..]);
    let decode_us = time_us(FRAMES, || {
        black_box(reader.read()).expect("the frame was encoded above");
    });
    ChunkCost {
        frame_bytes,
        encode_us,
        decode_us,
    }
}

/// Measures a configuration change that assigns another tier to one workspace.
pub fn section_cost(configuration: &Configuration) -> SectionCost {
    const RUNS: u32 = 50;
    let old = Sections::split(configuration, None);
    let mut changed = configuration.clone();
    changed.generation += 1;
    changed.workspaces[7].tier = "tier-0".into();
    let new = Sections::split(&changed, Some(&old));
    let update = new.changed_since(old.generation());
    let framed_bytes = |update| {
        let body = Body::ConfigSections(message::encode(1, update));
        let mut buffer = BytesMut::new();
        let frame = Frame {
            generation: changed.generation,
            body: Some(body),
        };
        encode(&frame, &mut buffer).map_or(0, |()| buffer.len())
    };
    let split_us = time_us(RUNS, || {
        black_box(Sections::split(black_box(&changed), Some(&old)));
    });
    let apply = || {
        let sections = Sections::with_update(Some(&old), &update).expect("the update is complete");
        let merged = sections.merge().expect("the sections are complete");
        let active = ActiveConfiguration::new(merged).expect("all references are valid");
        (sections, active)
    };
    let apply_us = time_us(RUNS, || drop(black_box(apply())));
    // All results are retained, because later runs would reuse freed memory, which would hide the growth.
    let before = resident_bytes();
    let applied: Vec<_> = (0..RUNS).map(|_| apply()).collect();
    let memory = resident_bytes().saturating_sub(before) / applied.len();
    SectionCost {
        full_bytes: framed_bytes(&new.changed_since(0)),
        update_bytes: framed_bytes(&update),
        split_ms: split_us / 1e3,
        apply_ms: apply_us / 1e3,
        memory_bytes: memory,
    }
}

fn owner(index: u32) -> Owner {
    Owner {
        server: format!("sidecar-{index:05}"),
        incarnation: 1_800_000_000_000,
    }
}

/// Returns a page filled to about `limits.page_bytes` with claims of the sidecars of a pool.
fn full_page(limits: &PageLimits, number: u32) -> Page {
    const OWNERS: u32 = 16;
    let mut page = Page::new(WriteId {
        writer: owner(0),
        sequence: 100_000,
    });
    while page.encoded_bytes() + Page::MAX_RECORD_BYTES <= limits.page_bytes {
        // Claims are added in groups, because computing the encoded length takes time proportional to the page.
        for _ in 0..8 {
            let index = u32::try_from(page.records.len()).unwrap_or_default();
            let owner = page.owner_index(&owner(index % OWNERS));
            page.records.push(Record {
                key: OrderKey::new("workspace-0001", &format!("order-{number}-{index}")),
                body: u64::from(index).wrapping_mul(0x9E37_79B9_7F4A_7C15),
                owner,
                attempt: 1,
                state: RecordState::Done,
                changed_at: Duration::from_secs(1_800_000_000 + u64::from(index)),
            });
        }
    }
    page
}

/// Measures full claim pages and derives how many orders the pages of a pool hold over the retention period.
pub fn page_cost() -> PageCost {
    const PAGES: u32 = 64;
    const RUNS: u32 = 200;
    let limits = PageLimits::default();
    let page = full_page(&limits, 0);
    let value = page.encode();
    let encode_us = time_us(RUNS, || drop(black_box(page.encode())));
    let decode_us = time_us(RUNS, || drop(black_box(Page::decode(black_box(&value)))));
    let before = resident_bytes();
    let stored = (1..=PAGES).map(|number| {
        let page = full_page(&limits, number);
        (number, StoredPage { page, revision: 1 })
    });
    let shard = Shard::load(stored);
    let memory = resident_bytes().saturating_sub(before);
    let resident_bytes_per_order = ratio(memory, shard.key_count());
    std::mem::forget(shard);
    let orders_per_shard = ratio(page.records.len() * limits.max_pages, 1);
    let orders_per_pool = orders_per_shard * f64::from(ORDER_SHARDS);
    PageCost {
        orders_per_page: page.records.len(),
        bytes_per_order: ratio(value.len(), page.records.len()),
        resident_bytes_per_order,
        encode_us,
        decode_us,
        orders_per_pool,
        orders_per_second: orders_per_pool / limits.retention.as_secs_f64(),
        shard_bytes: orders_per_shard * resident_bytes_per_order,
    }
}
