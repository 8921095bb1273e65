//! Helpers of the commands that run a process: settings, logging, signals and the result of a graceful stop.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tanagerford_kv::vm_list::VmListClient;
use tanagerford_link::FleetKey;
use tanagerford_node::process::{ProcessSettings, new_incarnation};
use tanagerford_node::stop::StopSignal;
use tanagerford_operator::check::settings::Settings;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};

use crate::error::Error;

/// Time for which a graceful stop waits for work in flight.
pub const STOP_TIMEOUT: Duration = Duration::from_mins(10);

/// Converts settings from a file to those of a process that accepts links at `link`. Each call draws a new incarnation.
pub fn process_settings(settings: &Settings, link: SocketAddr) -> ProcessSettings {
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

/// Starts writing logs as JSON lines to the standard error. `TANAGERFORD_LOG` sets the level (default `info`).
pub fn start_logging() {
    if let Err(error) = init_logging(std::io::stderr) {
        let _ = writeln!(
            std::io::stderr(),
            "tanagerford: cannot start logging: {error}"
        );
    }
}

fn init_logging<W>(writer: W) -> Result<(), TryInitError>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter =
        EnvFilter::try_from_env("TANAGERFORD_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .finish()
        .try_init()
}

/// Capacity of the queue of log lines; lines beyond it are dropped and counted.
const LOG_QUEUE_LINES: usize = 4_096;
/// Interval at which queued log lines are written. Waking the writer for each line costs more than writing the line.
const LOG_WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the end of a process waits for its last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Writer that queues log lines for a separate thread, so that a full or closed standard output loses lines instead of
/// blocking requests.
#[derive(Debug, Clone)]
pub struct LogQueue {
    lines: crossbeam::channel::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Waits until the queued lines are written, for at most [`LOG_FLUSH_TIMEOUT`]: the standard output may have no
    /// reader.
    pub fn flush(&self) {
        let end = Instant::now() + LOG_FLUSH_TIMEOUT;
        while !self.lines.is_empty() && Instant::now() < end {
            thread::sleep(LOG_WRITE_INTERVAL / 10);
        }
        // The writer empties the queue just before it writes the lines.
        thread::sleep(LOG_WRITE_INTERVAL / 10);
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts writing logs as JSON lines to the standard output through a queue that never blocks the caller.
/// `TANAGERFORD_LOG` sets the level (default `info`).
pub fn start_queued_logging() -> Result<LogQueue, Error> {
    let (lines, received) = crossbeam::channel::bounded::<Vec<u8>>(LOG_QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = LogQueue {
        lines,
        dropped: Arc::clone(&dropped),
    };
    let writer = queue.clone();
    init_logging(move || writer.clone())
        .map_err(|error| Error::failed(format!("cannot start logging: {error}")))?;
    let thread = thread::Builder::new().name("log-writer".to_owned());
    thread.spawn(move || write_lines(&received, &dropped, &mut std::io::stdout()))?;
    Ok(queue)
}

fn write_lines(
    lines: &crossbeam::channel::Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    output: &mut impl Write,
) {
    loop {
        thread::sleep(LOG_WRITE_INTERVAL);
        let mut batch = Vec::new();
        let mut count = 0;
        for line in lines.try_iter() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{lost}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        if !batch.is_empty() && output.write_all(&batch).is_err() {
            dropped.fetch_add(count + lost, Ordering::Relaxed);
        }
    }
}

/// Raises `stop` on SIGTERM and SIGINT.
pub fn stop_on_signal(stop: &StopSignal) -> Result<(), Error> {
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

/// Converts the result of a graceful stop to that of the command.
pub fn stop_result(is_finished: bool) -> Result<(), Error> {
    if is_finished {
        Ok(())
    } else {
        let text =
            "graceful stop timed out with work in flight or completions of orders not written";
        Err(Error::failed(text))
    }
}
