//! Plays days of a deployment in simulated time, from the command line.

use std::process::ExitCode;

use mustardway_emulator::day::Day;
use mustardway_emulator::site::Known;
use mustardway_emulator::world;

/// Play days of a deployment in simulated time: a quiet one, or drawn ones
#[derive(Debug, argh::FromArgs)]
#[argh(error_code(1, "a rule was broken"))]
struct Arguments {
    /// site: frio-austral, san-jose or san-jose-grown
    #[argh(option)]
    site: Known,
    /// days of troubles to draw; without it a quiet day is played
    #[argh(option)]
    days: Option<u64>,
    /// print the decisions of this instance, such as i-0003, or of all
    #[argh(option)]
    log: Option<String>,
    /// seed of the first day
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let site = arguments.site.site();
    let Some(days) = arguments.days else {
        let report = world::play(&site, &Day::quiet(30), arguments.seed);
        print!("{report}");
        return code(report.broken.is_empty());
    };
    let mut is_clean = true;
    for seed in arguments.seed..arguments.seed + days {
        let day = Day::drawn(seed, site.domains.len(), site.services.len());
        let report = match &arguments.log {
            Some(log) => world::play_aloud(&site, &day, seed, listener(log.clone())),
            None => world::play(&site, &day, seed),
        };
        println!("{}: {} troubles, load {:.2}", day.name, day.troubles.len(), day.load);
        print!("{report}");
        is_clean &= report.broken.is_empty();
    }
    code(is_clean)
}

/// Prints the decisions of the instance named `log`.
fn listener(log: String) -> world::Listener {
    Box::new(move |at, instance, note| {
        if log == "all" || log == instance.as_str() {
            println!("{:9.4} {instance} {note:?}", at.as_seconds());
        }
    })
}

fn code(is_clean: bool) -> ExitCode {
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
