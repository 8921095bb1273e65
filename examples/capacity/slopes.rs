//! Runs the measurements of request handling, links, sections and claim pages, and derives the figures per role.

use std::time::Duration;

use tanagerford_core::config::Configuration;

use crate::decisions::{AdmissionCost, EstimatorCost, RouterCost, SuspectCost};
use crate::fleet::ratio;
use crate::links::LinkCost;
use crate::transfer::{ChunkCost, PageCost, SectionCost};
use crate::{
    BYTES_TARGET, CHANGES_PER_DAY, CORE_TARGET_PERCENT, ENTRIES, MEMORY_TARGET_MB, POOLS,
    REQUESTS_PER_SECOND, TOKENS_PER_SECOND, WORKERS, WORKSPACES, configuration_text, decisions,
    links, row, transfer,
};

/// Servers that an entry has links to, then all workers, then more.
const SERVER_COUNTS: [usize; 3] = [8 * POOLS, WORKERS, 4 * WORKERS];

/// Longest waits, from which the queue lengths follow.
const WAIT_LIMITS: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_mins(1),
    Duration::from_mins(5),
    Duration::from_hours(1),
];

/// Keys per tier of an estimator: as configured, and four times as many.
const ESTIMATOR_KEYS: [usize; 2] = [512, 2_048];

/// Crashes of every fingerprint: usual, and the most that are remembered.
const SUSPECT_RECORDS: [u64; 2] = [1, 8];

/// All measurements.
pub struct Slopes {
    links: std::io::Result<LinkCost>,
    routers: [RouterCost; 3],
    estimators: [EstimatorCost; 2],
    suspects: [SuspectCost; 2],
    pages: PageCost,
    sections: SectionCost,
    admissions: [AdmissionCost; 4],
    chunk: ChunkCost,
}

/// Runs all measurements.
pub fn measure() -> Slopes {
    let configuration: Configuration =
        serde_json::from_str(&configuration_text()).expect("the configuration is well formed");
    Slopes {
        routers: SERVER_COUNTS.map(decisions::router_cost),
        estimators: ESTIMATOR_KEYS.map(decisions::estimator_cost),
        suspects: SUSPECT_RECORDS.map(decisions::suspect_cost),
        pages: transfer::page_cost(),
        sections: transfer::section_cost(&configuration),
        admissions: WAIT_LIMITS.map(decisions::admission_cost),
        chunk: transfer::chunk_cost(),
        // Last, because links free so much memory that it would hide the growth of everything after them.
        links: links::link_cost(),
    }
}

impl Slopes {
    /// Prints what was measured.
    pub fn print(&self) {
        println!(
            "frame in the queue of a link: {} B",
            size_of::<tanagerford_link::message::Frame>()
        );
        match &self.links {
            Ok(cost) => println!(
                "idle link, per end, of {} ends: {:.2} threads, {:.0} KiB resident, {:.0} KiB of address space, \
                 {:.4}% of a core, {:.2} frames/s and {:.0} B/s sent plus received",
                cost.ends,
                cost.threads,
                cost.resident_bytes / 1024.0,
                cost.reserved_bytes / 1024.0,
                cost.core_percent,
                cost.frames_per_second,
                cost.bytes_per_second
            ),
            Err(error) => println!("idle link: not measured: {error}"),
        }
        for cost in &self.routers {
            println!(
                "router with {} servers in {POOLS} pools: {:.2} us per choice and answer, {:.0} us per tick, {:.0} B \
                 resident per server",
                cost.servers, cost.request_us, cost.tick_us, cost.bytes_per_server
            );
        }
        for cost in &self.admissions {
            println!(
                "admission of twice the capacity, longest wait {} s: {:.0} wait, {:.1} us per request",
                cost.wait_limit.as_secs(),
                cost.waiting,
                cost.request_us
            );
        }
        for cost in &self.estimators {
            println!(
                "estimator with at most {} keys per tier: {} keys recorded, {} kept, {:.2} MB resident, {:.2} us per answer",
                cost.keys_per_tier,
                cost.keys_recorded,
                cost.keys_kept,
                megabytes(cost.bytes),
                cost.record_us
            );
        }
        for cost in &self.suspects {
            println!(
                "suspicion table of {} fingerprints with {} crashes each: {:.2} MB resident",
                cost.entries,
                cost.records,
                megabytes(cost.bytes)
            );
        }
        self.print_transfer();
    }

    fn print_transfer(&self) {
        let pages = &self.pages;
        println!(
            "full claim page: {} orders, {:.1} B per order, {:.0} B resident per order, encoded in {:.0} us, decoded in \
             {:.0} us",
            pages.orders_per_page,
            pages.bytes_per_order,
            pages.memory_per_order,
            pages.encode_us,
            pages.decode_us
        );
        println!(
            "claims of a pool: {:.0} orders, {:.1} orders/s for the whole retention, {:.0} MB resident per full shard",
            pages.orders_per_pool,
            pages.orders_per_second,
            pages.shard_bytes / 1e6
        );
        let sections = &self.sections;
        println!(
            "one changed workspace of {WORKSPACES}: {} B in a frame (all sections {} B), cut in {:.2} ms, taken over in \
             {:.2} ms, {:.2} MB resident for sections and index",
            sections.update_bytes,
            sections.whole_bytes,
            sections.cut_ms,
            sections.take_ms,
            megabytes(sections.memory_bytes)
        );
        let chunk = &self.chunk;
        println!(
            "token chunk: frame of {} B, encoded in {:.2} us, decoded in {:.2} us",
            chunk.frame_bytes, chunk.encode_us, chunk.decode_us
        );
    }

    /// Prints the figures per role at the stated size.
    pub fn print_roles(&self, entry_links: f64, sidecar_links: f64) {
        let none = f64::NAN;
        let (entries, workers) = (ratio(ENTRIES, 1), ratio(WORKERS, 1));
        self.print_links(entry_links, sidecar_links);
        let router = &self.routers[0];
        let router_memory = router.bytes_per_server * ratio(router.servers, 1) / 1e6;
        row(
            "memory of routing, MB (m)",
            router_memory,
            0.0,
            MEMORY_TARGET_MB,
        );
        let router_us = router.tick_us + router.request_us * REQUESTS_PER_SECOND / entries;
        row(
            "processor of routing and tick, % (e)",
            router_us / 1e4,
            0.0,
            none,
        );
        let longest = &self.admissions[self.admissions.len() - 1];
        let admission_us = longest.request_us * REQUESTS_PER_SECOND / workers;
        row(
            "processor of admission, long queue, % (e)",
            0.0,
            admission_us / 1e4,
            none,
        );
        let estimator = megabytes(self.estimators[0].bytes);
        row(
            "memory of the estimator, MB (m)",
            0.0,
            estimator,
            MEMORY_TARGET_MB,
        );
        let suspects = megabytes(self.suspects[1].bytes);
        row(
            "suspicion table, MB (m)",
            suspects,
            suspects,
            MEMORY_TARGET_MB,
        );
        let sections = megabytes(self.sections.memory_bytes);
        row(
            "configuration in memory, MB (m)",
            sections,
            sections,
            MEMORY_TARGET_MB,
        );
        let changes = CHANGES_PER_DAY / 86_400.0;
        let sections_core = self.sections.take_ms / 10.0 * changes;
        row(
            "processor of sections, % of a core (e)",
            sections_core,
            sections_core,
            CORE_TARGET_PERCENT,
        );
        let section_bytes = ratio(self.sections.update_bytes, 1) * changes;
        row(
            "section bytes/s received (e)",
            section_bytes,
            section_bytes,
            none,
        );
        let page_memory = self.pages.shard_bytes / 1e6;
        row(
            "one full shard of claims, MB (e)",
            0.0,
            page_memory,
            MEMORY_TARGET_MB,
        );
        let (encode, decode) = (self.chunk.encode_us, self.chunk.decode_us);
        row(
            "processor of token frames, % of a core (e)",
            decode * TOKENS_PER_SECOND / entries / 1e4,
            encode * TOKENS_PER_SECOND / workers / 1e4,
            none,
        );
        let frame_bytes = ratio(self.chunk.frame_bytes, 1) * TOKENS_PER_SECOND / 1e6;
        row(
            "token frames, MB/s (e)",
            frame_bytes / entries,
            frame_bytes / workers,
            none,
        );
    }

    fn print_links(&self, entry_links: f64, sidecar_links: f64) {
        if let Ok(link) = &self.links {
            let both = |name, value: f64, target| {
                row(name, value * entry_links, value * sidecar_links, target);
            };
            both("threads of links (e)", link.threads, f64::NAN);
            let resident = link.resident_bytes / 1e6;
            both("memory of idle links, MB (e)", resident, MEMORY_TARGET_MB);
            let reserved = link.reserved_bytes / 1e6;
            both("address space of links, MB (e)", reserved, f64::NAN);
            let bytes = link.bytes_per_second;
            both(
                "bytes/s of idle links, with headers (e)",
                bytes,
                BYTES_TARGET,
            );
            let core = link.core_percent;
            both(
                "processor of idle links, % of a core (e)",
                core,
                CORE_TARGET_PERCENT,
            );
        }
    }
}

fn megabytes(bytes: usize) -> f64 {
    ratio(bytes, 1) / 1e6
}
