//! The server: receives requests and sends responses.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::net::TcpListener;

use super::conn::{Conn, Deadlines};
use super::{fill, fill_to, parse_request, reason, Error, Request, Response, BODY_LIMIT, CHUNK};

/// Returns the head of a response as this server sends it.
pub fn response_head(response: &Response, close: bool) -> String {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
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

async fn send_response(connection: &mut Conn, response: &Response, close: bool) -> Result<(), Error> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    out.extend_from_slice(response_head(response, close).as_bytes());
    out.extend_from_slice(&response.body);
    connection.write_all(&out).await?;
    Ok(())
}

/// Limits of the server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
    /// From this number of open connections on, a connection whose client sends requests seldom
    /// ([`Response::seldom`]) is closed after its response.  There may be more such clients than
    /// connections, and each has to be served.
    pub scarce: usize,
    /// How long a connection may stay idle between requests.
    pub idle: Duration,
    /// How long a request may take to arrive completely.
    pub arrive: Duration,
    /// How long after its request a response is still of use to the client.
    pub answer: Duration,
}

/// Accepts connections and serves each in a task of its own; never returns.
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
    let listener: Arc<smol::Async<std::net::TcpListener>> = listener.into();
    loop {
        let stream = match listener.read_with(std::net::TcpListener::accept).await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // mostly the process has no free sockets: wait until some are closed
                tracing::error!(error = %e, "cannot accept a connection");
                smol::Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        if deadlines.open() >= limits.connections {
            continue;
        }
        // a response is written at once and nothing follows it, so nodelay would have no effect
        let Ok(connection) = Conn::new(stream, &deadlines) else { continue };
        let handler = handler.clone();
        ex.spawn(async move {
            if let Err(e) = serve_connection(connection, limits, &*handler).await {
                tracing::trace!(error = %e, "connection closed");
            }
        })
        .detach();
    }
}

/// What arrived on a connection.
enum Received {
    /// A request; `close` if the client closes the connection after it.
    Request { request: Request, close: bool },
    /// Something else, which is answered with this error response.
    Invalid(Response),
}

/// Reads the next request.  `buf` holds its beginning, and after it whatever followed it.
async fn receive_request(connection: &mut Conn, buf: &mut Vec<u8>) -> Result<Received, Error> {
    let head = loop {
        match parse_request(buf) {
            Ok(Some(head)) => break head,
            Ok(None) => fill(connection, buf, CHUNK).await?,
            Err(Error::Bad(reason)) => return Ok(Received::Invalid(Response::refuse(400, reason))),
            Err(e) => return Err(e),
        }
    };
    if head.chunked || head.body > BODY_LIMIT {
        let status = if head.chunked { 400 } else { 413 };
        return Ok(Received::Invalid(Response::refuse(status, "body too large or in chunks")));
    }
    fill_to(connection, buf, head.len + head.body).await?;
    let body = buf[head.len..head.len + head.body].to_vec();
    buf.drain(..head.len + head.body);
    if buf.capacity() > BODY_LIMIT / 4 {
        buf.shrink_to(CHUNK);
    }
    let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    Ok(Received::Request { request: Request { method: head.method, path, query, body }, close: head.close })
}

/// Serves one connection until it is closed.
async fn serve_connection<H, F>(mut connection: Conn, limits: ServerLimits, handler: &H) -> Result<(), Error>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    let mut is_new = true;
    loop {
        if buf.is_empty() {
            connection.within(limits.idle);
            // The next request has usually not arrived yet, so a read would fail first.  On a new
            // connection it usually has, by the time the connection is handled.
            if !is_new {
                connection.readable().await?;
            }
            fill(&mut connection, &mut buf, CHUNK).await?;
            is_new = false;
        }
        connection.within(limits.arrive);
        let (request, client_closes) = match receive_request(&mut connection, &mut buf).await? {
            Received::Request { request, close } => (request, close),
            Received::Invalid(response) => return send_response(&mut connection, &response, true).await,
        };
        connection.unlimited();
        let received_at = Instant::now();
        let response = handler(request).await;
        // No client waits this long.  A response that is late because this process was stalled may
        // be older than what another controller has reported since: it must not be sent.
        if received_at.elapsed() > limits.answer {
            return Ok(());
        }
        connection.within(limits.arrive);
        let close = client_closes || response.seldom && connection.open() >= limits.scarce;
        send_response(&mut connection, &response, close).await?;
        if close {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests;
