use super::*;
use std::cell::Cell;

/// A control task that becomes ready runs before the next request, however many requests are ready.
#[test]
fn a_ready_control_task_runs_before_the_next_request() {
    let executor = PriorityExecutor::default();
    let (served, worst_delay) = (Rc::new(Cell::new(0u32)), Rc::new(Cell::new(0u32)));
    let (wake, woken) = smol::channel::unbounded::<u32>();
    for _ in 0..5000 {
        let (served, wake) = (served.clone(), wake.clone());
        let request = async move {
            served.set(served.get() + 1);
            let _ = wake.try_send(served.get());
        };
        executor.requests.spawn(request).detach();
    }
    drop(wake);
    let (served_now, worst) = (served.clone(), worst_delay.clone());
    let control_task = executor.control.spawn(async move {
        while let Ok(served_at_wake) = woken.recv().await {
            worst.set(worst.get().max(served_now.get() - served_at_wake));
        }
    });
    smol::block_on(executor.run(control_task));
    assert_eq!((served.get(), worst_delay.get()), (5000, 0));
}
