//! HTTP/1.1 with MessagePack bodies: a small server, and a client that reuses connections.
//! Every read is limited in time and size, so that slow, half-open or oversized connections cost
//! little.

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

/// Maximum size of a request body, and of a response to workers and users, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Maximum size of a response body that the client accepts, in bytes; large enough for lists and
/// watches of the state service.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Maximum size of the head of a message, in bytes.
const HEAD_LIMIT: usize = 8 * 1024;

/// Why a request got no usable response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established, or broke.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// There was no response in time; the request may still be carried out.
    #[error("no answer in time")]
    Timeout,
    /// The peer sent something that is not HTTP or not MessagePack.
    #[error("bad message: {0}")]
    Bad(&'static str),
}

/// Encodes a body as a MessagePack map.  A value that cannot be encoded is logged, and the result
/// is an empty map.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_else(|e| {
        tracing::error!(error = %e, "cannot encode a message");
        vec![0x80]
    })
}

/// Decodes a body.
///
/// # Errors
/// [`Error::Bad`] if the body is anything but one MessagePack map with the fields of `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    // serde would accept a list for a struct as well
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

/// A request that the server has received.
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

/// A response of the server.
#[derive(Debug, Clone)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The MessagePack body.
    pub body: Vec<u8>,
    /// Value of `Retry-After` in seconds, if the client should try again later.
    pub retry_after: Option<u32>,
    /// Whether the client will send no other request for a while.  When connections are scarce,
    /// its connection is closed after this response.
    pub seldom: bool,
}

/// The body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Response {
    /// Creates a response with a body.
    pub fn new<T: Serialize>(status: u16, body: &T) -> Self {
        Response { status, body: encode(body), retry_after: None, seldom: false }
    }
    /// Creates an error response with a short reason; 429 and 503 ask the client to try again.
    pub fn refuse(status: u16, reason: &str) -> Self {
        let retry_after = matches!(status, 429 | 503).then_some(1);
        Response { retry_after, ..Self::new(status, &ErrorBody { error: reason }) }
    }
}

/// Returns the reason phrase of a status.
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

/// Waits for a result, at most for `limit`.
async fn within<T>(limit: Duration, work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    or(work, async {
        smol::Timer::after(limit).await;
        Err(Error::Timeout)
    })
    .await
}

/// The head of a request or a response, parsed.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Target of a request as sent; empty for a response.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Size of the head in bytes.
    pub len: usize,
    /// Size of the body in bytes.
    pub body: usize,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
    /// Whether the body is chunked, which is not supported.
    pub chunked: bool,
    /// `Retry-After` as sent, in either of its forms.
    pub retry_after: Option<String>,
}

/// A response that the client has received.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The MessagePack body.
    pub body: Vec<u8>,
    /// `Retry-After` as sent, in either of its forms.
    pub retry_after: Option<String>,
}

/// The header fields that matter here.
struct HeaderFields {
    /// Size of the body in bytes.
    body: usize,
    close: bool,
    chunked: bool,
    retry_after: Option<String>,
}

fn parse_headers(headers: &[httparse::Header<'_>], http10: bool) -> Result<HeaderFields, Error> {
    let mut body = None;
    let mut fields = HeaderFields { body: 0, close: http10, chunked: false, retry_after: None };
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(header.value).ok_or(Error::Bad("content-length"))?;
            // two different lengths are a way to smuggle requests
            if body.is_some_and(|earlier| earlier != length) {
                return Err(Error::Bad("content-length twice"));
            }
            body = Some(length);
        } else if header.name.eq_ignore_ascii_case("connection") {
            if header.value.eq_ignore_ascii_case(b"close") {
                fields.close = true;
            } else if header.value.eq_ignore_ascii_case(b"keep-alive") {
                fields.close = false;
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            fields.chunked = true;
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            fields.retry_after = std::str::from_utf8(header.value).ok().map(|value| value.trim().to_owned());
        }
    }
    fields.body = body.unwrap_or(0);
    Ok(fields)
}

/// Parses a length of decimal digits only; the standard parser would accept a sign as well.
fn parse_content_length(value: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(value).ok()?.trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// Parses the head of a request; `None` while it is incomplete.
///
/// # Errors
/// [`Error::Bad`] if it is malformed or too long.
pub fn parse_request(buf: &[u8]) -> Result<Option<Head>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(buf).map_err(|_| Error::Bad("request head"))? {
        httparse::Status::Partial if buf.len() > HEAD_LIMIT => Err(Error::Bad("head too long")),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => {
            let HeaderFields { body, close, chunked, retry_after } =
                parse_headers(req.headers, req.version == Some(0))?;
            let method = req.method.unwrap_or_default().to_owned();
            let target = req.path.unwrap_or_default().to_owned();
            Ok(Some(Head { method, target, status: 0, len, body, close, chunked, retry_after }))
        }
    }
}

/// Parses the head of a response; `None` while it is incomplete.
///
/// # Errors
/// [`Error::Bad`] if it is malformed or too long.
pub fn parse_response(buf: &[u8]) -> Result<Option<Head>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut res = httparse::Response::new(&mut headers);
    match res.parse(buf).map_err(|_| Error::Bad("response head"))? {
        httparse::Status::Partial if buf.len() > HEAD_LIMIT => Err(Error::Bad("head too long")),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => {
            let HeaderFields { body, close, chunked, retry_after } =
                parse_headers(res.headers, res.version == Some(0))?;
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

/// Size of a read while the length of the message is not known yet, in bytes.  It is small
/// because every idle connection has a buffer of this size.
const CHUNK: usize = 2048;

/// Reads once into the buffer, at most `most` bytes; an error at the end of the stream.
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

/// Reads until the buffer holds `len` bytes.
async fn fill_to(s: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>, len: usize) -> Result<(), Error> {
    while buf.len() < len {
        fill(s, buf, len - buf.len()).await?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
