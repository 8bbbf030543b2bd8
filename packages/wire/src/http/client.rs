//! Requests to others, over connections that are kept.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::{fill, fill_to, parse_response, within, Answer, Error, ANSWER_LIMIT, CHUNK};

/// A client that keeps idle connections.
pub struct Client {
    /// The least recently used first.
    idle: Mutex<VecDeque<(SocketAddr, TcpStream, Instant)>>,
    most: usize,
}

/// An idle connection older than this is not trusted any more.
const KEEP_FOR: Duration = Duration::from_secs(20);

impl Default for Client {
    fn default() -> Self {
        Client::new(8)
    }
}

/// The head of a request as this client sends it.
pub fn request_head(addr: SocketAddr, method: &str, target: &str, body: usize) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {body}\r\n\r\n"
    )
}

impl Client {
    /// A client that keeps at most so many idle connections in all.
    pub fn new(most: usize) -> Client {
        Client { idle: Mutex::default(), most }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, VecDeque<(SocketAddr, TcpStream, Instant)>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn take(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle();
        while idle.front().is_some_and(|i| i.2.elapsed() >= KEEP_FOR) {
            idle.pop_front();
        }
        let at = idle.iter().rposition(|i| i.0 == addr)?;
        idle.remove(at).map(|i| i.1)
    }

    fn keep(&self, addr: SocketAddr, s: TcpStream) {
        let mut idle = self.idle();
        idle.push_back((addr, s, Instant::now()));
        if idle.len() > self.most {
            idle.pop_front();
        }
    }

    /// Drops what is idle to an address: after a failure there, the rest is
    /// suspect too.
    fn forget(&self, addr: SocketAddr) {
        self.idle().retain(|i| i.0 != addr);
    }

    /// One request; an error means that nothing is known of its effect.
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

    /// One request, and all that its answer says; an error means that nothing
    /// is known of its effect.
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
            let mut s = match self.take(addr) {
                Some(s) => s,
                None => {
                    let s = TcpStream::connect(addr).await?;
                    let _ = s.set_nodelay(true);
                    s
                }
            };
            s.write_all(&out).await?;
            let mut buf = Vec::new();
            let head = loop {
                fill(&mut s, &mut buf, CHUNK).await?;
                if let Some(h) = parse_response(&buf)? {
                    break h;
                }
            };
            if head.chunked || head.body > ANSWER_LIMIT {
                return Err(Error::Bad("answer too large or in chunks"));
            }
            fill_to(&mut s, &mut buf, head.len + head.body).await?;
            if !head.close && buf.len() == head.len + head.body {
                self.keep(addr, s);
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
