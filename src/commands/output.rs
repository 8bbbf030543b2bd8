//! What commands print on standard output, and their exit codes.

use std::io::Write;

use serde::Serialize;

/// Exit code for settings and other input that can't be used.
pub(crate) const EXIT_BAD_INPUT: u8 = 2;
/// Exit code for a command that was tried and failed.
pub(crate) const EXIT_FAILURE: u8 = 1;

/// A value as a command prints it: JSON for programs, else as `text` renders it.
pub fn render<T: Serialize>(value: &T, as_json: bool, text: impl FnOnce(&T) -> String) -> String {
    if !as_json {
        return text(value);
    }
    serde_json::to_string_pretty(value).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}

/// Prints a line.  A reader that has gone away, such as `head`, is no failure.
pub(crate) fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}
