//! HTTP/1.1 with MessagePack bodies: a small server, and a client that reuses connections.
//!
//! Every read has a limit on its time and its size, which bounds the resources that slow or half-open
//! connections and oversized messages can take.  Chunked bodies are not supported.

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

/// Maximum size of a request body that the server accepts, in bytes.  Responses to workers and users
/// keep to the same limit.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Maximum size of a response body that the client accepts, in bytes.  Lists and watches of the state
/// service have bodies larger than [`BODY_LIMIT`].
const CLIENT_BODY_LIMIT: usize = 8 * 1024 * 1024;
/// Maximum size of the head of an incomplete message, in bytes.
const HEAD_LIMIT: usize = 8 * 1024;

/// An error of sending a request, or of receiving or decoding a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established, or it failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// No response arrived within the time limit.  The peer may still carry out the request.
    #[error("no response within the time limit")]
    Timeout,
    /// The peer sent a message that is malformed, too large or of an unsupported form.  The server
    /// quotes this text in error responses to workers and users.
    #[error("bad message: {0}")]
    Malformed(&'static str),
}

/// Encodes a body as MessagePack, with structs as maps from field names to values.
///
/// If the value cannot be encoded, the error is logged and the result is an empty map.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_else(|e| {
        tracing::error!(error = %e, "cannot encode a message");
        vec![0x80]
    })
}

/// Decodes a body that consists of one MessagePack map with the fields of `T`.
///
/// # Errors
/// Returns [`Error::Malformed`] if the body is not a map, if its fields do not match those of `T`, or if
/// bytes follow the map.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    // serde would also decode a list as a struct.
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        _ => return Err(Error::Malformed("not a map")),
    }
    let mut deserializer = rmp_serde::Deserializer::new(std::io::Cursor::new(body));
    deserializer.set_max_depth(32);
    let value = T::deserialize(&mut deserializer).map_err(|_| Error::Malformed("wrong fields"))?;
    if deserializer.position() as usize != body.len() {
        return Err(Error::Malformed("trailing bytes"));
    }
    Ok(value)
}

/// A request that the server has received.
#[derive(Debug)]
pub struct Request {
    /// HTTP method as sent, such as `GET`.
    pub method: String,
    /// Path of the request target, without the query.
    pub path: String,
    /// Query of the request target, without the question mark; empty if there is none.
    pub query: String,
    /// Body as sent, at most [`BODY_LIMIT`] bytes; [`decode`] decodes it.
    pub body: Vec<u8>,
}

/// A response that the server sends.
#[derive(Debug, Clone)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The MessagePack body.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds; `None` omits the header.
    pub retry_after: Option<u32>,
    /// Whether the connection is closed after this response if connections are scarce (see
    /// [`ServerLimits::scarce_connections`]).  It is true for clients that send requests at long intervals.
    pub closes_when_scarce: bool,
}

/// Body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Response {
    /// Returns a response with the encoded `body` and without `Retry-After`.
    pub fn new<T: Serialize>(status: u16, body: &T) -> Self {
        Response { status, body: encode(body), retry_after: None, closes_when_scarce: false }
    }
    /// Returns an error response with a short reason.  With status 429 or 503 the response asks the client
    /// to try again after 1 s.
    pub fn error(status: u16, reason: &str) -> Self {
        let retry_after = matches!(status, 429 | 503).then_some(1);
        Response { retry_after, ..Self::new(status, &ErrorBody { error: reason }) }
    }
}

/// Returns the reason phrase of an HTTP status; statuses that this server does not send have that of 503.
fn reason_phrase(status: u16) -> &'static str {
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

/// Returns the result of `work`, or [`Error::Timeout`] if it takes longer than `timeout`.
async fn within<T>(timeout: Duration, work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    or(work, async {
        smol::Timer::after(timeout).await;
        Err(Error::Timeout)
    })
    .await
}

/// The parsed head of a request or of a response.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// HTTP method of a request; empty for a response.
    pub method: String,
    /// Target of a request as sent, that is, path and query; empty for a response.
    pub target: String,
    /// HTTP status of a response; 0 for a request.
    pub status: u16,
    /// Size of the head in bytes, including the empty line at its end.
    pub head_len: usize,
    /// Size of the body in bytes; 0 without `Content-Length`.
    pub body_len: usize,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
    /// Whether the message has a `Transfer-Encoding`, such as chunked, none of which is supported.
    pub chunked: bool,
    /// Value of the `Retry-After` header as sent, in seconds or as a date; `None` if there is none.
    pub retry_after: Option<String>,
}

/// A response that the client has received.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientResponse {
    /// The HTTP status.
    pub status: u16,
    /// The MessagePack body.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header as sent, in seconds or as a date; `None` if there is none.
    pub retry_after: Option<String>,
}

/// Header fields that determine how a message is read and what becomes of its connection.
struct HeaderFields {
    /// Size of the body in bytes.
    body_len: usize,
    close: bool,
    chunked: bool,
    retry_after: Option<String>,
}

/// Extracts the header fields that the client and the server use.  HTTP/1.0 connections are closed after
/// the message unless a header says otherwise.
fn parse_headers(headers: &[httparse::Header<'_>], is_http_1_0: bool) -> Result<HeaderFields, Error> {
    let mut body = None;
    let mut fields = HeaderFields { body_len: 0, close: is_http_1_0, chunked: false, retry_after: None };
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(header.value).ok_or(Error::Malformed("content-length"))?;
            // Different lengths in one message would allow request smuggling.
            if body.is_some_and(|earlier| earlier != length) {
                return Err(Error::Malformed("content-length twice"));
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
    fields.body_len = body.unwrap_or(0);
    Ok(fields)
}

/// Parses a `Content-Length`, which may consist of decimal digits only.  `usize::parse` would also accept
/// a leading plus sign.
fn parse_content_length(value: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(value).ok()?.trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// Parses the head of a request at the start of `buf`; returns `None` while it is incomplete.
///
/// # Errors
/// Returns [`Error::Malformed`] if the head is malformed, or incomplete and longer than 8 KiB.
pub fn parse_request(buf: &[u8]) -> Result<Option<Head>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(buf).map_err(|_| Error::Malformed("request head"))? {
        httparse::Status::Partial if buf.len() > HEAD_LIMIT => Err(Error::Malformed("head too long")),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(head_len) => {
            let HeaderFields { body_len, close, chunked, retry_after } =
                parse_headers(request.headers, request.version == Some(0))?;
            let method = request.method.unwrap_or_default().to_owned();
            let target = request.path.unwrap_or_default().to_owned();
            Ok(Some(Head { method, target, status: 0, head_len, body_len, close, chunked, retry_after }))
        }
    }
}

/// Parses the head of a response at the start of `buf`; returns `None` while it is incomplete.
///
/// # Errors
/// Returns [`Error::Malformed`] if the head is malformed, or incomplete and longer than 8 KiB.
pub fn parse_response(buf: &[u8]) -> Result<Option<Head>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buf).map_err(|_| Error::Malformed("response head"))? {
        httparse::Status::Partial if buf.len() > HEAD_LIMIT => Err(Error::Malformed("head too long")),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(head_len) => {
            let HeaderFields { body_len, close, chunked, retry_after } =
                parse_headers(response.headers, response.version == Some(0))?;
            let status = response.code.unwrap_or(0);
            Ok(Some(Head {
                method: String::new(),
                target: String::new(),
                status,
                head_len,
                body_len,
                close,
                chunked,
                retry_after,
            }))
        }
    }
}

/// Maximum size of a single read while the length of the message is not known, in bytes.  The value is
/// small because every idle connection holds a buffer of this size.
const READ_SIZE: usize = 2048;

/// Reads once and appends what was read to the buffer, at most `max_bytes` bytes.
///
/// # Errors
/// Returns [`Error::Io`] if the read fails or the stream has ended.
async fn fill_once(stream: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>, max_bytes: usize) -> Result<(), Error> {
    let previous_len = buf.len();
    buf.resize(previous_len + max_bytes, 0);
    let bytes_read = stream.read(&mut buf[previous_len..]).await?;
    buf.truncate(previous_len + bytes_read);
    if bytes_read == 0 {
        return Err(Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(())
}

/// Reads until the buffer holds at least `len` bytes.
///
/// # Errors
/// Returns [`Error::Io`] if a read fails or the stream ends before that.
async fn fill_to_len(stream: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>, len: usize) -> Result<(), Error> {
    while buf.len() < len {
        fill_once(stream, buf, len - buf.len()).await?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
