//! Command line of the simulation. Its texts call a scenario a day and a disruption
//! a trouble.

use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::process::ExitCode;

use mustardway_emulator::comparison;
use mustardway_emulator::experiment::{self, Bound, TABLE_HEADER};
use mustardway_emulator::plot;
use mustardway_emulator::preset::Preset;
use mustardway_emulator::report::Report;
use mustardway_emulator::scenario::Scenario;
use mustardway_emulator::site::Site;
use mustardway_emulator::variant::Variant;
use mustardway_emulator::world;
use mustardway_flow::load::Admission;

/// Shares of the capacity at which placement is compared.
const PLACEMENT_SHARES: [f64; 4] = [0.5, 0.8, 0.95, 1.1];
/// Shares of the capacity at which admission is compared.
const ADMISSION_SHARES: [f64; 5] = [0.8, 1.0, 1.3, 2.0, 4.0];

/// Play days of a deployment in simulated time
#[derive(Debug, argh::FromArgs)]
#[argh(error_code(1, "a rule was broken, or a day failed"))]
struct Arguments {
    /// site: frio-austral, frio-austral-grown, san-jose, san-jose-grown, uneven, contended,
    /// gazette or gazette-grown
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
    Load(LoadExperiment),
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
    /// planned work alone, on machines that run late
    #[argh(switch)]
    planned: bool,
    /// divisor of the site's instances, targets and rates
    #[argh(option, default = "1")]
    divisor: usize,
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

/// Compare placement, or admission, at shares of the capacity of the targets
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadExperiment {
    /// how many seeds, from 1
    #[argh(option, default = "10")]
    seeds: u64,
    /// divisor of the site's instances, targets and rates
    #[argh(option, default = "1")]
    divisor: usize,
    /// threads that run the seeds
    #[argh(option, default = "NonZeroUsize::MIN")]
    threads: NonZeroUsize,
    /// shares of the capacity; the usual ones without it
    #[argh(option)]
    share: Vec<f64>,
    /// compare admission off and by priority, instead of placement
    #[argh(switch)]
    admission: bool,
}

fn main() -> ExitCode {
    let Arguments { site, subcommand } = argh::from_env();
    let site = site.site();
    let is_clean = match subcommand {
        Subcommand::Emulate(emulate) => emulate.run(&site.divided(emulate.divisor)),
        Subcommand::Experiment(experiment) => experiment.run(&site),
        Subcommand::Search(search) => search.run(&site),
        Subcommand::Load(experiment) => experiment.run(site),
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
            Emulate { planned: true, .. } => Scenario::planned(seed, domains, services),
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

impl LoadExperiment {
    fn run(&self, site: Site) -> bool {
        let site = site.divided(self.divisor);
        let instances: usize = site.instances.iter().sum();
        let capacity = site.load_at_capacity();
        println!("{}: {instances} instances, 1.0 is {capacity:.2} times its rates", site.name);
        if self.admission {
            self.compare_admission(&site);
        } else {
            self.compare_placement(&site);
        }
        true
    }

    fn shares(&self, usual: &[f64]) -> Vec<f64> {
        if self.share.is_empty() { usual.to_vec() } else { self.share.clone() }
    }

    fn compare_placement(&self, site: &Site) {
        println!("{}", comparison::PLACEMENT_HEADER);
        for share in self.shares(&PLACEMENT_SHARES) {
            for method in &comparison::METHODS {
                println!("{}", comparison::place(site, method, share, self.seeds, self.threads));
            }
        }
    }

    fn compare_admission(&self, site: &Site) {
        for (name, admission) in [("off", Admission::Off), ("priority", Admission::ByPriority)] {
            println!("admission {name}\n{}", comparison::ADMISSION_HEADER);
            for share in self.shares(&ADMISSION_SHARES) {
                println!("{}", comparison::admit(site, admission, share, self.seeds, self.threads));
            }
        }
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
