//! The mustardway binary.

mod thin;

fn main() -> std::process::ExitCode {
    thin::main()
}
