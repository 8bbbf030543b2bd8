use super::*;
use crate::config::Config;
use crate::policy::Policy;
use coralnotch_policy::example::SETTINGS;

/// A controller holds thousands of connections, most of them from workers, and opens new ones at a
/// high rate.  Without boxing, each took seven KiB, the size of the largest future of a user's
/// request.
#[test]
fn the_future_of_a_waiting_connection_is_small() {
    let config = Config::parse("test", SETTINGS).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    let controller = Arc::new(Controller::new(config, policy, Instant::now()));
    let request = Request { method: String::new(), path: String::new(), query: String::new(), body: Vec::new() };
    assert!(std::mem::size_of_val(&controller.handle_request(request)) <= 1024);
}
