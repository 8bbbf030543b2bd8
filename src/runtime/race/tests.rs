use super::*;
use std::cell::RefCell;

/// The order of the list is the order of polling, and the first that is ready wins.
#[test]
fn polls_in_order_and_returns_the_first_ready() {
    let polled = RefCell::new(Vec::new());
    let pending = async {
        polled.borrow_mut().push("pending");
        std::future::pending::<&str>().await
    };
    let ready = |name: &'static str| {
        let polled = &polled;
        async move {
            polled.borrow_mut().push(name);
            name
        }
    };
    let winner = smol::block_on(race(vec![racer(pending), racer(ready("first")), racer(ready("second"))]));
    assert_eq!(winner, "first");
    assert_eq!(*polled.borrow(), ["pending", "first"]);
}
