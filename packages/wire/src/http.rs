//! HTTP/1.1 with MessagePack bodies: a small server and a client that keeps
//! its connections.  Every read is bounded in time and size, so that slow,
//! half-open or oversized peers cost little.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
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
        tracing::error!("cannot encode a message: {e}");
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
    /// The query, without its question mark; empty if there is none.
    pub query: String,
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
    /// The peer will not ask again for a while: where connections are scarce,
    /// its own is closed with this answer.
    pub seldom: bool,
}

#[derive(Serialize)]
struct Plain<'a> {
    error: &'a str,
}

impl Response {
    /// An answer with a body.
    pub fn new<T: Serialize>(status: u16, body: &T) -> Self {
        Response { status, body: encode(body), retry_after: None, seldom: false }
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
    /// `Retry-After` as sent, in either of its forms.
    pub retry_after: Option<String>,
}

/// An answer as a client gets it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The MessagePack body.
    pub body: Vec<u8>,
    /// `Retry-After` as sent, in either of its forms.
    pub retry_after: Option<String>,
}

/// Length of the body, whether the peer closes, whether it sends chunks, and
/// when to come back.
type Fields = (usize, bool, bool, Option<String>);

fn fields(headers: &[httparse::Header<'_>], http10: bool) -> Result<Fields, Error> {
    let (mut body, mut close, mut chunked, mut retry_after) = (None, http10, false, None);
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
        } else if h.name.eq_ignore_ascii_case("retry-after") {
            retry_after = std::str::from_utf8(h.value).ok().map(|v| v.trim().to_owned());
        }
    }
    Ok((body.unwrap_or(0), close, chunked, retry_after))
}

/// Reads the head of a request; `None` while it is incomplete.
pub fn parse_request(buf: &[u8]) -> Result<Option<Head>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(buf).map_err(|_| Error::Bad("request head"))? {
        httparse::Status::Partial if buf.len() > HEAD_LIMIT => Err(Error::Bad("head too long")),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => {
            let (body, close, chunked, retry_after) = fields(req.headers, req.version == Some(0))?;
            let method = req.method.unwrap_or_default().to_owned();
            let target = req.path.unwrap_or_default().to_owned();
            Ok(Some(Head { method, target, status: 0, len, body, close, chunked, retry_after }))
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
            let (body, close, chunked, retry_after) = fields(res.headers, res.version == Some(0))?;
            let status = res.code.unwrap_or(0);
            Ok(Some(Head {
                method: String::new(),
                target: String::new(),
                status,
                len,
                body,
                close,
                chunked,
                retry_after,
            }))
        }
    }
}

/// What is read at once where the length is not known yet; kept small, as
/// every idle connection has it.
const CHUNK: usize = 2048;

/// Reads some more, at most `most`.
async fn fill(s: &mut TcpStream, buf: &mut Vec<u8>, most: usize) -> Result<(), Error> {
    let old = buf.len();
    buf.resize(old + most, 0);
    let n = s.read(&mut buf[old..]).await?;
    buf.truncate(old + n);
    if n == 0 {
        return Err(Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(())
}

/// Reads until the buffer holds so much.
async fn fill_to(s: &mut TcpStream, buf: &mut Vec<u8>, len: usize) -> Result<(), Error> {
    while buf.len() < len {
        fill(s, buf, len - buf.len()).await?;
    }
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
    /// From so many on, those whose peers ask seldom are closed as they are
    /// answered: there may be more of them than connections, and each has to
    /// get its turn.
    pub scarce: usize,
    /// How long a connection may stay idle between requests.
    pub idle: Duration,
    /// How long one request may take to arrive in full.
    pub arrive: Duration,
    /// How long an answer is of any use to whoever asked.
    pub answer: Duration,
}

/// Deadlines of the open connections.  A timer for each of some thousand
/// reads a second would cost more than the reads: a tick counts for all, and
/// whoever is late is shut down.
struct Deadlines {
    tick: Duration,
    now: Cell<u64>,
    next: Cell<u64>,
    open: RefCell<HashMap<u64, Watched>>,
}

/// When a connection is late, and the connection.
type Watched = (Rc<Cell<u64>>, TcpStream);

/// A connection's own deadline, in ticks.
struct Deadline {
    id: u64,
    due: Rc<Cell<u64>>,
    all: Rc<Deadlines>,
}

impl Deadlines {
    fn new(tick: Duration) -> Rc<Deadlines> {
        Rc::new(Deadlines { tick, now: Cell::new(0), next: Cell::new(0), open: RefCell::default() })
    }

    fn watch(self: &Rc<Self>, s: &TcpStream) -> Deadline {
        let id = self.next.replace(self.next.get() + 1);
        let due = Rc::new(Cell::new(u64::MAX));
        self.open.borrow_mut().insert(id, (due.clone(), s.clone()));
        Deadline { id, due, all: self.clone() }
    }

    fn len(&self) -> usize {
        self.open.borrow().len()
    }

    async fn run(self: Rc<Self>) {
        loop {
            smol::Timer::after(self.tick).await;
            self.now.set(self.now.get() + 1);
            for (due, s) in self.open.borrow().values() {
                if due.get() < self.now.get() {
                    // the task that reads or writes here ends with an error
                    let _ = s.shutdown(std::net::Shutdown::Both);
                }
            }
        }
    }
}

impl Deadline {
    /// What comes next may take so long.
    fn within(&self, limit: Duration) {
        let ticks = limit.as_secs_f64() / self.all.tick.as_secs_f64();
        self.due.set(self.all.now.get() + ticks.ceil() as u64);
    }
    /// What comes next has its own limits.
    fn none(&self) {
        self.due.set(u64::MAX);
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        self.all.open.borrow_mut().remove(&self.id);
    }
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
    let deadlines = Deadlines::new(limits.arrive / 8);
    ex.spawn(deadlines.clone().run()).detach();
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) => s,
            Err(e) => {
                // mostly out of sockets: let some close
                tracing::error!("accept: {e}");
                smol::Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        if deadlines.len() >= limits.connections {
            continue;
        }
        let (deadline, handler) = (deadlines.watch(&stream), handler.clone());
        ex.spawn(async move {
            let _ = stream.set_nodelay(true);
            if let Err(e) = connection(stream, limits, deadline, &*handler).await {
                tracing::trace!("connection ends: {e}");
            }
        })
        .detach();
    }
}

async fn connection<H, F>(mut s: TcpStream, limits: ServerLimits, deadline: Deadline, handler: &H) -> Result<(), Error>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    let socket: Arc<smol::Async<std::net::TcpStream>> = s.clone().into();
    loop {
        if buf.is_empty() {
            deadline.within(limits.idle);
            // the next request is not there yet: no try that fails first
            socket.readable().await?;
            fill(&mut s, &mut buf, CHUNK).await?;
        }
        deadline.within(limits.arrive);
        let head = loop {
            match parse_request(&buf) {
                Ok(Some(h)) => break h,
                Ok(None) => fill(&mut s, &mut buf, CHUNK).await?,
                Err(Error::Bad(why)) => return send_response(&mut s, &Response::refuse(400, why), true).await,
                Err(e) => return Err(e),
            }
        };
        if head.chunked || head.body > BODY_LIMIT {
            let status = if head.chunked { 400 } else { 413 };
            let r = Response::refuse(status, "body too large or in chunks");
            return send_response(&mut s, &r, true).await;
        }
        fill_to(&mut s, &mut buf, head.len + head.body).await?;
        let body = buf[head.len..head.len + head.body].to_vec();
        buf.drain(..head.len + head.body);
        if buf.capacity() > BODY_LIMIT / 4 {
            buf.shrink_to(CHUNK);
        }
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        deadline.none();
        let asked = Instant::now();
        let r = handler(Request { method: head.method, path, query, body }).await;
        // nobody waits so long.  An answer that is late because this process
        // stood still may be older than what a sibling has said since: it is
        // not sent
        if asked.elapsed() > limits.answer {
            return Ok(());
        }
        deadline.within(limits.arrive);
        let close = head.close || r.seldom && deadline.all.len() >= limits.scarce;
        send_response(&mut s, &r, close).await?;
        if close {
            return Ok(());
        }
    }
}

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

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever arrives, it is read, refused or waited for; nothing panics.
        #[test]
        fn strange_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
            let _ = parse_request(&bytes);
            let _ = parse_response(&bytes);
            let _ = decode::<crate::model::Spec>(&bytes);
            let _ = decode::<crate::workers::Report>(&bytes);
        }

        /// A request means the same however it is cut into packets.
        #[test]
        fn a_request_is_incomplete_until_its_head_is_whole(
            method in "GET|POST|DELETE",
            path in "/[a-z0-9/]{0,20}",
            len in 0usize..70_000,
            close in any::<bool>(),
        ) {
            let close_line = if close { "connection: close\r\n" } else { "" };
            let text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len}\r\n{close_line}\r\n");
            for cut in 0..text.len() {
                prop_assert!(parse_request(&text.as_bytes()[..cut]).expect("the start of a request").is_none());
            }
            let h = parse_request(text.as_bytes()).expect("a request").expect("all of it");
            prop_assert_eq!((h.method, h.target, h.body, h.close, h.len), (method, path, len, close, text.len()));
        }
    }

    /// Seen with three times the workers: those that found no connection ran
    /// into their leases.  More peers than connections each get their turn, and
    /// one that asks often keeps its own.
    #[test]
    fn more_peers_than_connections_all_get_their_turn() {
        let ex = Rc::new(smol::LocalExecutor::new());
        smol::block_on(ex.run(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let addr = listener.local_addr().expect("bound");
            let long = Duration::from_secs(60);
            let limits = ServerLimits { connections: 8, scarce: 4, idle: long, arrive: long, answer: long };
            let handler = |r: Request| {
                let seldom = r.path == "/seldom";
                std::future::ready(Response { seldom, ..Response::new(200, &()) })
            };
            ex.spawn(serve(ex.clone(), listener, limits, Rc::new(handler))).detach();
            let ask = |s: TcpStream, path: &'static str| async move {
                let mut s = s;
                let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
                s.write_all(text.as_bytes()).await.expect("it is open");
                let mut buf = Vec::new();
                loop {
                    fill(&mut s, &mut buf, CHUNK).await.expect("an answer");
                    if let Some(h) = parse_response(&buf).expect("a head") {
                        assert_eq!(h.status, 200);
                        return (s, h.close);
                    }
                }
            };
            let connect = || async { TcpStream::connect(addr).await.expect("it listens") };
            let (often, close) = ask(connect().await, "/often").await;
            assert!(!close);
            let mut kept = Vec::new();
            for n in 0..40 {
                let (s, close) = ask(connect().await, "/seldom").await;
                assert_eq!(close, n >= 2, "peer {n}");
                kept.push(s);
            }
            assert!(!ask(often, "/often").await.1);
        }));
    }

    /// Two lengths that differ are how requests are smuggled.
    #[test]
    fn lengths_that_differ_are_refused() {
        let r = parse_request(b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n");
        assert!(matches!(r, Err(Error::Bad(_))));
        for bad in ["-1", "+3", "", "0x3", "99999999999999999999999"] {
            let r = parse_request(format!("POST /x HTTP/1.1\r\nContent-Length: {bad}\r\n\r\n").as_bytes());
            assert!(r.is_err(), "{bad}");
        }
    }

    /// What is not one map and nothing else is no body.
    #[test]
    fn only_a_single_map_is_a_body() {
        #[derive(serde::Deserialize)]
        struct Any {}
        assert!(decode::<Any>(&[0x80]).is_ok());
        for bad in [&[][..], &[0x90], &[0xc0], &[0x80, 0x80], &[0x81, 0xa1]] {
            assert!(decode::<Any>(bad).is_err());
        }
    }
}
