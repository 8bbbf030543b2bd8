//! A state service with a long history and a cloud without machines, on
//! loopback: the emulator's, without its limits.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch::http::{self, Request, Response, ServerLimits};
use coralnotch_emulator::state::{State, Step};
use rmpv::Value;

async fn answer(state: Rc<RefCell<State>>, r: Request) -> Response {
    let step = state.borrow_mut().ask(&r, Instant::now());
    let watch = match step {
        Step::Answer(a) => return a,
        Step::Watch(w) => w,
    };
    loop {
        smol::Timer::after(Duration::from_millis(5)).await;
        if let Some(a) = state.borrow_mut().news(&watch, Instant::now()) {
            return a;
        }
    }
}

/// Serves a state service and a cloud; calls back with their addresses.
pub fn serve(state: State, types: Value, ready: impl FnOnce(SocketAddr, SocketAddr)) {
    let ex = Rc::new(smol::LocalExecutor::new());
    let limits = ServerLimits {
        connections: 1000,
        scarce: 1000,
        idle: Duration::from_secs(600),
        arrive: Duration::from_secs(60),
        answer: Duration::from_secs(600),
    };
    smol::block_on(ex.run(async {
        let local = "127.0.0.1:0";
        let store = smol::net::TcpListener::bind(local).await.expect("a free port");
        let cloud = smol::net::TcpListener::bind(local).await.expect("a free port");
        ready(store.local_addr().expect("bound"), cloud.local_addr().expect("bound"));
        let state = Rc::new(RefCell::new(state));
        let no_machines = Rc::new(move |r: Request| {
            let answer = match r.path.as_str() {
                "/flavors" => Response::new(200, &types),
                "/rentals" if r.method == "GET" => {
                    Response::new(200, &Value::Map(vec![("polyps".into(), Value::Array(vec![]))]))
                }
                _ => Response::refuse(503, "no capacity"),
            };
            async move { answer }
        });
        let clouds = http::serve(ex.clone(), cloud, limits, no_machines);
        let stores = http::serve(ex.clone(), store, limits, Rc::new(move |r| answer(state.clone(), r)));
        futures_lite::future::zip(clouds, stores).await;
    }));
}
