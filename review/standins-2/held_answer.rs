//! Case 7: an entry is cut off from the store while the servers of a pool are replaced by ones of a newer version.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::early_use::{Fleet, NEW, OLD};
use crate::kit::Record;

/// Time without changes before the partition.
const QUIET: Duration = Duration::from_millis(600);
/// Times from the beginning of the partition, which lasts as long as in `day.toml`.
const CONFIGURE: Duration = Duration::from_millis(200);
const NEW_REGISTER: Duration = Duration::from_millis(300);
const OLD_DRAIN: Duration = Duration::from_millis(1_000);
const CALLERS_SEND: Duration = Duration::from_millis(2_950);
const HEAL: Duration = Duration::from_millis(3_200);
/// Time from the end of the partition until the callers' connections are reset.
const RESET: Duration = Duration::from_millis(100);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let fleet = match Fleet::start(record) {
        Ok(fleet) => fleet,
        Err(reason) => return Outcome::CannotRun(reason),
    };
    // The entries ask the store for changes again a moment after each one, so both wait for an answer when the partition begins.
    fleet.configure(12_001);
    thread::sleep(QUIET);
    let began = Instant::now();
    let wait_until = |time: Duration| thread::sleep(time.saturating_sub(began.elapsed()));
    if has_trouble {
        fleet.link.partition();
        record.note("the second entry is cut off from the store");
    }
    wait_until(CONFIGURE);
    fleet.configure(12_002);
    wait_until(NEW_REGISTER);
    fleet.register(NEW, "ready", "v2");
    wait_until(OLD_DRAIN);
    fleet.register(OLD, "draining", "v1");
    wait_until(CALLERS_SEND);
    thread::scope(|scope| {
        scope.spawn(|| {
            wait_until(HEAL);
            fleet.link.heal();
            record.note("the partition has healed");
        });
        fleet.call(|| wait_until(HEAL + RESET))
    })
}
