//! What the commands that run a process share: logs, signals and the result of the stop.

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tanagerford_link::FleetKey;
use tanagerford_node::process::{ProcessSettings, new_incarnation};
use tanagerford_node::stop::StopSignal;
use tanagerford_operator::check::settings::Settings;
use tanagerford_platform::vm_list::VmListClient;
use tracing_subscriber::EnvFilter;

use crate::error::Error;

/// Longest time that a stop waits for work in flight.
pub const STOP_TIMEOUT: Duration = Duration::from_mins(10);

/// Returns the settings of a process that accepts links at `link`.
pub fn settings(settings: &Settings, link: SocketAddr) -> ProcessSettings {
    ProcessSettings {
        process_id: settings.process_id.clone(),
        incarnation: new_incarnation(),
        availability_zone: settings.availability_zone.clone(),
        region: settings.region.clone(),
        fleet_key: FleetKey::new(settings.fleet_key.bytes()),
        link_listen: link,
        gossip_listen: settings.gossip(),
        operator_listen: settings.operators(),
        seeds: settings.seeds.clone(),
        vm_list: settings.platform.vm_list.as_deref().map(VmListClient::new),
    }
}

/// Writes logs as JSON lines to the standard error; `TANAGERFORD_LOG` sets the level.
pub fn start_logging() {
    let filter =
        EnvFilter::try_from_env("TANAGERFORD_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
    if let Err(error) = started {
        let _ = writeln!(
            std::io::stderr(),
            "tanagerford: cannot start logging: {error}"
        );
    }
}

/// Raises `stop` on SIGTERM and SIGINT.
pub fn raise_on_signal(stop: &StopSignal) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let stop = stop.clone();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                tracing::info!(signal, "received a signal; stopping gracefully");
                stop.raise();
            }
        })?;
    Ok(())
}

/// Returns the outcome of a graceful stop.
pub fn finished(finished: bool) -> Result<(), Error> {
    if finished {
        Ok(())
    } else {
        let text = "work was still in flight when the time to stop had passed";
        Err(Error::failed(text))
    }
}
