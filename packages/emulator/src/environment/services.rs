//! HTTP servers of the state service and the cloud, and the clock that advances machines and cloud.

use std::rc::Rc;
use std::time::Instant;

use coralnotch_wire::http::{self, Request, Response};
use smol::net::TcpListener;
use smol::LocalExecutor;

use super::{server_limits, Environment, TICK_INTERVAL};
use crate::state::{RequestResult, Watch};

impl Environment {
    /// Serves the state service to one controller, which has a listener of its own so that faults can
    /// be injected for that controller alone.
    pub async fn serve_state(
        self: Rc<Self>,
        executor: Rc<LocalExecutor<'static>>,
        listener: TcpListener,
        controller: usize,
    ) {
        let handler = move |request: Request| {
            let environment = self.clone();
            async move { environment.answer_state_request(controller, &request).await }
        };
        http::serve(executor, listener, server_limits(), Rc::new(handler)).await;
    }

    async fn answer_state_request(&self, controller: usize, request: &Request) -> Response {
        let delay = self.state_response_delay.get();
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
        }
        if self.refused_controllers.borrow().contains(&controller) {
            return Response::error(503, "trouble");
        }
        let result = self.state.borrow_mut().handle_request(request, Instant::now());
        match result {
            RequestResult::Response(response) => response,
            RequestResult::Watch(watch) => self.wait_for_changes(controller, &watch).await,
        }
    }

    async fn wait_for_changes(&self, controller: usize, watch: &Watch) -> Response {
        loop {
            smol::Timer::after(TICK_INTERVAL).await;
            if self.refused_controllers.borrow().contains(&controller) {
                return Response::error(503, "trouble");
            }
            if let Some(response) = self.state.borrow_mut().poll_watch(watch, Instant::now()) {
                return response;
            }
        }
    }

    /// Serves the cloud to all controllers.
    pub async fn serve_cloud(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>, listener: TcpListener) {
        let worker_executor = executor.clone();
        let handler = move |request: Request| {
            let (answer, events) =
                self.cloud.borrow_mut().handle_request(&request, &mut self.rng.borrow_mut(), Instant::now());
            self.apply_cloud_events(&worker_executor, events);
            async move { answer }
        };
        http::serve(executor, listener, server_limits(), Rc::new(handler)).await;
    }

    /// Advances the machines and the cloud at a fixed interval until the future is dropped.
    pub async fn run_clock(self: Rc<Self>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            smol::Timer::after(TICK_INTERVAL).await;
            let now = Instant::now();
            self.worker_pool.borrow_mut().step(now);
            self.wake_changed_workers();
            let events = self.cloud.borrow_mut().step(now);
            self.apply_cloud_events(&executor, events);
        }
    }
}
