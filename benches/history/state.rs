//! Serves two services on loopback: the emulator's state service, and a cloud that has machine types
//! but no machines.  The benchmark runs the state service without limits.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch::http::{self, Request, Response, ServerLimits};
use coralnotch_emulator::state::{RequestResult, State};
use rmpv::Value;

/// Handles a request to the state service; a watch is polled until it has a response.
async fn handle_state_request(state: Rc<RefCell<State>>, request: Request) -> Response {
    let result = state.borrow_mut().handle_request(&request, Instant::now());
    let watch = match result {
        RequestResult::Response(response) => return response,
        RequestResult::Watch(watch) => watch,
    };
    loop {
        smol::Timer::after(Duration::from_millis(5)).await;
        if let Some(response) = state.borrow_mut().poll_watch(&watch, Instant::now()) {
            return response;
        }
    }
}

/// Serves a state service and a cloud for as long as the process runs.  Calls `ready` with the address of
/// the state service and that of the cloud once both are bound.
pub fn serve(state: State, types: Value, ready: impl FnOnce(SocketAddr, SocketAddr)) {
    let executor = Rc::new(smol::LocalExecutor::new());
    let limits = ServerLimits {
        max_connections: 1000,
        scarce_connections: 1000,
        idle_timeout: Duration::from_secs(600),
        transfer_timeout: Duration::from_secs(60),
        response_timeout: Duration::from_secs(600),
    };
    smol::block_on(executor.run(async {
        let any_port = "127.0.0.1:0";
        let state_listener = smol::net::TcpListener::bind(any_port).await.expect("a free port");
        let cloud_listener = smol::net::TcpListener::bind(any_port).await.expect("a free port");
        ready(
            state_listener.local_addr().expect("the listener is bound"),
            cloud_listener.local_addr().expect("the listener is bound"),
        );
        let state = Rc::new(RefCell::new(state));
        let handle_cloud_request = Rc::new(move |request: Request| {
            let response = match request.path.as_str() {
                "/flavors" => Response::new(200, &types),
                "/rentals" if request.method == "GET" => {
                    Response::new(200, &Value::Map(vec![("polyps".into(), Value::Array(vec![]))]))
                }
                _ => Response::error(503, "no capacity"),
            };
            async move { response }
        });
        let cloud_server = http::serve(executor.clone(), cloud_listener, limits, handle_cloud_request);
        let state_server = http::serve(
            executor.clone(),
            state_listener,
            limits,
            Rc::new(move |request| handle_state_request(state.clone(), request)),
        );
        futures_lite::future::zip(cloud_server, state_server).await;
    }));
}
