//! Command line of the simulation. Its texts call a scenario a day and a disruption
//! a trouble.

use std::path::PathBuf;
use std::process::ExitCode;

use mustardway_emulator::experiment::{self, Bound, TABLE_HEADER};
use mustardway_emulator::plot;
use mustardway_emulator::report::Report;
use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::site::{Preset, Site};
use mustardway_emulator::variant::Variant;
use mustardway_emulator::world;

/// Play days of a deployment in simulated time
#[derive(Debug, argh::FromArgs)]
#[argh(error_code(1, "a rule was broken, or a day failed"))]
struct Arguments {
    /// site: frio-austral, frio-austral-grown, san-jose or san-jose-grown
    #[argh(option)]
    site: Preset,
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(Debug, argh::FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Emulate(Emulate),
    Experiment(Experiment),
    Search(Search),
}

/// Play days of drawn troubles, or quiet ones, and judge the rules
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "emulate")]
struct Emulate {
    /// seed of the first day
    #[argh(option, default = "1")]
    seed: u64,
    /// how many days
    #[argh(option, default = "1")]
    days: u64,
    /// nothing happens on them
    #[argh(switch)]
    quiet: bool,
    /// troubles of every kind
    #[argh(switch)]
    mixed: bool,
    /// troubles of every kind, and a platform that is restored from a copy
    #[argh(switch)]
    restored: bool,
    /// troubles of every kind, and large configurations
    #[argh(switch)]
    large: bool,
    /// print the decisions of this instance, such as i-0003, or of all
    #[argh(option)]
    log: Option<String>,
    /// draw the service over the last day into this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
}

/// Compare ways to place new flows over the same days
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "experiment")]
struct Experiment {
    /// seed of the first day
    #[argh(option, default = "1")]
    seed: u64,
    /// how many days
    #[argh(option, default = "10")]
    days: u64,
    /// traffic against the site's own on all days, without troubles
    #[argh(option)]
    load: Option<f64>,
    /// placement: score, anywhere, rendezvous, least or pair; all without it
    #[argh(option)]
    variant: Vec<Variant>,
}

/// Find days that fail, and print the smallest part of each that still does
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "search")]
struct Search {
    /// seed of the first day
    #[argh(option, default = "1")]
    seed: u64,
    /// how many days
    #[argh(option, default = "100")]
    days: u64,
    /// largest share of a day's requests that may fail
    #[argh(option, default = "1.0")]
    failed: f64,
}

fn main() -> ExitCode {
    let Arguments { site, subcommand } = argh::from_env();
    let site = site.site();
    let is_clean = match subcommand {
        Subcommand::Emulate(emulate) => emulate.run(&site),
        Subcommand::Experiment(experiment) => experiment.run(&site),
        Subcommand::Search(search) => search.run(&site),
    };
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn random_scenario(site: &Site, seed: u64) -> Scenario {
    Scenario::random(seed, site.domains.len(), site.services.len())
}

impl Emulate {
    fn run(&self, site: &Site) -> bool {
        let mut is_clean = true;
        for seed in self.seed..self.seed + self.days {
            let scenario = self.scenario(site, seed);
            let report = match &self.log {
                Some(log) => {
                    world::simulate_with_listener(site, &scenario, seed, listener(log.clone()))
                }
                None => world::simulate(site, &scenario, seed),
            };
            println!(
                "{}: {} troubles, load {:.2}",
                scenario.name,
                scenario.disruptions.len(),
                scenario.load
            );
            print!("{report}");
            is_clean &= report.violations.is_empty() && self.draw(&report, site);
        }
        is_clean
    }

    fn scenario(&self, site: &Site, seed: u64) -> Scenario {
        let (domains, services) = (site.domains.len(), site.services.len());
        match self {
            Emulate { quiet: true, .. } => Scenario::quiet(30),
            Emulate { mixed: true, .. } => Scenario::mixed(seed, domains, services),
            Emulate { restored: true, .. } => Scenario::restored(seed, domains, services),
            Emulate { large: true, .. } => Scenario::large(seed, domains, services),
            _ => random_scenario(site, seed),
        }
    }

    /// Draws the chart if one was requested. Returns false if it cannot be written.
    fn draw(&self, report: &Report, site: &Site) -> bool {
        let Some(path) = &self.plot else { return true };
        match plot::service_level(report, site, path) {
            Ok(()) => true,
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                false
            }
        }
    }
}

impl Experiment {
    fn run(&self, site: &Site) -> bool {
        let mut scenarios = Vec::new();
        for seed in self.seed..self.seed + self.days {
            scenarios.push(match self.load {
                Some(load) => Scenario { load, ..Scenario::quiet(30) },
                None => random_scenario(site, seed),
            });
        }
        let all = Variant::ALL.to_vec();
        let variants = if self.variant.is_empty() { &all } else { &self.variant };
        println!("{TABLE_HEADER}");
        for row in experiment::compare(site, &scenarios, variants) {
            println!("{row}");
        }
        true
    }
}

impl Search {
    fn run(&self, site: &Site) -> bool {
        let bound = Bound { failed: self.failed };
        let mut is_clean = true;
        for seed in self.seed..self.seed + self.days {
            let scenario = random_scenario(site, seed);
            let Some(smallest) = experiment::shrink(site, &scenario, seed, bound) else { continue };
            is_clean = false;
            println!("day {seed} fails, still with {} troubles:", smallest.disruptions.len());
            for disruption in &smallest.disruptions {
                println!("  {:7.3} s {:?}", disruption.at.as_seconds(), disruption.kind);
            }
            print!("{}", world::simulate(site, &smallest, seed));
        }
        is_clean
    }
}

/// Returns a listener that prints the decisions of the instance `log`, or of every
/// instance if `log` is `all`.
fn listener(log: String) -> world::Listener {
    Box::new(move |at, instance, note| {
        if log == "all" || log == instance.as_str() {
            println!("{:9.4} {instance} {note:?}", at.as_seconds());
        }
    })
}
