use super::*;
use std::cell::RefCell;

/// Futures are polled in the order of the list, up to the first one that is ready.
#[test]
fn futures_are_polled_in_order_up_to_the_first_ready() {
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
    let result =
        smol::block_on(race(vec![race_future(pending), race_future(ready("first")), race_future(ready("second"))]));
    assert_eq!(result, "first");
    assert_eq!(*polled.borrow(), ["pending", "first"]);
}
