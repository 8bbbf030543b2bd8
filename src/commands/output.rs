//! Output of the commands on standard output, and their exit codes.

use std::io::Write;

use serde::Serialize;

/// Exit code for invalid settings or other invalid input.
pub(crate) const EXIT_BAD_INPUT: u8 = 2;
/// Exit code for a command whose input is valid but which failed.
pub(crate) const EXIT_FAILURE: u8 = 1;

/// Formats a value for output: as JSON for programs if `as_json`, otherwise as `text` formats it.
pub fn render<T: Serialize>(value: &T, as_json: bool, text: impl FnOnce(&T) -> String) -> String {
    if !as_json {
        return text(value);
    }
    serde_json::to_string_pretty(value).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}

/// Prints a line.  Write errors are ignored, as the reader of a pipe, such as `head`, may exit early.
pub(crate) fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}
