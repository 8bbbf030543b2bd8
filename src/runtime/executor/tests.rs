use super::*;
use std::cell::Cell;

/// Seen with four thousand workers: reports waited behind decisions, and what
/// was decided before was lost with the leases of those not heard.
#[test]
fn a_wait_is_seen_at_once_and_fades() {
    let (lag, s) = (SchedulingDelay::default(), Duration::from_millis);
    lag.record(s(800));
    assert_eq!(lag.now(), s(800));
    lag.record(s(2000));
    assert_eq!(lag.now(), s(2000));
    for _ in 0..12 {
        lag.record(Duration::ZERO);
    }
    assert!(lag.now() < s(1));
}

/// However many requests are ready, a duty that becomes ready is next.
#[test]
fn a_duty_waits_for_no_more_than_one_request() {
    let turns = PriorityExecutor::default();
    let (served, worst) = (Rc::new(Cell::new(0u32)), Rc::new(Cell::new(0u32)));
    let (wake, woken) = smol::channel::unbounded::<u32>();
    for _ in 0..5000 {
        let (served, wake) = (served.clone(), wake.clone());
        let request = async move {
            served.set(served.get() + 1);
            let _ = wake.try_send(served.get());
        };
        turns.requests.spawn(request).detach();
    }
    drop(wake);
    let (s, w) = (served.clone(), worst.clone());
    let duty = turns.control.spawn(async move {
        while let Ok(at) = woken.recv().await {
            w.set(w.get().max(s.get() - at));
        }
    });
    smol::block_on(turns.run(duty));
    assert_eq!((served.get(), worst.get()), (5000, 0));
}
