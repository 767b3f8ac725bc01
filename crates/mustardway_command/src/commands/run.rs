//! The command that runs an instance of the request interface until a signal stops it.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use mustardway_admin::server;
use mustardway_front::signals::Signals;
use mustardway_reader::client;
use mustardway_runtime::admin::Handler;
use mustardway_runtime::meter::{self, Meter};
use mustardway_runtime::run::Instance;
use mustardway_runtime::trail::Writer;
use mustardway_settings::Settings;
use mustardway_telemetry::audit::Trail;
use mustardway_telemetry::log;
use mustardway_telemetry::metrics::Metrics;
use mustardway_telemetry::promise::Counters;
use mustardway_types::instance::Incarnation;
use parking_lot::Mutex;

use super::bounded_wait::BoundedWait;
use super::{convert, start};
use crate::exit::{FAILED, fail};

/// Added to the number of the signal that ended the process, for its exit code, as shells
/// do.
const SIGNAL_EXIT_CODE_BASE: i32 = 128;

/// Run an instance until a signal (TERM, INT or HUP) stops it as planned
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "run",
    error_code(0, "the instance stopped as planned"),
    error_code(1, "it could not start; every problem of the settings is on stderr"),
    error_code(129, "a second signal (HUP) ended the stop"),
    error_code(130, "a second signal (INT) ended the stop"),
    error_code(143, "a second signal (TERM) ended the stop")
)]
pub struct Run {
    /// the instance's settings file
    #[argh(option)]
    settings: PathBuf,
}

impl Run {
    /// Runs the instance until a signal stops it, and returns the exit code.
    pub fn execute(&self) -> ExitCode {
        let settings = match self.read() {
            Ok(settings) => settings,
            Err(lines) => return fail(&lines),
        };
        let workers = settings.instance.workers as usize;
        let mut runtime = tokio::runtime::Builder::new_multi_thread();
        match runtime.worker_threads(workers).enable_all().build() {
            Ok(runtime) => runtime.block_on(serve(settings)),
            Err(error) => fail(&[format!("cannot start worker threads: {error}")]),
        }
    }

    /// Reads the settings file. Returns every problem as one line of text.
    fn read(&self) -> Result<Settings, Vec<String>> {
        let name = self.settings.display();
        let text = std::fs::read_to_string(&self.settings)
            .map_err(|error| vec![format!("cannot read {name}: {error}")])?;
        Settings::parse(&text).map_err(|problems| {
            problems.into_iter().map(|problem| format!("{name}: {problem}")).collect()
        })
    }
}

/// Starts all components, waits for a signal, and stops them as planned. A second signal
/// ends the stop at once.
async fn serve(settings: Settings) -> ExitCode {
    let mut signals = match Signals::register() {
        Ok(signals) => signals,
        Err(error) => return fail(&[format!("cannot install signal handlers: {error}")]),
    };
    let log = log::Log::stderr(start::log_settings(&settings.log));
    let logger = log.logger().clone();
    let trail = Arc::new(Trail::new(settings.limits.audit as usize, logger.clone()));
    let promises = Arc::new(Counters::default());
    let seed = start::unix_micros();
    let platform = match client::Client::new(convert::platform_settings(&settings, seed)) {
        Ok(inner) => BoundedWait { inner, wait_max: settings.platform.wait },
        Err(error) => return fail(&[error.to_string()]),
    };
    let observer = Writer::new(Arc::clone(&trail), Arc::clone(&promises));
    let run_settings = convert::run_settings(&settings, seed);
    let (platform, observer) = (Arc::new(platform), Box::new(observer));
    let started =
        Instance::start(run_settings, platform, observer, Arc::clone(&promises), logger.clone())
            .await;
    let instance = match started {
        Ok(instance) => instance,
        Err(error) => return fail(&[error.to_string()]),
    };
    let handler = Arc::new(handler(&settings, &instance, seed, trail, promises));
    let admin = convert::admin_settings(&settings);
    let admin = match server::Server::start(admin, Arc::clone(&handler) as _).await {
        Ok(admin) => admin,
        Err(error) => return fail(&[error.to_string()]),
    };
    let meter = match start_meter(&settings, &handler) {
        Ok(meter) => meter,
        Err(error) => return fail(&[format!("cannot send metrics: {error}")]),
    };
    signals.next().await;
    handler.stop();
    let code = tokio::select! {
        () = instance.stop() => ExitCode::SUCCESS,
        signal = signals.next() => {
            let number = signal.number();
            slog::warn!(logger, "second signal received, exiting without completing the planned stop"; "signal" => number);
            ExitCode::from(u8::try_from(SIGNAL_EXIT_CODE_BASE + number).unwrap_or(FAILED))
        }
    };
    admin.stop();
    meter.lock().send();
    code
}

/// Returns the handler of the administration API.
fn handler(
    settings: &Settings,
    instance: &Instance,
    seed: u64,
    trail: Arc<Trail>,
    promises: Arc<Counters>,
) -> Handler {
    Handler {
        node: Arc::clone(&instance.node),
        report: Arc::clone(&instance.report),
        orders: instance.orders.clone(),
        domain: settings.instance.domain.clone(),
        incarnation: Incarnation(seed),
        trail,
        promises,
        draining: AtomicBool::new(false),
        stopping: AtomicBool::new(false),
        started: instance.node.clock.now(),
    }
}

/// Starts the meter. Without a statsd server in the settings it sends nothing.
fn start_meter(settings: &Settings, handler: &Arc<Handler>) -> io::Result<Arc<Mutex<Meter>>> {
    let metrics = match settings.metrics.statsd {
        Some(address) => Metrics::udp(address, &settings.instance.name)?,
        None => Metrics::disabled(),
    };
    let meter = Arc::new(Mutex::new(Meter::new(Arc::clone(handler), metrics)));
    if settings.metrics.statsd.is_some() {
        tokio::spawn(meter::run(Arc::clone(&meter)));
    }
    Ok(meter)
}
