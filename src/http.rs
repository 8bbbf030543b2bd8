//! HTTP/1.1 with MessagePack bodies: a small server and a client that keeps
//! its connections.  Every read is bounded in time and size, so that slow,
//! half-open or oversized peers cost little.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use futures_lite::future::or;
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

/// Largest request body that is taken, and largest answer to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Largest answer the client accepts (lists and watches of the state service).
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
const HEAD_LIMIT: usize = 8 * 1024;

/// Why a request got no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be made, or broke.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// No answer within the deadline; the request may still be carried out.
    #[error("no answer in time")]
    Timeout,
    /// The peer sent something that is not HTTP or not MessagePack.
    #[error("bad message: {0}")]
    Bad(&'static str),
}

/// Encodes a body.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_else(|e| {
        log::error!("cannot encode a message: {e}");
        vec![0x80]
    })
}

/// Decodes a body that has to be one MessagePack map and nothing else.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    // a list would pass for a struct otherwise
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        _ => return Err(Error::Bad("not a map")),
    }
    let mut rest = rmp_serde::Deserializer::new(std::io::Cursor::new(body));
    rest.set_max_depth(32);
    let value = T::deserialize(&mut rest).map_err(|_| Error::Bad("wrong fields"))?;
    if rest.position() as usize != body.len() {
        return Err(Error::Bad("trailing bytes"));
    }
    Ok(value)
}

/// A request as the server hands it on.
#[derive(Debug)]
pub struct Request {
    /// The method, in capitals.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The MessagePack body.
    pub body: Vec<u8>,
    /// Seconds for `Retry-After`, where the peer should come back later.
    pub retry_after: Option<u32>,
}

#[derive(Serialize)]
struct Plain<'a> {
    error: &'a str,
}

impl Response {
    /// An answer with a body.
    pub fn new<T: Serialize>(status: u16, body: &T) -> Self {
        Response { status, body: encode(body), retry_after: None }
    }
    /// A refusal with a short reason.
    pub fn refuse(status: u16, reason: &str) -> Self {
        let retry_after = matches!(status, 429 | 503).then_some(1);
        Response { retry_after, ..Self::new(status, &Plain { error: reason }) }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Payload Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    }
}

async fn within<T>(limit: Duration, work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    or(work, async {
        smol::Timer::after(limit).await;
        Err(Error::Timeout)
    })
    .await
}

/// What the head of a message says.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Method and target of a request, or empty for an answer.
    pub method: String,
    /// The target as sent.
    pub target: String,
    /// Status of an answer, 0 for a request.
    pub status: u16,
    /// Bytes of the head.
    pub len: usize,
    /// Bytes of the body.
    pub body: usize,
    /// Whether the peer closes after this message.
    pub close: bool,
    /// Whether the body comes in chunks, which nobody here sends.
    pub chunked: bool,
}

fn fields(headers: &[httparse::Header<'_>], http10: bool) -> Result<(usize, bool, bool), Error> {
    let (mut body, mut close, mut chunked) = (None, http10, false);
    for h in headers {
        if h.name.eq_ignore_ascii_case("content-length") {
            let n: usize = std::str::from_utf8(h.value)
                .ok()
                .map(str::trim)
                .filter(|v| !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()))
                .and_then(|v| v.parse().ok())
                .ok_or(Error::Bad("content-length"))?;
            if body.is_some_and(|b| b != n) {
                return Err(Error::Bad("content-length twice"));
            }
            body = Some(n);
        } else if h.name.eq_ignore_ascii_case("connection") {
            if h.value.eq_ignore_ascii_case(b"close") {
                close = true;
            } else if h.value.eq_ignore_ascii_case(b"keep-alive") {
                close = false;
            }
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = true;
        }
    }
    Ok((body.unwrap_or(0), close, chunked))
}

/// Reads the head of a request; `None` while it is incomplete.
pub fn parse_request(buf: &[u8]) -> Result<Option<Head>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(buf).map_err(|_| Error::Bad("request head"))? {
        httparse::Status::Partial if buf.len() > HEAD_LIMIT => Err(Error::Bad("head too long")),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => {
            let (body, close, chunked) = fields(req.headers, req.version == Some(0))?;
            let method = req.method.unwrap_or_default().to_owned();
            let target = req.path.unwrap_or_default().to_owned();
            Ok(Some(Head { method, target, status: 0, len, body, close, chunked }))
        }
    }
}

/// Reads the head of an answer; `None` while it is incomplete.
pub fn parse_response(buf: &[u8]) -> Result<Option<Head>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut res = httparse::Response::new(&mut headers);
    match res.parse(buf).map_err(|_| Error::Bad("response head"))? {
        httparse::Status::Partial if buf.len() > HEAD_LIMIT => Err(Error::Bad("head too long")),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => {
            let (body, close, chunked) = fields(res.headers, res.version == Some(0))?;
            let status = res.code.unwrap_or(0);
            Ok(Some(Head { method: String::new(), target: String::new(), status, len, body, close, chunked }))
        }
    }
}

async fn fill(s: &mut TcpStream, buf: &mut Vec<u8>) -> Result<(), Error> {
    let mut chunk = [0u8; 8192];
    let n = s.read(&mut chunk).await?;
    if n == 0 {
        return Err(Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    buf.extend_from_slice(&chunk[..n]);
    Ok(())
}

async fn send_response(s: &mut TcpStream, r: &Response, close: bool) -> Result<(), Error> {
    let mut out = Vec::with_capacity(160 + r.body.len());
    out.extend_from_slice(
        format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
            r.status,
            reason(r.status),
            r.body.len()
        )
        .as_bytes(),
    );
    if let Some(s) = r.retry_after {
        out.extend_from_slice(format!("Retry-After: {s}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&r.body);
    s.write_all(&out).await?;
    Ok(())
}

/// Bounds of the server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections open at once; further ones are closed at once.
    pub connections: usize,
    /// How long a connection may stay idle between requests.
    pub idle: Duration,
    /// How long one request may take to arrive in full.
    pub arrive: Duration,
}

/// Serves connections until the listener fails, each in a task of its own.
pub async fn serve<H, F>(
    ex: Rc<smol::LocalExecutor<'static>>,
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let open = Rc::new(std::cell::Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) => s,
            Err(e) => {
                // mostly out of sockets: let some close
                log::error!("accept: {e}");
                smol::Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            continue;
        }
        open.set(open.get() + 1);
        let (open, handler) = (open.clone(), handler.clone());
        ex.spawn(async move {
            let _ = stream.set_nodelay(true);
            if let Err(e) = connection(stream, limits, &*handler).await {
                log::trace!("connection ends: {e}");
            }
            open.set(open.get() - 1);
        })
        .detach();
    }
}

async fn connection<H, F>(mut s: TcpStream, limits: ServerLimits, handler: &H) -> Result<(), Error>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    loop {
        if buf.is_empty() {
            within(limits.idle, fill(&mut s, &mut buf)).await?;
        }
        let read = within(limits.arrive, async {
            let head = loop {
                if let Some(h) = parse_request(&buf)? {
                    break h;
                }
                fill(&mut s, &mut buf).await?;
            };
            if head.chunked || head.body > BODY_LIMIT {
                return Ok((head, false));
            }
            while buf.len() < head.len + head.body {
                fill(&mut s, &mut buf).await?;
            }
            Ok((head, true))
        })
        .await;
        let (head, whole) = match read {
            Ok(r) => r,
            Err(Error::Bad(why)) => {
                return within(limits.arrive, send_response(&mut s, &Response::refuse(400, why), true)).await
            }
            Err(e) => return Err(e),
        };
        if !whole {
            let status = if head.chunked { 400 } else { 413 };
            let r = Response::refuse(status, "body too large or in chunks");
            within(limits.arrive, send_response(&mut s, &r, true)).await?;
            return Ok(());
        }
        let body = buf[head.len..head.len + head.body].to_vec();
        buf.drain(..head.len + head.body);
        if buf.capacity() > BODY_LIMIT / 4 {
            buf.shrink_to(1024);
        }
        let path = head.target.split('?').next().unwrap_or_default().to_owned();
        let r = handler(Request { method: head.method, path, body }).await;
        within(limits.arrive, send_response(&mut s, &r, head.close)).await?;
        if head.close {
            return Ok(());
        }
    }
}

/// A client that keeps idle connections by address.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
}

/// Idle connections kept to one address.
const KEEP: usize = 4;
/// An idle connection older than this is not trusted any more.
const KEEP_FOR: Duration = Duration::from_secs(20);

impl Client {
    fn take(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let list = idle.get_mut(&addr)?;
        while let Some((s, since)) = list.pop() {
            if since.elapsed() < KEEP_FOR {
                return Some(s);
            }
        }
        None
    }

    fn keep(&self, addr: SocketAddr, s: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(|e| e.into_inner());
        let list = idle.entry(addr).or_default();
        if list.len() < KEEP {
            list.push((s, Instant::now()));
        }
    }

    /// Drops what is idle to an address: after a failure there, the rest is
    /// suspect too.
    fn forget(&self, addr: SocketAddr) {
        self.idle.lock().unwrap_or_else(|e| e.into_inner()).remove(&addr);
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
        let body = body.unwrap_or_default();
        let mut out = Vec::with_capacity(160 + body.len());
        out.extend_from_slice(
            format!("{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(),
        );
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
                fill(&mut s, &mut buf).await?;
                if let Some(h) = parse_response(&buf)? {
                    break h;
                }
            };
            if head.chunked || head.body > ANSWER_LIMIT {
                return Err(Error::Bad("answer too large or in chunks"));
            }
            while buf.len() < head.len + head.body {
                fill(&mut s, &mut buf).await?;
            }
            if !head.close && buf.len() == head.len + head.body {
                self.keep(addr, s);
            }
            buf.drain(..head.len);
            buf.truncate(head.body);
            Ok((head.status, buf))
        })
        .await;
        if result.is_err() {
            self.forget(addr);
        }
        result
    }
}
