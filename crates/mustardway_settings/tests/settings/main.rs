//! Tests of the instance settings, one file per feature.

mod example_file;
mod problem_lines;
mod secret_token;
