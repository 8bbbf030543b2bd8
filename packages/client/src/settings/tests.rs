use super::*;

/// Returns the validation error of the default settings after `change`.
fn validation_error_after(change: fn(&mut Settings)) -> Option<SettingsError> {
    let mut settings = Settings::new(vec![SocketAddr::from(([127, 0, 0, 1], 1))]);
    change(&mut settings);
    settings.validate().err()
}

#[test]
fn each_invalid_setting_is_reported_with_its_error() {
    use SettingsError::*;
    assert_eq!(validation_error_after(|_| {}), None);
    assert_eq!(validation_error_after(|s| s.endpoints.clear()), Some(NoEndpoint));
    assert_eq!(validation_error_after(|s| s.max_in_flight = 0), Some(ZeroLimit));
    assert_eq!(validation_error_after(|s| s.max_unfinished_jobs = 0), Some(ZeroLimit));
    assert_eq!(validation_error_after(|s| s.change_buffer = 0), Some(ZeroLimit));
    assert_eq!(validation_error_after(|s| s.request_timeout = Duration::ZERO), Some(ZeroDuration));
    assert_eq!(validation_error_after(|s| s.timing.max_poll_interval = Duration::ZERO), Some(ZeroDuration));
    assert_eq!(validation_error_after(|s| s.timing.min_poll_interval = Duration::from_secs(31)), Some(InvertedRange));
    assert_eq!(validation_error_after(|s| s.timing.backoff.initial = Duration::from_secs(31)), Some(InvertedRange));
    assert_eq!(validation_error_after(|s| s.retry_ratio = -0.1), Some(EmptyRetryBudget));
    assert_eq!(validation_error_after(|s| s.retry_ratio = f64::NAN), Some(EmptyRetryBudget));
    assert_eq!(validation_error_after(|s| s.min_retries_per_s = 0.0), Some(EmptyRetryBudget));
}
