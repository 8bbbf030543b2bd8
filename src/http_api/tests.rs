use super::*;
use crate::config::Config;
use crate::policy::Policy;
use coralnotch_policy::example::SETTINGS;

/// A controller holds thousands of connections, most of them workers', and
/// makes many anew: each was seven KiB, the longest way of a user's request.
#[test]
fn a_connection_that_waits_is_small() {
    let config = Config::parse("test", SETTINGS).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    let node = Arc::new(Controller::new(config, policy, Instant::now()));
    let r = Request { method: String::new(), path: String::new(), query: String::new(), body: Vec::new() };
    assert!(std::mem::size_of_val(&node.handle_request(r)) <= 1024);
}
