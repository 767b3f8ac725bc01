//! Tests of the configuration in force, one file per feature.

mod any_text;
mod changes;
mod digest;
mod directory;
mod file_bounds;
mod fixed_cases;
mod history;
mod merge_model;
mod merge_order;
mod problem_lines;
mod quarantine;
mod removals;
mod sample;
