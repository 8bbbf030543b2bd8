//! An accepted connection that is registered with the reactor only when it has to wait.
//!
//! When there are more workers than sockets, half of their heartbeats come on new connections,
//! and the request has arrived by the time the connection is handled.  Such a connection is
//! read, answered and closed at once and needs no reactor at all.

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

/// A connection that is registered with the reactor.
type Registered = Rc<Async<TcpStream>>;
/// A registered connection with its deadline, in ticks.
struct Waiting {
    deadline: Rc<Cell<u64>>,
    connection: Registered,
}

/// Deadlines of the open connections.  A timer for each of some thousand reads a second would
/// cost more than the reads.  Instead there is one tick for all, and a connection that is past
/// its deadline is shut down.  Only a connection that waits can be past it.
pub(super) struct Deadlines {
    tick: Duration,
    now: Cell<u64>,
    next_id: Cell<u64>,
    open: Cell<usize>,
    waiting: RefCell<HashMap<u64, Waiting>>,
}

impl Deadlines {
    /// Creates the deadlines, which are checked once per `tick`.
    pub fn new(tick: Duration) -> Rc<Deadlines> {
        let (now, next_id, open) = Default::default();
        Rc::new(Deadlines { tick, now, next_id, open, waiting: RefCell::default() })
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Enforces the deadlines; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            smol::Timer::after(self.tick).await;
            self.now.set(self.now.get() + 1);
            for waiting in self.waiting.borrow().values() {
                if waiting.deadline.get() < self.now.get() {
                    // the task that reads or writes here gets an error and ends
                    let _ = waiting.connection.get_ref().shutdown(Shutdown::Both);
                }
            }
        }
    }
}

/// The socket of a connection.
enum Socket {
    /// It has not had to wait yet.
    New(TcpStream),
    /// It is registered with the reactor.
    Registered(Registered),
    /// It could not be registered.
    Lost,
}

/// An accepted connection.
pub(super) struct Conn {
    socket: Socket,
    id: u64,
    /// A wait was begun and not finished.  It has to be finished first, or the next wait would
    /// end at once because of the old event.
    is_waiting: bool,
    /// Its deadline, in ticks.
    deadline: Rc<Cell<u64>>,
    deadlines: Rc<Deadlines>,
}

impl Conn {
    /// Wraps a connection that was accepted.
    pub fn new(stream: TcpStream, deadlines: &Rc<Deadlines>) -> io::Result<Conn> {
        stream.set_nonblocking(true)?;
        let id = deadlines.next_id.replace(deadlines.next_id.get() + 1);
        deadlines.open.set(deadlines.open.get() + 1);
        Ok(Conn {
            socket: Socket::New(stream),
            id,
            is_waiting: false,
            deadline: Rc::new(Cell::new(u64::MAX)),
            deadlines: deadlines.clone(),
        })
    }

    /// Returns the number of open connections of the server, including this one.
    pub fn open(&self) -> usize {
        self.deadlines.open()
    }

    /// Sets the deadline for what follows.
    pub fn within(&self, limit: Duration) {
        let ticks = limit.as_secs_f64() / self.deadlines.tick.as_secs_f64();
        self.deadline.set(self.deadlines.now.get() + ticks.ceil() as u64);
    }

    /// Removes the deadline: what follows has its own limits.
    pub fn unlimited(&self) {
        self.deadline.set(u64::MAX);
    }

    /// Waits until there is something to read, without trying to read first.
    pub async fn readable(&mut self) -> io::Result<()> {
        let connection = self.register()?;
        std::future::poll_fn(|cx| connection.poll_readable(cx)).await
    }

    /// Registers the connection with the reactor if it is not registered yet, and returns it.
    fn register(&mut self) -> io::Result<&Registered> {
        self.socket = match std::mem::replace(&mut self.socket, Socket::Lost) {
            Socket::New(stream) => {
                let connection = Rc::new(Async::new_nonblocking(stream)?);
                let waiting = Waiting { deadline: self.deadline.clone(), connection: connection.clone() };
                self.deadlines.waiting.borrow_mut().insert(self.id, waiting);
                Socket::Registered(connection)
            }
            other => other,
        };
        match &self.socket {
            Socket::Registered(connection) => Ok(connection),
            _ => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Tries an operation at once, and waits in the reactor if it would block.
    fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut work: impl FnMut(&TcpStream) -> io::Result<T>,
        wait: impl Fn(&Async<TcpStream>, &mut Context<'_>) -> Poll<io::Result<()>>,
    ) -> Poll<io::Result<T>> {
        loop {
            if self.is_waiting {
                std::task::ready!(wait(self.register()?, cx))?;
                self.is_waiting = false;
            }
            let result = match &self.socket {
                Socket::New(stream) => work(stream),
                Socket::Registered(connection) => work(connection.get_ref()),
                Socket::Lost => return Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
            };
            match result {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.is_waiting = true,
                other => return Poll::Ready(other),
            }
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.deadlines.open.set(self.deadlines.open.get() - 1);
        self.deadlines.waiting.borrow_mut().remove(&self.id);
    }
}

impl AsyncRead for Conn {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.poll(cx, |mut stream| stream.read(buf), |connection, cx| connection.poll_readable(cx))
    }
}

impl AsyncWrite for Conn {
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
            Socket::Lost => Ok(()),
        })
    }
}

#[cfg(test)]
mod tests;
