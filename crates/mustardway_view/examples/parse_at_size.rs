//! Measures the parse time and the memory of one large configuration, and prints them as a table.
//!
//! `cargo run --release -p mustardway_view --example parse_at_size`

use std::fmt::Write;
use std::fs;
use std::time::Instant;

use mustardway_types::revision;
use mustardway_view::change;
use mustardway_view::folder::{self, Files};
use mustardway_view::model::View;

const TARGETS: usize = 17_000;
const SERVICES: usize = 2_300;
const DOMAINS: usize = 12;
const TARGETS_PER_FILE: usize = 1_000;
const RUNS: usize = 15;

fn main() {
    let files = generate_files();
    let mut parse_times = Vec::new();
    let mut change_times = Vec::new();
    let mut views = vec![parse(&files)];
    let before = resident_bytes();
    for _ in 0..RUNS {
        let start = Instant::now();
        let view = parse(&files);
        parse_times.push(start.elapsed().as_secs_f64() * 1e3);
        let start = Instant::now();
        assert!(change::between(&views[0], &view).is_empty());
        change_times.push(start.elapsed().as_secs_f64() * 1e3);
        views.push(view);
    }
    let bytes = (resident_bytes() - before) / RUNS;
    println!("| measure | min | median | max |\n| --- | --- | --- | --- |");
    print_row("parse, ms", parse_times);
    print_row("changes between two, ms", change_times);
    println!("{TARGETS} targets, {SERVICES} services, {} files", files.len());
    println!("files: {} bytes, one more view kept: {bytes} resident bytes", files.bytes());
}

fn parse(files: &Files) -> View {
    let view = folder::parse(revision::Number(1), files).expect("no problems");
    assert_eq!((view.targets.len(), view.services.len()), (TARGETS, SERVICES));
    view
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("status of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS");
    let kibibytes = line.trim().trim_end_matches(" kB").parse::<usize>().expect("number");
    kibibytes * 1_024
}

fn print_row(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let (min, median, max) = (values[0], values[RUNS / 2], values[RUNS - 1]);
    println!("| {name} | {min:.1} | {median:.1} | {max:.1} |");
}

fn generate_files() -> Files {
    let mut files = Files::new();
    files.insert("10-base.ini", base_file().into_bytes());
    for first in (0..TARGETS).step_by(TARGETS_PER_FILE) {
        let mut text = String::new();
        for index in first..TARGETS.min(first + TARGETS_PER_FILE) {
            append_target(&mut text, index);
        }
        files.insert(&format!("20-targets-{first:06}.ini"), text.into_bytes());
    }
    files
}

fn base_file() -> String {
    let mut text = String::from("[defaults target]\nslots = 4\ncold-slots = 1\n");
    for index in 0..DOMAINS {
        append(&mut text, format_args!("[domain domain-{index}]\nregion = ar-centro\n"));
    }
    for index in 0..SERVICES {
        let (high, low) = (index / 250, index % 250);
        let address = format_args!("10.0.{high}.{low}:443");
        append(&mut text, format_args!("[service service-{index}]\naddresses = {address}\n"));
    }
    text
}

fn append_target(text: &mut String, index: usize) {
    let (service, domain) = (index % SERVICES, index % DOMAINS);
    let (high, low) = (index / 250, index % 250);
    append(text, format_args!("[target target-{index}]\nservice = service-{service}\n"));
    append(text, format_args!("domain = domain-{domain}\nendpoint = 10.1.{high}.{low}:7000\n"));
    append(text, format_args!("weight = {}\nconnections = 4000\n\n", 50 + index % 100));
}

fn append(text: &mut String, part: std::fmt::Arguments<'_>) {
    text.write_fmt(part).expect("writing to a string does not fail");
}
