//! The command that runs an instance until it is told to stop.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::SystemTime;

use mustardway_admin::server;
use mustardway_platform::client;
use mustardway_runtime::desk::Counter;
use mustardway_runtime::run::{self, Instance};
use mustardway_runtime::trail::Writer;
use mustardway_settings::Settings;
use mustardway_settings::settings::{Form, Level};
use mustardway_telemetry::audit::Trail;
use mustardway_telemetry::log;
use mustardway_telemetry::promise::Counters;
use mustardway_types::instance::Incarnation;
use mustardway_types::time::Span;

use crate::signals::Signals;

/// Exit code where the settings are bad or an address cannot be listened on.
const FAILED: u8 = 1;
/// Exit codes of a process that a signal ended start here.
const SIGNAL_BASE: i32 = 128;

/// Run an instance until a signal or a drain stops it (exit 0; 1 where it could
/// not start; 128 and the number of a second signal)
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "run")]
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

fn fail(lines: &[String]) -> ExitCode {
    for line in lines {
        eprintln!("mustardway: {line}");
    }
    ExitCode::from(FAILED)
}

/// Starts everything, waits for the stop and stops.
async fn serve(settings: Settings) -> ExitCode {
    let mut signals = match Signals::register() {
        Ok(signals) => signals,
        Err(error) => return fail(&[format!("cannot register signals: {error}")]),
    };
    let log = log::Log::stderr(log_settings(&settings));
    let logger = log.logger().clone();
    let trail = Arc::new(Trail::new(settings.limits.audit as usize, logger.clone()));
    let promises = Arc::new(Counters::default());
    let seed = start_number();
    let platform = client::Settings::new(settings.platform.addresses.clone(), seed);
    let platform = match client::Client::new(platform) {
        Ok(platform) => platform,
        Err(error) => return fail(&[error.to_string()]),
    };
    let observer = Writer::new(Arc::clone(&trail), Arc::clone(&promises));
    let started = run_settings(&settings, seed);
    let started =
        Instance::start(started, Arc::new(platform), Box::new(observer), logger.clone()).await;
    let instance = match started {
        Ok(instance) => instance,
        Err(error) => return fail(&[error.to_string()]),
    };
    let desk = Arc::new(desk(&settings, &instance, seed, trail, promises));
    let admin = server::Settings { listen: settings.instance.admin, token: None };
    let admin = match server::Server::start(admin, Arc::clone(&desk) as _).await {
        Ok(admin) => admin,
        Err(error) => return fail(&[error.to_string()]),
    };
    signals.next().await;
    desk.draining.store(true, std::sync::atomic::Ordering::Relaxed);
    let code = tokio::select! {
        () = instance.stop() => ExitCode::SUCCESS,
        number = signals.next() => {
            slog::warn!(logger, "a second signal ends the stop at once"; "signal" => number);
            ExitCode::from(u8::try_from(SIGNAL_BASE + number).unwrap_or(FAILED))
        }
    };
    admin.stop();
    code
}

/// Microseconds since 1970: greater with every start.
fn start_number() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Span::from(since.unwrap_or_default()).0
}

fn log_settings(settings: &Settings) -> log::Settings {
    let form = match settings.log.form {
        Form::Json => log::Form::Json,
        Form::Terminal => log::Form::Terminal,
    };
    let level = match settings.log.level {
        Level::Error => log::Level::Error,
        Level::Warning => log::Level::Warning,
        Level::Info => log::Level::Info,
        Level::Debug | Level::Trace => log::Level::Debug,
    };
    log::Settings { form, level }
}

fn run_settings(settings: &Settings, seed: u64) -> run::Settings {
    run::Settings {
        id: settings.instance.name.clone(),
        domain: settings.instance.domain.clone(),
        front: settings.instance.front,
        peer: settings.instance.peer,
        heartbeat: settings.timing.heartbeat,
        lease: settings.timing.lease,
        drain: settings.timing.drain,
        packet_max: settings.limits.packet,
        flows_max: settings.limits.flows as usize,
        seed,
        incarnation: Incarnation(seed),
        cut_allowed: false,
    }
}

fn desk(
    settings: &Settings,
    instance: &Instance,
    seed: u64,
    trail: Arc<Trail>,
    promises: Arc<Counters>,
) -> Counter {
    Counter {
        node: Arc::clone(&instance.node),
        report: Arc::clone(&instance.report),
        orders: instance.orders.clone(),
        domain: settings.instance.domain.clone(),
        incarnation: Incarnation(seed),
        trail,
        promises,
        draining: AtomicBool::new(false),
        started: instance.node.clock.now(),
    }
}
