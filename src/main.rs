//! The mustardway binary.
fn main() {}
