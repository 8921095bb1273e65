//! Threads around the runners.

use std::collections::BTreeMap;
use std::io;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tanagerford_core::membership::MemberState;
use tanagerford_core::placement::ModelName;
use tanagerford_gossip::Gossip;

use super::{PlannerRunner, SlotRunner};
use crate::stop::StopSignal;

/// Returns the count of live members, this process included. Members that load nothing count as well, which only makes
/// loads slower than the weight store allows.
#[must_use]
pub fn live_members(gossip: &Gossip) -> u32 {
    let snapshot = gossip.members();
    let others = snapshot.members.iter();
    let live = others.filter(|member| member.status.state == MemberState::Alive);
    u32::try_from(live.count() + 1).unwrap_or(u32::MAX)
}

/// Runs `runner` every `interval` until `stop` is raised. `live_members` returns the count of live members that share
/// the weight store's rate.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub fn start_slot(
    mut runner: SlotRunner,
    interval: Duration,
    stop: StopSignal,
    live_members: impl Fn() -> u32 + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    repeat("engine-orders", interval, stop, move |clock| {
        runner.step(clock, live_members());
    })
}

/// Runs `runner` every `interval` until `stop` is raised. `demand` returns the wanted count of servers of each model.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub fn start_planner(
    mut runner: PlannerRunner,
    interval: Duration,
    stop: StopSignal,
    demand: impl Fn() -> BTreeMap<ModelName, usize> + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    repeat("planner", interval, stop, move |clock| {
        runner.step(clock, &demand());
    })
}

fn repeat(
    name: &str,
    interval: Duration,
    stop: StopSignal,
    mut round: impl FnMut(&dyn Fn() -> Duration) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let started_at = Instant::now();
    thread::Builder::new().name(name.into()).spawn(move || {
        while !stop.wait(interval) {
            round(&|| started_at.elapsed());
        }
    })
}
