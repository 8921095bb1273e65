//! Bytes and time of what processes send and store: token chunks, configuration sections, claim pages.

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

/// Bytes of the server-sent event of one token.
const TOKEN_EVENT_BYTES: usize = 200;

/// Cost of one token on a link.
pub struct ChunkCost {
    pub frame_bytes: usize,
    pub encode_us: f64,
    pub decode_us: f64,
}

/// Cost of one changed workspace.
pub struct SectionCost {
    pub whole_bytes: usize,
    pub update_bytes: usize,
    pub cut_ms: f64,
    pub take_ms: f64,
    pub memory_bytes: usize,
}

/// Cost of claims, and what the pages of a pool hold.
pub struct PageCost {
    pub orders_per_page: usize,
    pub bytes_per_order: f64,
    pub memory_per_order: f64,
    pub encode_us: f64,
    pub decode_us: f64,
    pub orders_per_pool: f64,
    pub orders_per_second: f64,
    pub shard_bytes: f64,
}

/// Measures a frame with one token. Reading from a socket is not included.
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
    assert!(is_encoded, "a frame could not be encoded");
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

/// Measures the change of the tier of one workspace.
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
    let cut_us = time_us(RUNS, || {
        black_box(Sections::split(black_box(&changed), Some(&old)));
    });
    let take = || {
        let sections = Sections::with_update(Some(&old), &update).expect("the update is complete");
        let merged = sections.merge().expect("the sections are whole");
        let active = ActiveConfiguration::new(merged).expect("the references are resolved");
        (sections, active)
    };
    let take_us = time_us(RUNS, || drop(black_box(take())));
    // Kept until the end: freed memory would be used again and hide the growth.
    let before = resident_bytes();
    let kept: Vec<_> = (0..RUNS).map(|_| take()).collect();
    let memory = resident_bytes().saturating_sub(before) / kept.len();
    SectionCost {
        whole_bytes: framed_bytes(&new.changed_since(0)),
        update_bytes: framed_bytes(&update),
        cut_ms: cut_us / 1e3,
        take_ms: take_us / 1e3,
        memory_bytes: memory,
    }
}

fn owner(index: u32) -> Owner {
    Owner {
        server: format!("sidecar-{index:05}"),
        incarnation: 1_800_000_000_000,
    }
}

/// A page as full as `limits` allow, with claims of the sidecars of a pool.
fn full_page(limits: &PageLimits, number: u32) -> Page {
    const OWNERS: u32 = 16;
    let mut page = Page::new(WriteId {
        writer: owner(0),
        sequence: 100_000,
    });
    while page.encoded_bytes() + Page::MAX_RECORD_BYTES <= limits.page_bytes {
        // The encoded length is computed for a group of claims, because it takes time for the whole page.
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

/// Measures full claim pages and derives what the pages of a pool hold for the retention.
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
    let memory_per_order = ratio(memory, shard.key_count());
    std::mem::forget(shard);
    let orders_per_shard = ratio(page.records.len() * limits.max_pages, 1);
    let orders_per_pool = orders_per_shard * f64::from(ORDER_SHARDS);
    PageCost {
        orders_per_page: page.records.len(),
        bytes_per_order: ratio(value.len(), page.records.len()),
        memory_per_order,
        encode_us,
        decode_us,
        orders_per_pool,
        orders_per_second: orders_per_pool / limits.retention.as_secs_f64(),
        shard_bytes: orders_per_shard * memory_per_order,
    }
}
