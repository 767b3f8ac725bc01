//! The mustardway binary: see the crate `mustardway_command`.

fn main() -> std::process::ExitCode {
    mustardway_command::main()
}
