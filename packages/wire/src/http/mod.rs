//! HTTP/1.1 with MessagePack bodies: a small server and a client that keeps
//! its connections.  Every read is bounded in time and size, so that slow,
//! half-open or oversized peers cost little.

mod client;
mod conn;
mod server;

pub use client::{request_head, Client};
pub use server::{response_head, serve, ServerLimits};

use std::future::Future;
use std::time::Duration;

use futures_lite::future::or;
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::io::{AsyncRead, AsyncReadExt};

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
async fn fill(s: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>, most: usize) -> Result<(), Error> {
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
async fn fill_to(s: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>, len: usize) -> Result<(), Error> {
    while buf.len() < len {
        fill(s, buf, len - buf.len()).await?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
