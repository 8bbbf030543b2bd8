//! Entry point of the `coralnotch` program: the controller daemon and the client commands.
fn main() -> std::process::ExitCode {
    coralnotch::commands::cli::main()
}
