//! Runs the measurements of request handling, links, configuration sections and claim pages, and derives the cost per
//! entry and per sidecar.

use std::time::Duration;

use tanagerford_core::config::Configuration;

use crate::decisions::{AdmissionCost, EstimatorCost, RouterCost, SuspectCost};
use crate::fleet::ratio;
use crate::links::LinkCost;
use crate::transfer::{ChunkCost, PageCost, SectionCost};
use crate::{
    BYTES_PER_SECOND_TARGET, CONFIG_CHANGES_PER_DAY, CORE_TARGET_PERCENT, ENTRIES,
    MEMORY_TARGET_MB, POOLS, REQUESTS_PER_SECOND, SIDECARS, TOKENS_PER_SECOND, WORKSPACES,
    configuration_text, decisions, links, print_row, transfer,
};

/// Numbers of servers: those that one entry has links to, all sidecars of the fleet, and four times as many.
const SERVER_COUNTS: [usize; 3] = [8 * POOLS, SIDECARS, 4 * SIDECARS];

/// Wait limits of requests. The queue length grows with the limit.
const WAIT_LIMITS: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_mins(1),
    Duration::from_mins(5),
    Duration::from_hours(1),
];

/// Maximum numbers of keys per tier of an estimator: the configured one, and four times as many.
const ESTIMATOR_KEYS: [usize; 2] = [512, 2_048];

/// Crash records per fingerprint: the usual number, and the maximum that is retained.
const SUSPECT_RECORDS: [u64; 2] = [1, 8];

/// Results of all measurements.
pub struct Measurements {
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
pub fn measure() -> Measurements {
    let configuration: Configuration =
        serde_json::from_str(&configuration_text()).expect("the generated configuration is valid");
    Measurements {
        routers: SERVER_COUNTS.map(decisions::router_cost),
        estimators: ESTIMATOR_KEYS.map(decisions::estimator_cost),
        suspects: SUSPECT_RECORDS.map(decisions::suspect_cost),
        pages: transfer::page_cost(),
        sections: transfer::section_cost(&configuration),
        admissions: WAIT_LIMITS.map(decisions::admission_cost),
        chunk: transfer::chunk_cost(),
        // Runs last: later allocations would reuse the memory that links free, which would hide their growth.
        links: links::link_cost(),
    }
}

impl Measurements {
    /// Prints the measured values.
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
                cost.address_space_bytes / 1024.0,
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
                cost.keys_retained,
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
            pages.resident_bytes_per_order,
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
            sections.full_bytes,
            sections.split_ms,
            sections.apply_ms,
            megabytes(sections.memory_bytes)
        );
        let chunk = &self.chunk;
        println!(
            "token chunk: frame of {} B, encoded in {:.2} us, decoded in {:.2} us",
            chunk.frame_bytes, chunk.encode_us, chunk.decode_us
        );
    }

    /// Prints the cost per entry and per sidecar at the target fleet size.
    pub fn print_roles(&self, entry_links: f64, sidecar_links: f64) {
        let no_target = f64::NAN;
        let (entries, sidecars) = (ratio(ENTRIES, 1), ratio(SIDECARS, 1));
        self.print_links(entry_links, sidecar_links);
        let router = &self.routers[0];
        let router_memory = router.bytes_per_server * ratio(router.servers, 1) / 1e6;
        print_row(
            "memory of routing, MB (m)",
            router_memory,
            0.0,
            MEMORY_TARGET_MB,
        );
        let router_us = router.tick_us + router.request_us * REQUESTS_PER_SECOND / entries;
        print_row(
            "processor of routing and tick, % (e)",
            router_us / 1e4,
            0.0,
            no_target,
        );
        let longest = &self.admissions[self.admissions.len() - 1];
        let admission_us = longest.request_us * REQUESTS_PER_SECOND / sidecars;
        print_row(
            "processor of admission, long queue, % (e)",
            0.0,
            admission_us / 1e4,
            no_target,
        );
        let estimator = megabytes(self.estimators[0].bytes);
        print_row(
            "memory of the estimator, MB (m)",
            0.0,
            estimator,
            MEMORY_TARGET_MB,
        );
        let suspects = megabytes(self.suspects[1].bytes);
        print_row(
            "suspicion table, MB (m)",
            suspects,
            suspects,
            MEMORY_TARGET_MB,
        );
        let sections = megabytes(self.sections.memory_bytes);
        print_row(
            "configuration in memory, MB (m)",
            sections,
            sections,
            MEMORY_TARGET_MB,
        );
        let changes_per_second = CONFIG_CHANGES_PER_DAY / 86_400.0;
        let sections_core = self.sections.apply_ms / 10.0 * changes_per_second;
        print_row(
            "processor of sections, % of a core (e)",
            sections_core,
            sections_core,
            CORE_TARGET_PERCENT,
        );
        let section_bytes = ratio(self.sections.update_bytes, 1) * changes_per_second;
        print_row(
            "section bytes/s received (e)",
            section_bytes,
            section_bytes,
            no_target,
        );
        let page_memory = self.pages.shard_bytes / 1e6;
        print_row(
            "one full shard of claims, MB (e)",
            0.0,
            page_memory,
            MEMORY_TARGET_MB,
        );
        let (encode, decode) = (self.chunk.encode_us, self.chunk.decode_us);
        print_row(
            "processor of token frames, % of a core (e)",
            decode * TOKENS_PER_SECOND / entries / 1e4,
            encode * TOKENS_PER_SECOND / sidecars / 1e4,
            no_target,
        );
        let frame_bytes = ratio(self.chunk.frame_bytes, 1) * TOKENS_PER_SECOND / 1e6;
        print_row(
            "token frames, MB/s (e)",
            frame_bytes / entries,
            frame_bytes / sidecars,
            no_target,
        );
    }

    fn print_links(&self, entry_links: f64, sidecar_links: f64) {
        if let Ok(link) = &self.links {
            let print_both = |name, value: f64, target| {
                print_row(name, value * entry_links, value * sidecar_links, target);
            };
            print_both("threads of links (e)", link.threads, f64::NAN);
            let resident = link.resident_bytes / 1e6;
            print_both("memory of idle links, MB (e)", resident, MEMORY_TARGET_MB);
            let address_space = link.address_space_bytes / 1e6;
            print_both("address space of links, MB (e)", address_space, f64::NAN);
            let bytes = link.bytes_per_second;
            print_both(
                "bytes/s of idle links, with headers (e)",
                bytes,
                BYTES_PER_SECOND_TARGET,
            );
            let core = link.core_percent;
            print_both(
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
