//! The command that runs an instance of the packet front.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use mustardway_flow::load;
use mustardway_front::run::{self, ReloadableSettings, SettingsSource};
use mustardway_settings::front::{Admission, Front, Placement};
use mustardway_telemetry::log;
use mustardway_types::instance::Incarnation;
use slog::Logger;

use super::start;
use crate::exit::fail;

/// Environment variable that names the settings file if the command line does not.
const SETTINGS_VARIABLE: &str = "MUSTARDWAY_SETTINGS";
/// Time within which a settings file is written that is being replaced.
const WRITE_TIME: Duration = Duration::from_millis(500);
/// Interval between two reads of a settings file that is not valid.
const READ_INTERVAL: Duration = Duration::from_millis(20);

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
    /// Runs the instance until a signal stops it, and returns the exit code.
    pub fn execute(self) -> ExitCode {
        let Some(path) =
            self.settings.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        else {
            return fail(&[format!(
                "give --settings, or set the environment variable {SETTINGS_VARIABLE}"
            )]);
        };
        let settings = match read_written(&path) {
            Ok(settings) => settings,
            Err(lines) => return fail(&lines),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let result = match runtime {
            Ok(runtime) => runtime.block_on(serve(settings, path)),
            Err(error) => Err(error),
        };
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&[error.to_string()]),
        }
    }
}

/// Reads the settings file. Returns every problem as one line of text.
fn read(path: &Path) -> Result<Front, Vec<String>> {
    let name = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("cannot read {name}: {error}")])?;
    Front::parse(&text).map_err(|problems| {
        problems.into_iter().map(|problem| format!("{name}: {problem}")).collect()
    })
}

/// Reads the settings file, once more if it is being written. Returns every problem as one
/// line of text.
fn read_written(path: &Path) -> Result<Front, Vec<String>> {
    let started = Instant::now();
    loop {
        let settings = read(path);
        if settings.is_ok() || started.elapsed() >= WRITE_TIME {
            return settings;
        }
        thread::sleep(READ_INTERVAL);
    }
}

/// Serves packets until the instance has stopped.
async fn serve(settings: Front, path: PathBuf) -> io::Result<()> {
    let log = log::Log::start(start::log_settings(&settings.log), io::stdout());
    let logger = log.logger().clone();
    let adapter = mustardway_platform::adapter(settings.platform, settings.packets, &logger);
    let run_settings = run_settings(&settings)?;
    let mut file =
        File { stamp: Stamp::of(&path), path, current: settings, logger: logger.clone() };
    run::run(run_settings, adapter, logger, &mut file).await
}

/// Returns the settings of the run. The start time is both incarnation and random seed.
fn run_settings(settings: &Front) -> io::Result<run::Settings> {
    let seed = start::unix_micros();
    let id = run::peer_id(settings.advertise);
    let id = id.ok_or_else(|| {
        io::Error::other("the advertised peer address gives no valid instance id")
    })?;
    Ok(run::Settings {
        id,
        domain: settings.domain.clone(),
        packets: settings.packets,
        ready: settings.ready,
        peer: settings.peer,
        advertise: settings.advertise,
        seeds: settings.seeds.clone(),
        metrics: settings.metrics,
        grace: settings.grace,
        load: load_settings(settings),
        incarnation: Incarnation(seed),
        seed,
    })
}

/// Returns what load estimates are used for.
fn load_settings(settings: &Front) -> load::Settings {
    load::Settings {
        placement: match settings.placement {
            Placement::Outstanding => load::Placement::Outstanding,
            Placement::ExpectedTime => load::Placement::ExpectedTime,
        },
        admission: match settings.admission {
            Admission::Off => load::Admission::Off,
            Admission::Priority => load::Admission::ByPriority,
        },
    }
}

/// Modification time and length of a file. A difference means that the file has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stamp {
    modified: Option<SystemTime>,
    bytes: u64,
}

impl Stamp {
    /// Returns the stamp of the file at `path`, or `None` if the file cannot be found.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(Stamp { modified: metadata.modified().ok(), bytes: metadata.len() })
    }
}

/// The settings file of a running instance.
struct File {
    path: PathBuf,
    /// Stamp of the file when it was last read, also if it was not valid then.
    stamp: Option<Stamp>,
    /// The last valid settings read from the file.
    current: Front,
    logger: Logger,
}

impl SettingsSource for File {
    fn read(&mut self) -> Option<ReloadableSettings> {
        self.stamp = Stamp::of(&self.path);
        let next = match read(&self.path) {
            Ok(next) => next,
            Err(lines) => {
                slog::error!(self.logger, "settings not taken"; "problems" => lines.join("; "));
                return None;
            }
        };
        if next == self.current {
            slog::info!(self.logger, "settings reloaded, nothing changed");
            return None;
        }
        let reloadable = ReloadableSettings { seeds: next.seeds.clone(), grace: next.grace };
        let with_current_reloadable =
            Front { seeds: self.current.seeds.clone(), grace: self.current.grace, ..next.clone() };
        if with_current_reloadable == self.current {
            slog::info!(self.logger, "changed settings are in force");
        } else {
            slog::warn!(
                self.logger,
                "changed settings are in force in part; the rest of them \
                comes into force at the next start"
            );
        }
        self.current = next;
        Some(reloadable)
    }

    fn poll(&mut self) -> Option<ReloadableSettings> {
        if Stamp::of(&self.path) == self.stamp {
            return None;
        }
        slog::info!(self.logger, "the settings file has changed without a signal");
        self.read()
    }
}
