//! An HTTP server that serves each connection in a task of its own.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::net::TcpListener;

use super::conn::{Connection, Deadlines};
use super::{fill_once, fill_to_len, parse_request, reason_phrase, Error, Request, Response, BODY_LIMIT, READ_SIZE};

/// Returns the head of a response as the server sends it.  `close` says whether the server closes the
/// connection after the response.
pub fn response_head(response: &Response, close: bool) -> String {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if let Some(seconds) = response.retry_after {
        head += &format!("Retry-After: {seconds}\r\n");
    }
    if close {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    head
}

async fn send_response(connection: &mut Connection, response: &Response, close: bool) -> Result<(), Error> {
    let mut message = Vec::with_capacity(160 + response.body.len());
    message.extend_from_slice(response_head(response, close).as_bytes());
    message.extend_from_slice(&response.body);
    connection.write_all(&message).await?;
    Ok(())
}

/// Limits of a server on connections and times.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections.  Further connections are closed as soon as they are accepted.
    pub max_connections: usize,
    /// Number of open connections from which on connections are scarce.  A connection whose client sends
    /// requests at long intervals ([`Response::closes_when_scarce`]) is then closed after its response, because there
    /// may be more such clients than connections and each of them has to be served.
    pub scarce_connections: usize,
    /// Maximum time for which a connection may be idle before or between requests.
    pub idle_timeout: Duration,
    /// Maximum time that a request may take to arrive completely, and a response to be sent.
    pub transfer_timeout: Duration,
    /// Maximum time from the arrival of a request until its response is ready.  A later response is
    /// dropped and the connection closed.
    pub response_timeout: Duration,
}

/// Accepts connections on `listener` and serves each in a task of its own on `executor`; never returns.
///
/// `handler` is called for every well-formed request.  Malformed requests are answered with an error
/// response, after which the connection is closed.
pub async fn serve<H, F>(
    executor: Rc<smol::LocalExecutor<'static>>,
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let deadlines = Deadlines::new(limits.transfer_timeout / 8);
    executor.spawn(deadlines.clone().run()).detach();
    let listener: Arc<smol::Async<std::net::TcpListener>> = listener.into();
    loop {
        let stream = match listener.read_with(std::net::TcpListener::accept).await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Usually the process has run out of file descriptors.  The pause gives other connections
                // time to close.
                tracing::error!(error = %e, "cannot accept a connection");
                smol::Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        if deadlines.open_connections() >= limits.max_connections {
            continue;
        }
        // TCP_NODELAY is not set: every response is written at once and nothing follows it, so the option
        // would have no effect.
        let Ok(connection) = Connection::new(stream, &deadlines) else { continue };
        let handler = handler.clone();
        executor
            .spawn(async move {
                if let Err(e) = serve_connection(connection, limits, &*handler).await {
                    tracing::trace!(error = %e, "connection closed");
                }
            })
            .detach();
    }
}

/// What has arrived on a connection.
enum Received {
    /// A well-formed request.  `close` says whether the client closes the connection after it.
    Request { request: Request, close: bool },
    /// A malformed or oversized request, and the error response to it.
    Invalid(Response),
}

/// Reads the next request.  `buf` may hold bytes of the request that have been read before; on return it
/// holds those that follow the request.
async fn receive_request(connection: &mut Connection, buf: &mut Vec<u8>) -> Result<Received, Error> {
    let head = loop {
        match parse_request(buf) {
            Ok(Some(head)) => break head,
            Ok(None) => fill_once(connection, buf, READ_SIZE).await?,
            Err(Error::Malformed(reason)) => return Ok(Received::Invalid(Response::error(400, reason))),
            Err(e) => return Err(e),
        }
    };
    if head.chunked || head.body_len > BODY_LIMIT {
        let status = if head.chunked { 400 } else { 413 };
        return Ok(Received::Invalid(Response::error(status, "body too large or in chunks")));
    }
    fill_to_len(connection, buf, head.head_len + head.body_len).await?;
    let body = buf[head.head_len..head.head_len + head.body_len].to_vec();
    buf.drain(..head.head_len + head.body_len);
    // Frees the memory that a large request has taken, because the connection may stay open for long.
    if buf.capacity() > BODY_LIMIT / 4 {
        buf.shrink_to(READ_SIZE);
    }
    let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    Ok(Received::Request { request: Request { method: head.method, path, query, body }, close: head.close })
}

/// Serves one connection until the client or the server closes it.
///
/// # Errors
/// Returns an error if the connection fails, is closed by the client or misses a deadline.
async fn serve_connection<H, F>(mut connection: Connection, limits: ServerLimits, handler: &H) -> Result<(), Error>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    let mut is_new = true;
    loop {
        if buf.is_empty() {
            connection.set_timeout(limits.idle_timeout);
            // Waits before the read, which would usually fail because the next request has not arrived.
            // On a new connection the first request has usually arrived by now, so it is read at once.
            if !is_new {
                connection.readable().await?;
            }
            fill_once(&mut connection, &mut buf, READ_SIZE).await?;
            is_new = false;
        }
        connection.set_timeout(limits.transfer_timeout);
        let (request, client_closes) = match receive_request(&mut connection, &mut buf).await? {
            Received::Request { request, close } => (request, close),
            Received::Invalid(response) => return send_response(&mut connection, &response, true).await,
        };
        connection.clear_timeout();
        let received_at = Instant::now();
        let response = handler(request).await;
        // A response that is late because this process has stalled must not be sent: it may report an
        // older state than another controller has reported in the meantime.  No client waits this long.
        if received_at.elapsed() > limits.response_timeout {
            return Ok(());
        }
        connection.set_timeout(limits.transfer_timeout);
        let close =
            client_closes || response.closes_when_scarce && connection.open_connections() >= limits.scarce_connections;
        send_response(&mut connection, &response, close).await?;
        if close {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests;
