//! The client: sends requests and reuses idle connections.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::{fill, fill_to, parse_response, within, Answer, Error, ANSWER_LIMIT, CHUNK};

/// A connection that waits to be reused.
struct IdleConnection {
    addr: SocketAddr,
    stream: TcpStream,
    idle_since: Instant,
}

/// A client that reuses idle connections.
pub struct Client {
    /// The least recently used first.
    idle: Mutex<VecDeque<IdleConnection>>,
    max_idle: usize,
}

/// An idle connection is not reused after this time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

impl Default for Client {
    fn default() -> Self {
        Client::new(8)
    }
}

/// Returns the head of a request as this client sends it.  `body` is the size of the body in bytes.
pub fn request_head(addr: SocketAddr, method: &str, target: &str, body: usize) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {body}\r\n\r\n"
    )
}

impl Client {
    /// Creates a client that keeps at most `max_idle` idle connections, to all addresses together.
    pub fn new(max_idle: usize) -> Client {
        Client { idle: Mutex::default(), max_idle }
    }

    fn idle(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to an address, if there is one.
    fn take(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle();
        while idle.front().is_some_and(|connection| connection.idle_since.elapsed() >= MAX_IDLE_TIME) {
            idle.pop_front();
        }
        let position = idle.iter().rposition(|connection| connection.addr == addr)?;
        idle.remove(position).map(|connection| connection.stream)
    }

    /// Keeps a connection to be reused.
    fn keep(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle();
        idle.push_back(IdleConnection { addr, stream, idle_since: Instant::now() });
        if idle.len() > self.max_idle {
            idle.pop_front();
        }
    }

    /// Drops the idle connections to an address: after a failure of one, the others are likely to
    /// fail as well.
    fn forget(&self, addr: SocketAddr) {
        self.idle().retain(|connection| connection.addr != addr);
    }

    /// Sends a request and returns the status and the body of the response.  `limit` is the time
    /// for the whole exchange.
    ///
    /// # Errors
    /// After an error it is not known whether the request was carried out.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), Error> {
        let answer = self.exchange(addr, method, target, body, limit).await?;
        Ok((answer.status, answer.body))
    }

    /// Sends a request and returns the whole response.  `limit` is the time for the whole exchange.
    ///
    /// # Errors
    /// After an error it is not known whether the request was carried out.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let body = body.unwrap_or_default();
        let mut out = Vec::with_capacity(160 + body.len());
        out.extend_from_slice(request_head(addr, method, target, body.len()).as_bytes());
        out.extend_from_slice(body);
        let result = within(limit, async {
            let mut stream = match self.take(addr) {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect(addr).await?;
                    let _ = stream.set_nodelay(true);
                    stream
                }
            };
            stream.write_all(&out).await?;
            let mut buf = Vec::new();
            let head = loop {
                fill(&mut stream, &mut buf, CHUNK).await?;
                if let Some(head) = parse_response(&buf)? {
                    break head;
                }
            };
            if head.chunked || head.body > ANSWER_LIMIT {
                return Err(Error::Bad("answer too large or in chunks"));
            }
            fill_to(&mut stream, &mut buf, head.len + head.body).await?;
            if !head.close && buf.len() == head.len + head.body {
                self.keep(addr, stream);
            }
            buf.drain(..head.len);
            buf.truncate(head.body);
            Ok(Answer { status: head.status, body: buf, retry_after: head.retry_after })
        })
        .await;
        if result.is_err() {
            self.forget(addr);
        }
        result
    }
}
