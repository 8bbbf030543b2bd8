use super::*;

/// Returns the text of the error that `Config::parse` reports for these settings.
fn error_text(settings: &str) -> String {
    Config::parse("file", settings).expect_err("the settings are invalid").to_string()
}

/// Guards against an error whose lines are joined, so that the caret no longer points at the
/// invalid character.
#[test]
fn invalid_toml_is_reported_with_a_caret_below_the_invalid_character() {
    let error = error_text("domain = \"a\"\nhost_name = ?\n");
    let lines: Vec<&str> = error.lines().collect();
    assert_eq!(lines[..2], ["file: invalid settings file:", "TOML parse error at line 2, column 13"], "{error}");
    let source = lines.iter().position(|line| line.starts_with("2 | ")).expect("the error quotes the invalid line");
    assert_eq!(lines[source], "2 | host_name = ?", "{error}");
    assert_eq!(lines[source + 1].find('^'), lines[source].find('?'), "{error}");
}

#[test]
fn invalid_value_is_reported_on_one_line() {
    let settings = crate::example::SETTINGS.replace("host_name = \"", "host_name = \"\" # \"");
    assert_eq!(error_text(&settings), "file: host_name: the value is empty; it must be the name of this controller");
}
