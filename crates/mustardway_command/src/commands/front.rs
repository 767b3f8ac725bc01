//! The command that runs an instance of the packet front.

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use mustardway_front::run;
use mustardway_settings::front::Front;
use mustardway_telemetry::log;
use mustardway_types::instance::Incarnation;

use super::start;
use crate::exit::fail;

/// Variable that names the settings file where the command line does not.
const SETTINGS: &str = "MUSTARDWAY_SETTINGS";

/// Run an instance of the packet front until a signal (TERM or INT) stops it as
/// planned; HUP reads the settings again
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "front",
    error_code(0, "the instance stopped as planned"),
    error_code(1, "it could not start; every problem of the settings is on stderr")
)]
pub struct Run {
    /// the instance's settings file; without it the variable `MUSTARDWAY_SETTINGS`
    /// names the file
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl Run {
    /// Runs the instance.
    pub fn execute(self) -> ExitCode {
        let Some(path) = self.settings.or_else(|| std::env::var_os(SETTINGS).map(PathBuf::from))
        else {
            return fail(&[format!("give --settings, or the variable {SETTINGS}")]);
        };
        let settings = match read(&path) {
            Ok(settings) => settings,
            Err(lines) => return fail(&lines),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let served = match runtime {
            Ok(runtime) => runtime.block_on(serve(settings, path)),
            Err(error) => Err(error),
        };
        match served {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&[error.to_string()]),
        }
    }
}

fn read(path: &PathBuf) -> Result<Front, Vec<String>> {
    let name = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("cannot read {name}: {error}")])?;
    Front::parse(&text).map_err(|problems| {
        problems.into_iter().map(|problem| format!("{name}: {problem}")).collect()
    })
}

async fn serve(settings: Front, path: PathBuf) -> io::Result<()> {
    let log = log::Log::start(start::log_settings(&settings.log), io::stdout());
    let logger = log.logger().clone();
    let ports = mustardway_platform::ports(settings.platform, settings.packets, &logger);
    let started = run_settings(&settings)?;
    let current = RefCell::new(settings);
    let reload = || match read(&path) {
        Ok(next) if next == *current.borrow() => {
            slog::info!(logger, "settings read again, nothing changed");
        }
        Ok(next) => {
            slog::warn!(logger, "settings have changed; they come into force at the next start");
            current.replace(next);
        }
        Err(lines) => {
            slog::error!(logger, "settings not taken"; "problems" => lines.join("; "));
        }
    };
    run::run(started, ports, logger.clone(), reload).await
}

fn run_settings(settings: &Front) -> io::Result<run::Settings> {
    let seed = start::start_number();
    let id = run::peer_id(settings.peer);
    let id = id.ok_or_else(|| io::Error::other("the peer address gives no name"))?;
    Ok(run::Settings {
        id,
        domain: settings.domain.clone(),
        packets: settings.packets,
        ready: settings.ready,
        peer: settings.peer,
        seeds: settings.seeds.clone(),
        grace: settings.grace,
        incarnation: Incarnation(seed),
        seed,
    })
}
