//! Tests of fetches of prompt parts from the caches of other engines.

use std::time::Duration;

use tanagerford_core::dispatch::{
    CallOutcome, Choice, CostSettings, Demand, Pool, PromptPart, ServerSpec, TransferLink,
};

const NOW: Duration = Duration::from_secs(100);
/// Time after which the prompts of earlier calls are in the caches of their servers.
const LATER: Duration = Duration::from_secs(110);
/// 565 tokens in a millisecond, a tenth of the time of their processing.
const FAST: TransferLink = TransferLink {
    bytes_per_token: 163_840,
    bits_per_ms: 740_000_000,
};

fn pool(link: Option<TransferLink>) -> Pool {
    let mut pool = Pool::new("zone-a", CostSettings::default());
    let specs: Vec<_> = (0..6)
        .map(|index| ServerSpec {
            id: format!("s-{index}"),
            zone: if index < 3 { "zone-a" } else { "zone-b" }.to_owned(),
            slots: 64,
            memory_tokens: 300_000,
        })
        .collect();
    pool.set_servers(&specs);
    pool.set_transfer_link(link);
    pool
}

/// Returns a prompt of 9,190 tokens, 6,300 of which other calls share.
fn prompt(own: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    Demand {
        parts: vec![part(1, 2_520), part(2, 3_780), part(1_000 + own, 2_890)],
        prompt_tokens: 9_190,
        output_tokens: 54,
        body_bytes: 9_200,
        rank: 1,
    }
}

/// Sends a prompt at [`NOW`] and returns the server, which has its parts at [`LATER`].
fn holder(pool: &mut Pool) -> String {
    let server = pool.choose(NOW, &prompt(0), &[]).unwrap().server;
    pool.on_start(NOW, &server, 0, &prompt(0));
    pool.on_first_part(NOW + Duration::from_millis(300), &server, 0);
    pool.on_end(&server, 0);
    server
}

/// Fills the queue of a server with prompts of other callers.
fn fill_queue(pool: &mut Pool, server: &str) {
    let other = Demand {
        parts: Vec::new(),
        prompt_tokens: 200_000,
        ..prompt(0)
    };
    pool.on_start(LATER, server, 99, &other);
}

fn choose_elsewhere(pool: &mut Pool, server: &str) -> Choice {
    fill_queue(pool, server);
    let choice = pool.choose(LATER, &prompt(1), &[]).unwrap();
    assert_ne!(choice.server, server);
    choice
}

/// Guards against shared parts that are processed again while a busy server holds them and a copy is faster.
#[test]
fn parts_of_a_busy_server_are_fetched() {
    let mut pool = pool(Some(FAST));
    let holder = holder(&mut pool);
    let choice = choose_elsewhere(&mut pool, &holder);
    let fetch = choice.fetch.unwrap();
    assert_eq!((fetch.source, fetch.tokens), (holder, 6_300));
    assert_eq!(choice.uncached_tokens, 2_890);
}

/// Guards against calls that leave an idle server with their parts, since every copy has a price.
#[test]
fn idle_server_with_the_parts_is_used_without_a_copy() {
    let mut pool = pool(Some(FAST));
    let holder = holder(&mut pool);
    let choice = pool.choose(LATER, &prompt(1), &[]).unwrap();
    assert_eq!((choice.server, choice.fetch), (holder, None));
}

/// Guards against fetches where the configuration names no link or one that is slower than processing.
#[test]
fn no_link_and_a_slow_link_leave_decisions_unchanged() {
    let slow = TransferLink {
        bits_per_ms: 40_000_000,
        ..FAST
    };
    let choices = [None, Some(slow)].map(|link| {
        let mut pool = pool(link);
        let holder = holder(&mut pool);
        choose_elsewhere(&mut pool, &holder)
    });
    assert_eq!(choices[0].fetch, None);
    assert_eq!(choices[0].uncached_tokens, 9_190);
    assert_eq!(choices[0], choices[1]);
}

/// Guards against copies from servers that have failed, are left out, or have not processed the parts yet.
#[test]
fn unusable_sources_are_not_named() {
    let mut failed = pool(Some(FAST));
    let server = holder(&mut failed);
    failed.on_outcome(LATER, &server, CallOutcome::Unreachable);
    assert_eq!(choose_elsewhere(&mut failed, &server).fetch, None);

    let mut excluded = pool(Some(FAST));
    let server = holder(&mut excluded);
    let choice = excluded.choose(LATER, &prompt(1), &[server]);
    assert_eq!(choice.unwrap().fetch, None);

    let mut unprocessed = pool(Some(FAST));
    let server = unprocessed.choose(LATER, &prompt(0), &[]).unwrap().server;
    unprocessed.on_start(LATER, &server, 0, &prompt(0));
    assert_eq!(choose_elsewhere(&mut unprocessed, &server).fetch, None);
}

/// Guards against a hot source: transfers run one after another, so a queue of them costs more than processing.
#[test]
fn queued_transfers_bound_the_use_of_a_source() {
    let mut pool = pool(Some(FAST));
    let holder = holder(&mut pool);
    fill_queue(&mut pool, &holder);
    let mut fetches = Vec::new();
    for call in 1..40 {
        let choice = pool.choose(LATER, &prompt(call), &[]).unwrap();
        pool.on_start_choice(LATER, &choice, call, &prompt(call));
        fetches.extend(choice.fetch);
    }
    assert!(!fetches.is_empty());
    // A fetch takes at most half of the time of processing 6,300 tokens at the initial rate of 55 in a millisecond.
    let longest_ms = 6_300.0 / 55.0 / 2.0;
    assert!(fetches.iter().all(|fetch| fetch.transfer_ms <= longest_ms));
}

/// Guards against a source that has lost its parts and is named again and again.
#[test]
fn source_without_effect_is_left_out_for_a_while() {
    let mut pool = pool(Some(FAST));
    let holder = holder(&mut pool);
    fill_queue(&mut pool, &holder);
    let mut now = LATER;
    let mut is_fetched = |pool: &mut Pool, call| {
        let others: Vec<_> = (0..5).map(|index| format!("s-{index}")).collect();
        let others: Vec<_> = others.into_iter().filter(|id| *id != holder).collect();
        now += Duration::from_millis(500);
        let choice = pool.choose(now, &prompt(call), &others).unwrap();
        let demand = Demand {
            parts: prompt(call).parts[..2].to_vec(),
            ..prompt(call)
        };
        pool.on_start_choice(now, &choice, call, &demand);
        pool.on_first_part(now + Duration::from_secs(2), &choice.server, call);
        pool.on_end(&choice.server, call);
        // The server restarts, so that it lacks the parts again.
        pool.on_outcome(now, &choice.server, CallOutcome::Restarted);
        pool.on_outcome(now, &choice.server, CallOutcome::Answered { slowness: 1.0 });
        choice.fetch.is_some()
    };
    let fetched: Vec<_> = (1..=5).map(|call| is_fetched(&mut pool, call)).collect();
    assert!(fetched[0]);
    assert!(
        fetched[3..].iter().all(|is_fetched| !is_fetched),
        "{fetched:?}"
    );
}
