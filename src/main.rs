//! Entry point of the mustardway binary. The command line is in the crate
//! `mustardway_command`.

fn main() -> std::process::ExitCode {
    mustardway_command::main()
}
