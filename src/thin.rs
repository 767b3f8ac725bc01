//! Starts an instance from its settings file.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::SystemTime;

use mustardway_platform::client;
use mustardway_runtime::control::{Adopted, Observer};
use mustardway_runtime::run::{Instance, Settings};
use mustardway_telemetry::log;
use mustardway_types::instance::Incarnation;
use mustardway_types::revision;
use mustardway_types::size::Bytes;
use mustardway_types::time::Span;
use mustardway_view::ini;
use mustardway_view::problem::List;
use tokio::signal::unix::{SignalKind, signal};

/// A load balancer whose instances share nothing but what the platform publishes
#[derive(argh::FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
}

/// Run an instance
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// settings file
    #[argh(option)]
    settings: String,
}

struct Log(slog::Logger);

impl Observer for Log {
    fn adopted(&self, adopted: &Adopted) {
        slog::info!(self.0, "in force"; "revision" => %adopted.revision);
    }

    fn refused(&self, revision: revision::Number, problems: &[String]) {
        slog::warn!(self.0, "refused"; "revision" => %revision, "problems" => ?problems);
    }

    fn everywhere(&self, revision: revision::Number) {
        slog::info!(self.0, "in force everywhere"; "revision" => %revision);
    }
}

pub fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Command::Run(run) = arguments.command;
    let text = std::fs::read_to_string(&run.settings).expect("settings");
    let mut problems = List::default();
    let document = ini::read(&run.settings, &text, &mut problems);
    let get = |section: &str, key: &str| {
        document
            .sections
            .iter()
            .filter(|s| s.name == section)
            .flat_map(|s| &s.entries)
            .find(|e| e.key == key)
            .map(|e| e.value.to_string())
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("tokio");
    runtime.block_on(async {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("clock");
        let settings = Settings {
            id: get("instance", "name").expect("name").parse().expect("name"),
            domain: get("instance", "domain").expect("domain").parse().expect("domain"),
            front: get("instance", "front").expect("front").parse().expect("front"),
            peer: get("instance", "peer").expect("peer").parse().expect("peer"),
            heartbeat: Span::millis(250),
            lease: Span::millis(1500),
            drain: Span::seconds(20),
            packet_max: Bytes(1 << 20),
            flows_max: 500_000,
            seed: now.as_micros() as u64,
            incarnation: Incarnation(now.as_micros() as u64),
            cut_allowed: false,
        };
        let log = log::Log::stderr(log::Settings {
            form: log::Form::Terminal,
            level: "info".parse().expect("level"),
        });
        let logger = log.logger().clone();
        let addresses = get("platform", "addresses").expect("platform");
        let addresses = addresses.split(',').map(|a| a.trim().parse().expect("address")).collect();
        let platform =
            client::Client::new(client::Settings::new(addresses, settings.seed)).expect("client");
        let mut term = signal(SignalKind::terminate()).expect("signal");
        let instance =
            Instance::start(settings, Arc::new(platform), Box::new(Log(logger.clone())), logger)
                .await
                .expect("start");
        term.recv().await;
        instance.stop().await;
    });
    ExitCode::SUCCESS
}
