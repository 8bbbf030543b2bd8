//! Accepted connections, which are registered with the reactor only when they have to wait.
//!
//! When there are more workers than sockets, half of the heartbeats arrive on new connections, and the
//! request has arrived by the time the connection is handled.  The server reads, answers and closes such
//! a connection at once, without the cost of a registration.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use smol::io::{AsyncRead, AsyncWrite};
use smol::Async;

/// A stream that is registered with the reactor.
type RegisteredStream = Rc<Async<TcpStream>>;
/// The entry of a registered connection in [`Deadlines`].
struct DeadlineEntry {
    /// Tick after which the connection is shut down; `u64::MAX` for never.
    deadline: Rc<Cell<u64>>,
    connection: RegisteredStream,
}

/// Deadlines of the open connections of a server.
///
/// A timer for each of several thousand reads per second would cost more than the reads.  Instead, one
/// timer per tick checks all connections and shuts down those that are past their deadlines, which happens
/// up to two ticks late.  Only connections that are registered with the reactor are checked, because no
/// other connection has waited.
pub(super) struct Deadlines {
    tick_interval: Duration,
    /// Number of ticks since the start.
    current_tick: Cell<u64>,
    next_id: Cell<u64>,
    open_connections: Cell<usize>,
    /// Registered connections by their ids.
    registered: RefCell<HashMap<u64, DeadlineEntry>>,
}

impl Deadlines {
    /// Creates an empty set of deadlines, which [`Deadlines::run`] checks once per `tick_interval`.
    pub fn new(tick_interval: Duration) -> Rc<Deadlines> {
        let (current_tick, next_id, open_connections) = Default::default();
        Rc::new(Deadlines { tick_interval, current_tick, next_id, open_connections, registered: RefCell::default() })
    }

    /// Returns the number of open connections, registered or not.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Shuts down connections that are past their deadlines; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            smol::Timer::after(self.tick_interval).await;
            self.current_tick.set(self.current_tick.get() + 1);
            for entry in self.registered.borrow().values() {
                if entry.deadline.get() < self.current_tick.get() {
                    // The task that reads from or writes to the connection gets an error and ends.
                    let _ = entry.connection.get_ref().shutdown(Shutdown::Both);
                }
            }
        }
    }
}

/// The socket of a connection and whether it is registered.
enum Socket {
    /// The socket is not registered, because the connection has not had to wait yet.
    New(TcpStream),
    /// The socket is registered with the reactor.
    Registered(RegisteredStream),
    /// The registration has failed; every operation on the connection fails.
    Unusable,
}

/// An accepted connection.
pub(super) struct Connection {
    socket: Socket,
    /// Key of the connection in [`Deadlines`].
    id: u64,
    /// Whether a wait in the reactor was begun and has not ended.  That wait has to end before the next
    /// operation is tried, because otherwise its event would end the next wait at once.
    has_pending_wait: bool,
    /// Tick after which the connection is shut down; `u64::MAX` for never.
    deadline: Rc<Cell<u64>>,
    deadlines: Rc<Deadlines>,
}

impl Connection {
    /// Wraps an accepted stream.  The connection has no deadline.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be set to non-blocking mode.
    pub fn new(stream: TcpStream, deadlines: &Rc<Deadlines>) -> io::Result<Connection> {
        stream.set_nonblocking(true)?;
        let id = deadlines.next_id.replace(deadlines.next_id.get() + 1);
        deadlines.open_connections.set(deadlines.open_connections.get() + 1);
        Ok(Connection {
            socket: Socket::New(stream),
            id,
            has_pending_wait: false,
            deadline: Rc::new(Cell::new(u64::MAX)),
            deadlines: deadlines.clone(),
        })
    }

    /// Returns the number of open connections of the server, including this one.
    pub fn open_connections(&self) -> usize {
        self.deadlines.open_connections()
    }

    /// Sets the deadline of all following operations together to `timeout` from now.
    pub fn set_timeout(&self, timeout: Duration) {
        let ticks = timeout.as_secs_f64() / self.deadlines.tick_interval.as_secs_f64();
        self.deadline.set(self.deadlines.current_tick.get() + ticks.ceil() as u64);
    }

    /// Removes the deadline, for work that limits its time itself.
    pub fn clear_timeout(&self) {
        self.deadline.set(u64::MAX);
    }

    /// Waits until the connection is readable, without trying to read first.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be registered with the reactor, or if the wait fails.
    pub async fn readable(&mut self) -> io::Result<()> {
        let connection = self.register()?;
        std::future::poll_fn(|cx| connection.poll_readable(cx)).await
    }

    /// Registers the connection with the reactor unless it is registered, and returns the stream.
    ///
    /// # Errors
    /// Returns an error if this registration or an earlier one has failed.
    fn register(&mut self) -> io::Result<&RegisteredStream> {
        self.socket = match std::mem::replace(&mut self.socket, Socket::Unusable) {
            Socket::New(stream) => {
                let connection = Rc::new(Async::new_nonblocking(stream)?);
                let entry = DeadlineEntry { deadline: self.deadline.clone(), connection: connection.clone() };
                self.deadlines.registered.borrow_mut().insert(self.id, entry);
                Socket::Registered(connection)
            }
            other => other,
        };
        match &self.socket {
            Socket::Registered(connection) => Ok(connection),
            _ => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Tries an operation, and waits in the reactor and tries again for as long as the operation would
    /// block.  `wait` waits for the readiness that the operation needs.
    fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut operation: impl FnMut(&TcpStream) -> io::Result<T>,
        wait: impl Fn(&Async<TcpStream>, &mut Context<'_>) -> Poll<io::Result<()>>,
    ) -> Poll<io::Result<T>> {
        loop {
            if self.has_pending_wait {
                std::task::ready!(wait(self.register()?, cx))?;
                self.has_pending_wait = false;
            }
            let result = match &self.socket {
                Socket::New(stream) => operation(stream),
                Socket::Registered(connection) => operation(connection.get_ref()),
                Socket::Unusable => return Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
            };
            match result {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.has_pending_wait = true,
                other => return Poll::Ready(other),
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.deadlines.open_connections.set(self.deadlines.open_connections.get() - 1);
        self.deadlines.registered.borrow_mut().remove(&self.id);
    }
}

impl AsyncRead for Connection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.poll(cx, |mut stream| stream.read(buf), |connection, cx| connection.poll_readable(cx))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll(cx, |mut stream| stream.write(buf), |connection, cx| connection.poll_writable(cx))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match &self.socket {
            Socket::New(stream) => stream.shutdown(Shutdown::Write),
            Socket::Registered(connection) => connection.get_ref().shutdown(Shutdown::Write),
            Socket::Unusable => Ok(()),
        })
    }
}

#[cfg(test)]
mod tests;
