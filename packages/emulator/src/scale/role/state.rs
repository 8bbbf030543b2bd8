//! The process that runs the state service of a region.

use std::net::IpAddr;
use std::rc::Rc;

use coralnotch_wire::http::{self, Request, Response};
use fastrand::Rng;
use smol::LocalExecutor;

use super::{control_limits, listen, no_cloud, no_workers, print_ready, StateLimits};
use crate::environment::Environment;
use crate::error::Error;
use crate::scale::control::{path, StateStats};
use crate::state::State;

/// Serves the state service on one listener for each controller, and its counters on a control
/// listener.
pub(super) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    host: IpAddr,
    listeners: usize,
    limits: StateLimits,
) -> Result<(), Error> {
    let mut rng = Rng::with_seed(0);
    let workers = no_workers(&mut rng);
    let environment = Environment::new(State::new(limits.limits()), no_cloud(), workers, Vec::new(), 1.0, rng);
    let control = listen(host).await?;
    let mut addresses = vec![control.address];
    for index in 0..listeners {
        let service = listen(host).await?;
        addresses.push(service.address);
        executor.spawn(environment.clone().serve_state(executor.clone(), service.listener, index)).detach();
    }
    print_ready(&addresses);
    let handler = move |request: Request| {
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", path::STATS) => Response::new(200, &stats(&environment.state.borrow())),
            _ => Response::error(404, "no such path"),
        };
        async move { answer }
    };
    http::serve(executor, control.listener, control_limits(), Rc::new(handler)).await;
    Ok(())
}

fn stats(state: &State) -> StateStats {
    StateStats {
        requests: state.requests,
        refused: state.rate_limited,
        changes: state.writes_applied,
        keys: state.len() as u64,
    }
}
