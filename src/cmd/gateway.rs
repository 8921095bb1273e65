//! Runs an entry of the users' platform, which calls backend servers without sidecars.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use getopts::Options;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use tanagerford_core::dispatch::{CostSettings, HedgeShare};
use tanagerford_gateway::Gateway;
use tanagerford_gateway::copies::ConfigurationCopies;
use tanagerford_gateway::duty;
use tanagerford_gateway::fleet::Fleet;
use tanagerford_gateway::gateway::{CallerService, GatewaySettings};
use tanagerford_gateway::peers::PeerExchange;
use tanagerford_gateway::preview::RouteQuery;
use tanagerford_http::server::{Server, ServerLimits, ServerStopHandle, Service};
use tanagerford_http::{Body, Reply, read_body};
use tanagerford_operator::check::FileFindings;
use tanagerford_platform::READINESS_PATH;
use tanagerford_platform::cloud::PlatformDuty;
use tanagerford_platform::codec::PlatformCodec;
use tanagerford_platform::document;
use tanagerford_platform::feed::Feed;
use tanagerford_platform::settings::{self, PlatformSettings, SETTINGS_VARIABLE};
use tanagerford_platform::store::Store;
use tokio::runtime::{self, Handle};
use tokio::time::timeout;

use crate::error::Error;
use crate::{process, util};

const USAGE: &str = "\
Usage: tanagerford gateway [OPTIONS]

Runs an entry of the users' platform until SIGTERM. The platform's settings
file is named by --settings or the variable TANAGERFORD_NODE_FILE.

Options:
      --settings FILE        settings file of the platform
      --hedge-share SHARE    share of the calls of each pool that may be sent to a
                             second server while the first one is silent, from
                             0 to 0.05; only calls that may be repeated
                             (default: 0, off)
  -h, --help                 print this text
";

/// Share of the grace period between SIGTERM and SIGKILL after which the process ends even with open connections, as
/// numerator and denominator.
const STOP_DEADLINE_SHARE: (u32, u32) = (15, 16);
/// Time after which the platform opens no new connections to a process that is not ready: two readiness checks, one
/// second apart, with a margin. Then idle connections are closed, and new ones are closed before their request is read,
/// because a stream that begins later could not end before the process does.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2_500);
/// Time before the end of a stopping process at which the calls that no server has answered are refused, so that their
/// callers get a response.
const LAST_REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Interval at which a stopping process checks for open connections.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of entries among which the retry budget is divided until their actual number is known.
const ASSUMED_ENTRIES: usize = 16;

/// Size limit of a request for a preview in bytes; the largest part is the list of a prompt's parts.
const MAX_QUERY_BYTES: usize = 8 * 1024;
/// Timeout for reading a request for a preview.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

type PlatformGateway = Gateway<PlatformCodec>;

pub fn run(arguments: &[String]) -> Result<(), Error> {
    let mut options = Options::new();
    options.optopt("", "settings", "", "FILE");
    options.optopt("", "hedge-share", "", "SHARE");
    let matches = util::parse_options(&mut options, arguments, USAGE)?;
    let hedge_share = matches.opt_str("hedge-share").map(|text| {
        text.parse()
            .map_err(|error| Error::usage(format!("--hedge-share {error}"), USAGE))
    });
    let hedge_share: Option<HedgeShare> = hedge_share.transpose()?;
    let path = match matches.opt_str("settings") {
        Some(path) => path,
        None => std::env::var(SETTINGS_VARIABLE).map_err(|_| {
            Error::usage(
                format!("--settings or {SETTINGS_VARIABLE} is missing"),
                USAGE,
            )
        })?,
    };
    let settings = load(&path)?;
    let logs = process::start_queued_logging()?;
    let result = serve(&path, &settings, hedge_share);
    logs.flush();
    result
}

/// Reads and checks a settings file of the users' platform.
pub fn load(path: &str) -> Result<PlatformSettings, Error> {
    let content = util::read_file(path)?;
    let text =
        String::from_utf8(content).map_err(|error| Error::failed(format!("{path}: {error}")))?;
    settings::decode(&text).map_err(|findings| {
        let name = path.to_owned();
        FileFindings { name, findings }.into()
    })
}

fn serve(
    path: &str,
    settings: &PlatformSettings,
    hedge_share: Option<HedgeShare>,
) -> Result<(), Error> {
    let missing = |name: &str| Error::failed(format!("{path}: no address for {name}"));
    let callers = settings.caller_address.ok_or_else(|| missing("callers"))?;
    let readiness = settings
        .readiness_address
        .ok_or_else(|| missing("readiness"))?;
    let mut signals = Signals::new([SIGTERM, SIGHUP])?;
    let runtime = start_runtime(settings.threads)?;
    let fleet = Arc::new(Fleet::new(settings.zone.clone(), CostSettings::default()));
    let gateway_settings = GatewaySettings {
        budget: settings.retry_budget,
        initial_entry_count: ASSUMED_ENTRIES,
        vm: settings.vm.clone(),
        cpu_millicores: settings.cpu_millicores,
        duty: settings.usage_report.as_ref().map(|report| report.duty),
        hedge_share,
        memory_bytes: settings.memory_bytes,
    };
    let gateway = Gateway::new(PlatformCodec, fleet, gateway_settings, runtime.clone());
    let server = Server::bind(callers, runtime.clone())?;
    let callers = server.address()?;
    let stop = server.stop_handle();
    server.start(Arc::new(CallerService(Arc::clone(&gateway))));
    let readiness_server = Server::bind(readiness, runtime.clone())?;
    let readiness = readiness_server.address()?;
    readiness_server.start(Arc::new(Readiness(Arc::clone(&gateway))));
    let copies = ConfigurationCopies::start(
        Arc::clone(&gateway),
        settings.peer_address,
        document::decode_peer_copy,
        runtime.clone(),
    )?;
    let peers = copies.address();
    PeerExchange::start(Arc::clone(&gateway), copies, &runtime)?;
    if let Some(backend) = PlatformDuty::new(settings) {
        duty::start(Arc::clone(&gateway), backend)?;
    }
    let store = Store::new(settings.store_address);
    Feed::new(store, Arc::clone(&gateway), settings, peers).start()?;
    tracing::info!(vm = settings.vm, zone = settings.zone, %callers, %readiness, store = %settings.store_address, "entry has started");
    for signal in signals.forever() {
        if signal == SIGTERM {
            break;
        }
        match load(path) {
            Ok(reloaded) if reloaded == *settings => {
                tracing::info!("settings reloaded; no changes");
            }
            Ok(_) => tracing::info!("settings changed; restart to apply them"),
            Err(error) => {
                tracing::warn!(
                    ?error,
                    "cannot reload the settings; keeping the current ones"
                );
            }
        }
    }
    stop_gracefully(&gateway, &stop, settings.stop_grace_period);
    Ok(())
}

/// Starts the runtime for connections and timers on its own threads.
fn start_runtime(threads: u32) -> Result<Handle, Error> {
    let mut builder = if threads > 1 {
        let mut builder = runtime::Builder::new_multi_thread();
        builder.worker_threads(usize::try_from(threads).unwrap_or(usize::MAX));
        builder
    } else {
        runtime::Builder::new_current_thread()
    };
    let runtime = builder.enable_all().build()?;
    let handle = runtime.handle().clone();
    let thread = thread::Builder::new().name("worker".to_owned());
    thread.spawn(move || runtime.block_on(std::future::pending::<()>()))?;
    Ok(handle)
}

/// Stops being ready, keeps serving open connections, and returns when all are closed or the stop deadline has passed.
fn stop_gracefully(gateway: &PlatformGateway, stop: &ServerStopHandle, grace: Duration) {
    let began = Instant::now();
    gateway.begin_shutdown();
    tracing::info!(open_connections = stop.open_connections(), "stop has begun");
    let deadline = began + grace * STOP_DEADLINE_SHARE.0 / STOP_DEADLINE_SHARE.1;
    thread::sleep(READINESS_PROPAGATION_TIME);
    let last_refusal = deadline.checked_sub(LAST_REFUSAL_TIME).unwrap_or(began);
    gateway.refuse_calls_beyond(last_refusal);
    stop.begin_shutdown();
    wait_until_closed(stop, last_refusal);
    gateway.end_calls();
    wait_until_closed(stop, deadline);
    // These requests end with the process and have no line of their own.
    tracing::info!(
        open_connections = stop.open_connections(),
        requests_in_flight = gateway.requests_in_flight(),
        "entry has stopped"
    );
}

fn wait_until_closed(stop: &ServerStopHandle, deadline: Instant) {
    while stop.open_connections() > 0 && Instant::now() < deadline {
        thread::sleep(STOP_POLL_INTERVAL);
    }
}

struct Readiness(Arc<PlatformGateway>);

impl Readiness {
    /// Answers where a request would go, which changes nothing.
    async fn preview_route(&self, request: Request<Incoming>) -> (StatusCode, String) {
        if request.method() != Method::POST {
            return (StatusCode::METHOD_NOT_ALLOWED, String::new());
        }
        let reading = read_body(request.into_body(), MAX_QUERY_BYTES);
        let body = match timeout(QUERY_TIMEOUT, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(status)) => return (status, String::new()),
            Err(_) => return (StatusCode::REQUEST_TIMEOUT, String::new()),
        };
        match serde_json::from_slice::<RouteQuery>(&body) {
            Ok(query) if query.is_valid() => {
                let preview = serde_json::json!(self.0.preview_route(&query));
                (StatusCode::OK, preview.to_string())
            }
            Ok(_) => {
                let message = "too many parts, or more tokens in parts than in the prompt";
                (StatusCode::BAD_REQUEST, message.to_owned())
            }
            Err(error) => (StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

impl Service for Readiness {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Reply {
        let (status, body) = match request.uri().path() {
            READINESS_PATH if self.0.is_ready() => (StatusCode::OK, String::new()),
            READINESS_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            "/metrics" => (StatusCode::OK, self.0.metrics_text()),
            "/route" => self.preview_route(request).await,
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut reply = Reply::new(Body::full(body));
        *reply.status_mut() = status;
        reply
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
            propagation_time: Duration::ZERO,
        }
    }
}
