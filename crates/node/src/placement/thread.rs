//! Threads that run the steps of the runners.

use std::collections::BTreeMap;
use std::io;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tanagerford_core::membership::MemberState;
use tanagerford_core::placement::ModelName;
use tanagerford_gossip::Gossip;

use super::{PlannerRunner, SlotRunner};
use crate::stop::StopSignal;

/// Returns the number of live members, including this process. It includes members that load no models, so the members
/// together stay below the rate limit of the weight store.
#[must_use]
pub fn live_member_count(gossip: &Gossip) -> u32 {
    let snapshot = gossip.members();
    let others = snapshot.members.iter();
    let live = others.filter(|member| member.status.state == MemberState::Alive);
    u32::try_from(live.count() + 1).unwrap_or(u32::MAX)
}

/// Runs a step of `runner` every `interval` until `stop` is raised. `live_member_count` returns the number of members
/// that share the rate of the weight store.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub fn start_slot(
    mut runner: SlotRunner,
    interval: Duration,
    stop: StopSignal,
    live_member_count: impl Fn() -> u32 + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    spawn_periodic("engine-orders", interval, stop, move |clock| {
        runner.step(clock, live_member_count());
    })
}

/// Runs a step of `runner` every `interval` until `stop` is raised. `demand` returns the wanted number of servers of
/// each model.
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
    spawn_periodic("planner", interval, stop, move |clock| {
        runner.step(clock, &demand());
    })
}

fn spawn_periodic(
    name: &str,
    interval: Duration,
    stop: StopSignal,
    mut run_step: impl FnMut(&dyn Fn() -> Duration) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let started_at = Instant::now();
    thread::Builder::new().name(name.into()).spawn(move || {
        while !stop.wait(interval) {
            run_step(&|| started_at.elapsed());
        }
    })
}
