//! An accepted connection that costs the reactor nothing until it has to wait.
//!
//! Where workers outnumber the sockets, half of their reports come on new
//! connections, and by the time that one's turn comes its request is there.  Read,
//! answered and closed at once it needs no reactor at all.

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

/// A connection that the reactor knows.
type Known = Rc<Async<TcpStream>>;
/// When a connection is late, and the connection.
type Watched = (Rc<Cell<u64>>, Known);

/// Deadlines of the open connections.  A timer for each of some thousand
/// reads a second would cost more than the reads: a tick counts for all, and
/// whoever is late is shut down.  Only a connection that waits can be late.
pub(super) struct Deadlines {
    tick: Duration,
    now: Cell<u64>,
    next: Cell<u64>,
    open: Cell<usize>,
    waiting: RefCell<HashMap<u64, Watched>>,
}

impl Deadlines {
    pub fn new(tick: Duration) -> Rc<Deadlines> {
        let (now, next, open) = Default::default();
        Rc::new(Deadlines { tick, now, next, open, waiting: RefCell::default() })
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Keeps the deadlines, for as long as the server runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            smol::Timer::after(self.tick).await;
            self.now.set(self.now.get() + 1);
            for (due, s) in self.waiting.borrow().values() {
                if due.get() < self.now.get() {
                    // the task that reads or writes here ends with an error
                    let _ = s.get_ref().shutdown(Shutdown::Both);
                }
            }
        }
    }
}

enum Socket {
    /// It has not had to wait yet.
    New(TcpStream),
    /// The reactor knows it.
    Known(Known),
    /// It could not be made known.
    Lost,
}

/// An accepted connection.
pub(super) struct Conn {
    socket: Socket,
    id: u64,
    /// A wait was begun and not seen to its end: what comes first is that end,
    /// or the next wait would end at once by the old event.
    waits: bool,
    /// Its own deadline, in ticks.
    due: Rc<Cell<u64>>,
    all: Rc<Deadlines>,
}

impl Conn {
    /// A connection as accepted.
    pub fn new(s: TcpStream, all: &Rc<Deadlines>) -> io::Result<Conn> {
        s.set_nonblocking(true)?;
        let id = all.next.replace(all.next.get() + 1);
        all.open.set(all.open.get() + 1);
        Ok(Conn { socket: Socket::New(s), id, waits: false, due: Rc::new(Cell::new(u64::MAX)), all: all.clone() })
    }

    /// Connections that are open, this one among them.
    pub fn open(&self) -> usize {
        self.all.open()
    }

    /// What comes next may take so long.
    pub fn within(&self, limit: Duration) {
        let ticks = limit.as_secs_f64() / self.all.tick.as_secs_f64();
        self.due.set(self.all.now.get() + ticks.ceil() as u64);
    }

    /// What comes next has its own limits.
    pub fn unlimited(&self) {
        self.due.set(u64::MAX);
    }

    /// Waits until there is something to read, without a try that fails first.
    pub async fn readable(&mut self) -> io::Result<()> {
        let s = self.known()?;
        std::future::poll_fn(|cx| s.poll_readable(cx)).await
    }

    /// The connection as the reactor knows it, from now on if not before.
    fn known(&mut self) -> io::Result<&Known> {
        self.socket = match std::mem::replace(&mut self.socket, Socket::Lost) {
            Socket::New(s) => {
                let s = Rc::new(Async::new_nonblocking(s)?);
                self.all.waiting.borrow_mut().insert(self.id, (self.due.clone(), s.clone()));
                Socket::Known(s)
            }
            other => other,
        };
        match &self.socket {
            Socket::Known(s) => Ok(s),
            _ => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Tries at once, and by the reactor if that would have to wait.
    fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut work: impl FnMut(&TcpStream) -> io::Result<T>,
        wait: impl Fn(&Async<TcpStream>, &mut Context<'_>) -> Poll<io::Result<()>>,
    ) -> Poll<io::Result<T>> {
        loop {
            if self.waits {
                std::task::ready!(wait(self.known()?, cx))?;
                self.waits = false;
            }
            let tried = match &self.socket {
                Socket::New(s) => work(s),
                Socket::Known(s) => work(s.get_ref()),
                Socket::Lost => return Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
            };
            match tried {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.waits = true,
                other => return Poll::Ready(other),
            }
        }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.all.open.set(self.all.open.get() - 1);
        self.all.waiting.borrow_mut().remove(&self.id);
    }
}

impl AsyncRead for Conn {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.poll(cx, |mut s| s.read(buf), |s, cx| s.poll_readable(cx))
    }
}

impl AsyncWrite for Conn {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll(cx, |mut s| s.write(buf), |s, cx| s.poll_writable(cx))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match &self.socket {
            Socket::New(s) => s.shutdown(Shutdown::Write),
            Socket::Known(s) => s.get_ref().shutdown(Shutdown::Write),
            Socket::Lost => Ok(()),
        })
    }
}

#[cfg(test)]
mod tests;
