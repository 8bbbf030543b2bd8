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

/// The bound listeners of the emulated services, and the addresses reserved for the controllers.
pub(super) struct Listeners {
    /// Listener of the cloud.
    cloud: TcpListener,
    /// Listener of the load balancer.
    users: TcpListener,
    /// Listeners of the state service, one for each controller, so that the service can refuse the
    /// requests of a single controller.
    states: Vec<TcpListener>,
    /// Addresses on which the controllers are to listen, by the index of the controller.
    pub(super) controllers: Vec<ControllerAddresses>,
}

impl Listeners {
    /// Opens all listeners on loopback.  `users_port` is the port of the load balancer; 0 selects a free
    /// port.
    pub(super) async fn open(users_port: u16) -> Result<Listeners, Error> {
        let bind = |port: u16| TcpListener::bind(("127.0.0.1", port));
        let cloud = bind(0).await.context("cannot bind a port for the cloud")?;
        let users = bind(users_port).await.context(format!("cannot bind port {users_port} for the load balancer"))?;
        let (mut states, mut controllers) = (Vec::new(), Vec::new());
        for _ in ZONES {
            states.push(bind(0).await.context("cannot bind a port for the state service")?);
            controllers.push(ControllerAddresses { users: free_address()?, peers: free_address()? });
        }
        Ok(Listeners { cloud, users, states, controllers })
    }

    /// Returns the address of the load balancer.
    pub(super) fn users_address(&self) -> Result<SocketAddr, Error> {
        address(&self.users)
    }

    /// Writes the settings file of each controller to `dir`.
    pub(super) fn write_settings(&self, dir: &Path, cluster: &ClusterSettings) -> Result<(), Error> {
        let cloud = address(&self.cloud)?;
        for (index, listener) in self.states.iter().enumerate() {
            let file = dir.join(format!("node-{index}.toml"));
            let settings = cluster.controller_file(index, address(listener)?, cloud);
            fs::write(&file, settings).context(file.display().to_string())?;
        }
        Ok(())
    }

    /// Spawns the state service, the cloud, the load balancer and the clock of the machines on the
    /// executor; they stop when the executor is dropped.
    pub(super) fn serve(self, environment: &Rc<Environment>, executor: &Rc<LocalExecutor<'static>>) {
        for (index, listener) in self.states.into_iter().enumerate() {
            executor.spawn(environment.clone().serve_state(executor.clone(), listener, index)).detach();
        }
        executor.spawn(environment.clone().serve_cloud(executor.clone(), self.cloud)).detach();
        executor.spawn(environment.clone().run_clock(executor.clone())).detach();
        executor.spawn(environment.clone().serve_load_balancer(executor.clone(), self.users)).detach();
    }
}

fn address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().context("cannot get the local address of a listener")
}

/// Returns a loopback address with a port that is free at the time of the call; another process may
/// take the port before the controller binds it.
fn free_address() -> Result<SocketAddr, Error> {
    let bound = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    bound.context("cannot find a free port for a controller")
}
