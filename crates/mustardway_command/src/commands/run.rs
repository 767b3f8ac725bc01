//! The command that runs an instance until it is told to stop.

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

use super::patience::Patience;
use super::{convert, start};
use crate::exit::{FAILED, fail};

/// Exit codes of a process that a signal ended start here.
const SIGNAL_BASE: i32 = 128;

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
    /// Runs the instance.
    pub fn execute(&self) -> ExitCode {
        let settings = match self.read() {
            Ok(settings) => settings,
            Err(lines) => return fail(&lines),
        };
        let workers = settings.instance.workers as usize;
        let mut runtime = tokio::runtime::Builder::new_multi_thread();
        match runtime.worker_threads(workers).enable_all().build() {
            Ok(runtime) => runtime.block_on(serve(settings)),
            Err(error) => fail(&[format!("cannot start threads: {error}")]),
        }
    }

    fn read(&self) -> Result<Settings, Vec<String>> {
        let name = self.settings.display();
        let text = std::fs::read_to_string(&self.settings)
            .map_err(|error| vec![format!("cannot read {name}: {error}")])?;
        Settings::parse(&text).map_err(|problems| {
            problems.into_iter().map(|problem| format!("{name}: {problem}")).collect()
        })
    }
}

/// Starts everything, waits for the stop and stops.
async fn serve(settings: Settings) -> ExitCode {
    let mut signals = match Signals::register() {
        Ok(signals) => signals,
        Err(error) => return fail(&[format!("cannot register signals: {error}")]),
    };
    let log = log::Log::stderr(start::log_settings(&settings.log));
    let logger = log.logger().clone();
    let trail = Arc::new(Trail::new(settings.limits.audit as usize, logger.clone()));
    let promises = Arc::new(Counters::default());
    let seed = start::start_number();
    let platform = match client::Client::new(convert::platform_settings(&settings, seed)) {
        Ok(inner) => Patience { inner, wait: settings.platform.wait },
        Err(error) => return fail(&[error.to_string()]),
    };
    let observer = Writer::new(Arc::clone(&trail), Arc::clone(&promises));
    let started = convert::run_settings(&settings, seed);
    let (platform, observer) = (Arc::new(platform), Box::new(observer));
    let started =
        Instance::start(started, platform, observer, Arc::clone(&promises), logger.clone()).await;
    let instance = match started {
        Ok(instance) => instance,
        Err(error) => return fail(&[error.to_string()]),
    };
    let desk = Arc::new(desk(&settings, &instance, seed, trail, promises));
    let admin = convert::admin_settings(&settings);
    let admin = match server::Server::start(admin, Arc::clone(&desk) as _).await {
        Ok(admin) => admin,
        Err(error) => return fail(&[error.to_string()]),
    };
    let meter = match start_meter(&settings, &desk) {
        Ok(meter) => meter,
        Err(error) => return fail(&[format!("cannot send metrics: {error}")]),
    };
    signals.next().await;
    desk.stop();
    let code = tokio::select! {
        () = instance.stop() => ExitCode::SUCCESS,
        signal = signals.next() => {
            let number = signal.number();
            slog::warn!(logger, "a second signal ends the stop at once"; "signal" => number);
            ExitCode::from(u8::try_from(SIGNAL_BASE + number).unwrap_or(FAILED))
        }
    };
    admin.stop();
    meter.lock().send();
    code
}

fn desk(
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

/// Starts to send metrics, to nowhere if the settings name no server.
fn start_meter(settings: &Settings, desk: &Arc<Handler>) -> io::Result<Arc<Mutex<Meter>>> {
    let metrics = match settings.metrics.statsd {
        Some(address) => Metrics::udp(address, &settings.instance.name)?,
        None => Metrics::disabled(),
    };
    let meter = Arc::new(Mutex::new(Meter::new(Arc::clone(desk), metrics)));
    if settings.metrics.statsd.is_some() {
        tokio::spawn(meter::run(Arc::clone(&meter)));
    }
    Ok(meter)
}
