//! Settings of a small deployment, for tests and experiments.

/// The text of a settings file for a deployment of three controllers without teams or zones.
pub const SETTINGS: &str = r#"
host_name = "a"
domain = "z0"
bind = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment]
size = 3
[deployment.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 20.0
gang_peer_s = 5.0
cancel_s = 60.0
[deployment.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 8
[deployment.cloud]
rps = 5.0
list_lag_s = 5.0
[deployment.quota]
cores = 0.1
ram_mb = 136.0
fd_limit = 1000
"#;
