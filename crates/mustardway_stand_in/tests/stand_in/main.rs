//! Tests of the stand-ins, one module per feature.

mod answer_check;
mod audit_join;
mod deployment_files;
mod fabric_links;
mod figure_spread;
mod platform_faults;
mod platform_folder;
mod platform_watch;
mod support;
mod target_behaviour;
mod target_capacity;
mod target_ledger;
