//! Merges a folder of configuration files and prints the view or every problem.
//!
//! `cargo run -p mustardway_view --example merge_folder [FOLDER]`

use std::path::PathBuf;
use std::process::ExitCode;

use mustardway_types::revision;
use mustardway_view::model::View;
use mustardway_view::{directory, folder};

fn main() -> ExitCode {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/folder");
    let path = std::env::args_os().nth(1).map_or_else(|| example.into(), PathBuf::from);
    let files = match directory::read(&path) {
        Ok(files) => files,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    match folder::parse(revision::Number(1), &files) {
        Ok(view) => {
            print_view(&view);
            ExitCode::SUCCESS
        }
        Err(problems) => {
            for problem in problems {
                eprintln!("{problem}");
            }
            ExitCode::FAILURE
        }
    }
}

fn print_view(view: &View) {
    println!("digest {}", view.digest);
    for (name, domain) in &view.domains {
        println!("domain {name} in {}: {:?}", domain.region, domain.state);
    }
    for (address, service) in &view.addresses {
        println!("address {address} of {service}");
    }
    for (id, target) in &view.targets {
        println!("target {id} of {} in {}: {:?}", target.service, target.domain, target.state);
    }
}
