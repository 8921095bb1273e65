//! Outlier detection: ejection and restoration of slow or failing backend servers.

use std::time::Duration;

use tanagerford_core::straggler::{PaceSample, SpeedState, SpeedTable};

/// Token gap of a healthy engine: a constant plus a share for each request of the batch.
fn token_gap_us(batch: u32) -> u32 {
    20_000 + 600 * batch
}

fn tokens(batch: u32, slowdown: f64) -> PaceSample {
    PaceSample::Tokens {
        tokens: 200,
        elapsed: Duration::from_micros(u64::from(token_gap_us(batch)) * 200).mul_f64(slowdown),
        batch,
    }
}

/// Records one sample per server and second from `start` on, and ticks after each second.
fn run(
    table: &mut SpeedTable,
    start: u64,
    seconds: u64,
    pool: &[usize],
    sample: impl Fn(usize, u64) -> PaceSample,
) {
    table.set_pool(pool.to_vec());
    for second in start..start + seconds {
        let now = Duration::from_secs(second);
        for &server in pool {
            table.on_sample(now, server, &sample(server, second));
        }
        table.on_tick(now);
    }
}

fn ejected(table: &SpeedTable, pool: &[usize]) -> Vec<usize> {
    let is_active = |server: &usize| table.state(*server) == SpeedState::Active;
    pool.iter()
        .copied()
        .filter(|server| !is_active(server))
        .collect()
}

/// Guards against healthy servers that are classified as slow because of a large or varying batch size or very different
/// request lengths.
#[test]
fn batch_and_request_size_do_not_count_as_slowness() {
    let pool: Vec<usize> = (0..12).collect();
    for batches in [[1, 64], [1, 200], [17, 32], [2, 3]] {
        let mut table = SpeedTable::default();
        run(&mut table, 0, 60, &pool, |server, second| {
            let is_large = server == 0 || (server % 3 == 1 && second % 2 == 0);
            let batch = batches[usize::from(is_large)];
            if second % 4 == 3 {
                // A short answer arrives in one chunk, so its duration is not a pace.
                return PaceSample::Tokens {
                    tokens: 3,
                    elapsed: Duration::from_secs(1),
                    batch,
                };
            }
            tokens(batch, 1.0)
        });
        assert_eq!(
            ejected(&table, &pool),
            Vec::<usize>::new(),
            "batches {batches:?}"
        );
        assert!(
            pool.iter().all(|&server| table.weight(server) > 0.99),
            "batches {batches:?}"
        );
    }
}

/// Guards against a straggler that goes undetected because no other server runs batches of its size. This is common,
/// since requests stay longer on a slow server.
#[test]
fn straggler_with_a_larger_batch_is_ejected() {
    let pool: Vec<usize> = (0..9).collect();
    let mut table = SpeedTable::default();
    run(&mut table, 0, 20, &pool, |server, _| match server {
        4 => tokens(24, 4.0),
        _ => tokens(12, 1.0),
    });
    assert_eq!(ejected(&table, &pool), [4]);
}

/// Guards against a slightly slow server that is ejected or keeps its full weight.
#[test]
fn slightly_slow_server_gets_a_reduced_weight() {
    let pool: Vec<usize> = (0..9).collect();
    let mut table = SpeedTable::default();
    run(&mut table, 0, 30, &pool, |server, _| {
        tokens(8, if server == 4 { 1.6 } else { 1.0 })
    });
    assert_eq!(ejected(&table, &pool), Vec::<usize>::new());
    assert!((0.5..0.8).contains(&table.weight(4)));
}

/// Guards against ejection after a single stall.
#[test]
fn single_stall_does_not_eject() {
    let pool: Vec<usize> = (0..9).collect();
    let mut table = SpeedTable::default();
    run(&mut table, 0, 30, &pool, |server, second| {
        tokens(
            8,
            if server == 4 && second == 20 {
                1_000.0
            } else {
                1.0
            },
        )
    });
    assert_eq!(ejected(&table, &pool), Vec::<usize>::new());
}

/// Guards against ejection of a large part of the pool, which would overload the rest, and of two servers in a pool of
/// three.
#[test]
fn ejections_are_capped_and_start_with_the_slowest() {
    for (count, slow, expected) in [(20, 9_u8, 4), (3, 1, 1), (4, 2, 1), (2, 1, 0)] {
        let pool: Vec<usize> = (0..count).collect();
        let mut table = SpeedTable::default();
        let slowdown = |server: usize| {
            let rank = u8::try_from(server).unwrap();
            1.0 + 2.0 * f64::from(u8::from(rank < slow)) + f64::from(slow.saturating_sub(rank))
        };
        run(&mut table, 0, 8, &pool, |server, _| {
            tokens(8, slowdown(server))
        });
        let all: Vec<usize> = (0..expected).collect();
        assert_eq!(ejected(&table, &pool), all, "pool of {count}");
        for server in &pool {
            for _ in 0..5 {
                table.on_failure(Duration::from_secs(9), *server);
            }
        }
        assert_eq!(
            ejected(&table, &pool).len(),
            expected,
            "pool of {count}, all failing"
        );
    }
}

/// Guards against a recovered server that stays ejected, and against a restored server that is still slow.
#[test]
fn trials_restore_only_a_recovered_server() {
    let pool: Vec<usize> = (0..9).collect();
    let mut table = SpeedTable::default();
    run(&mut table, 0, 9, &pool, |server, _| {
        tokens(8, if server == 4 { 5.0 } else { 1.0 })
    });
    assert_eq!(ejected(&table, &pool), [4]);
    let trial = |table: &mut SpeedTable, second: u64, slowdown: f64| {
        table.on_tick(Duration::from_secs(second));
        let due = table.take_trial();
        assert_eq!(table.take_trial(), None, "more than one trial is due");
        if let Some(server) = due {
            table.on_sample(Duration::from_secs(second), server, &tokens(8, slowdown));
        }
        due
    };
    assert_eq!(trial(&mut table, 12, 5.0), None);
    assert_eq!(trial(&mut table, 20, 5.0), Some(4));
    assert!(
        matches!(table.state(4), SpeedState::Ejected { until } if until == Duration::from_secs(40))
    );
    assert_eq!(trial(&mut table, 30, 1.0), None);
    for second in 40..43 {
        assert_eq!(trial(&mut table, second, 1.0), Some(4));
    }
    assert_eq!(table.state(4), SpeedState::Active);
    assert_eq!(table.restored_at(4), Some(Duration::from_secs(42)));
}

/// Guards against a server that fails fast, appears idle and attracts requests. Successful attempts restore it, because
/// its failed attempts have no pace.
#[test]
fn failing_server_is_ejected_and_restored_after_successes() {
    let pool = [0, 1, 2];
    let mut table = SpeedTable::default();
    table.set_pool(pool.to_vec());
    (0..3).for_each(|_| table.on_failure(Duration::ZERO, 1));
    assert_eq!(ejected(&table, &pool), [1]);
    table.on_tick(Duration::from_secs(10));
    (0..3).for_each(|_| table.on_success(Duration::from_secs(10), 1));
    assert_eq!(ejected(&table, &pool), Vec::<usize>::new());
}
