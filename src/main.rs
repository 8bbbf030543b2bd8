//! The daemon and its command line.
fn main() -> std::process::ExitCode {
    coralnotch::commands::cli::main()
}
