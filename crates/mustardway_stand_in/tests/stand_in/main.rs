//! The stand-ins, one file a feature.

mod answer_check;
mod audit_join;
mod deployment_files;
mod fabric_links;
mod figure_spread;
mod platform_folder;
mod platform_switches;
mod platform_watch;
mod support;
mod target_bearing;
mod target_behaviour;
mod target_ledger;
