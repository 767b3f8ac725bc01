//! Tests of the instance settings, one file a feature.

mod example_file;
mod problem_lines;
mod secret_token;
