//! The listeners of a cluster's emulated services.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use smol::net::TcpListener;
use smol::LocalExecutor;

use super::deployment::{ControllerAddresses, ZONES};
use crate::environment::Environment;
use crate::error::{Error, IoContext};
use crate::settings::ClusterSettings;

/// The listeners of a cluster, and the addresses for its controllers.
pub(super) struct Listeners {
    cloud: TcpListener,
    /// The load balancer.
    users: TcpListener,
    /// The state service has one for each controller, so that it can refuse one of them.
    states: Vec<TcpListener>,
    /// Where the controllers are to listen.
    pub(super) controllers: Vec<ControllerAddresses>,
}

impl Listeners {
    /// Opens all listeners; `users_port` is the load balancer's, 0 for any that is free.
    pub(super) async fn open(users_port: u16) -> Result<Listeners, Error> {
        let bind = |port: u16| TcpListener::bind(("127.0.0.1", port));
        let cloud = bind(0).await.context("cloud")?;
        let users = bind(users_port).await.context(format!("port {users_port} for users"))?;
        let (mut states, mut controllers) = (Vec::new(), Vec::new());
        for _ in ZONES {
            states.push(bind(0).await.context("state service")?);
            controllers.push(ControllerAddresses { users: free_address()?, peers: free_address()? });
        }
        Ok(Listeners { cloud, users, states, controllers })
    }

    /// Address of the load balancer.
    pub(super) fn users_address(&self) -> Result<SocketAddr, Error> {
        address(&self.users)
    }

    /// Writes the settings file of each controller.
    pub(super) fn write_settings(&self, dir: &Path, cluster: &ClusterSettings) -> Result<(), Error> {
        let cloud = address(&self.cloud)?;
        for (index, listener) in self.states.iter().enumerate() {
            let file = dir.join(format!("node-{index}.toml"));
            let settings = cluster.controller_file(index, address(listener)?, cloud);
            fs::write(&file, settings).context(file.display().to_string())?;
        }
        Ok(())
    }

    /// Serves the state service, the cloud and the load balancer, and lets time pass for the
    /// machines.  All of it ends with the executor.
    pub(super) fn serve(self, environment: &Rc<Environment>, executor: &Rc<LocalExecutor<'static>>) {
        for (index, listener) in self.states.into_iter().enumerate() {
            executor.spawn(environment.clone().serve_state(executor.clone(), listener, index)).detach();
        }
        executor.spawn(environment.clone().serve_cloud(executor.clone(), self.cloud)).detach();
        executor.spawn(environment.clone().run_clock(executor.clone())).detach();
        executor.spawn(environment.clone().balance(executor.clone(), self.users)).detach();
    }
}

fn address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().context("a listener")
}

/// An address on loopback whose port is free now.
fn free_address() -> Result<SocketAddr, Error> {
    let bound = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    bound.context("a free port")
}
