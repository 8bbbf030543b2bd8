//! An HTTP client that sends requests and reuses idle connections.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::{fill_once, fill_to_len, parse_response, within, ClientResponse, Error, CLIENT_BODY_LIMIT, READ_SIZE};

/// An open connection without a request in progress, which can be reused.
struct IdleConnection {
    addr: SocketAddr,
    stream: TcpStream,
    idle_since: Instant,
}

/// An HTTP client that reuses idle connections.  It may be shared between threads.
pub struct Client {
    /// Idle connections to all addresses, the least recently used first.
    idle: Mutex<VecDeque<IdleConnection>>,
    /// Maximum number of idle connections to all addresses together.
    max_idle: usize,
}

/// Time after which an idle connection is closed instead of being reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

impl Default for Client {
    /// Creates a client that keeps at most 8 idle connections.
    fn default() -> Self {
        Client::new(8)
    }
}

/// Returns the head of a request as [`Client`] sends it, for a body of `body_len` bytes.
pub fn request_head(addr: SocketAddr, method: &str, target: &str, body_len: usize) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {body_len}\r\n\r\n"
    )
}

impl Client {
    /// Creates a client that keeps at most `max_idle` idle connections to all addresses together.  The
    /// number of connections in use is not limited.
    pub fn new(max_idle: usize) -> Client {
        Client { idle: Mutex::default(), max_idle }
    }

    fn lock_idle(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes connections that have been idle for too long, and returns the most recently used idle
    /// connection to an address, if there is one.
    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.lock_idle();
        while idle.front().is_some_and(|connection| connection.idle_since.elapsed() >= MAX_IDLE_TIME) {
            idle.pop_front();
        }
        let position = idle.iter().rposition(|connection| connection.addr == addr)?;
        idle.remove(position).map(|connection| connection.stream)
    }

    /// Keeps a connection for reuse.  If there are too many idle connections, the least recently used one
    /// is closed.
    fn put_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.lock_idle();
        idle.push_back(IdleConnection { addr, stream, idle_since: Instant::now() });
        if idle.len() > self.max_idle {
            idle.pop_front();
        }
    }

    /// Closes all idle connections to an address.  After one connection has failed, the others are likely
    /// to fail as well.
    fn close_idle(&self, addr: SocketAddr) {
        self.lock_idle().retain(|connection| connection.addr != addr);
    }

    /// Sends a request and returns the status and the body of the response, whatever the status.
    ///
    /// `target` is the path with the query, `None` as the body sends an empty one, and `timeout` is the time
    /// limit for the whole exchange, including the connection set-up.
    ///
    /// # Errors
    /// Returns an error if there is no well-formed response within `timeout`.  The server may have carried
    /// out the request nevertheless.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), Error> {
        let response = self.exchange(addr, method, target, body, timeout).await?;
        Ok((response.status, response.body))
    }

    /// Sends a request and returns the whole response, whatever the status.
    ///
    /// The parameters are those of [`Client::send`].
    ///
    /// # Errors
    /// Returns an error if there is no well-formed response within `timeout`.  The server may have carried
    /// out the request nevertheless.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<ClientResponse, Error> {
        let body = body.unwrap_or_default();
        let mut message = Vec::with_capacity(160 + body.len());
        message.extend_from_slice(request_head(addr, method, target, body.len()).as_bytes());
        message.extend_from_slice(body);
        let result = within(timeout, async {
            let mut stream = match self.take_idle(addr) {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect(addr).await?;
                    let _ = stream.set_nodelay(true);
                    stream
                }
            };
            stream.write_all(&message).await?;
            let mut buf = Vec::new();
            let head = loop {
                fill_once(&mut stream, &mut buf, READ_SIZE).await?;
                if let Some(head) = parse_response(&buf)? {
                    break head;
                }
            };
            if head.chunked || head.body_len > CLIENT_BODY_LIMIT {
                return Err(Error::Malformed("answer too large or in chunks"));
            }
            fill_to_len(&mut stream, &mut buf, head.head_len + head.body_len).await?;
            if !head.close && buf.len() == head.head_len + head.body_len {
                self.put_idle(addr, stream);
            }
            buf.drain(..head.head_len);
            buf.truncate(head.body_len);
            Ok(ClientResponse { status: head.status, body: buf, retry_after: head.retry_after })
        })
        .await;
        if result.is_err() {
            self.close_idle(addr);
        }
        result
    }
}
