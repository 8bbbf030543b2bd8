//! Requests of others: users, workers, and who else connects.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::net::TcpListener;

use super::conn::{Conn, Deadlines};
use super::{fill, fill_to, parse_request, reason, Error, Request, Response, BODY_LIMIT, CHUNK};

/// The head of an answer as this server sends it.
pub fn response_head(r: &Response, close: bool) -> String {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        r.status,
        reason(r.status),
        r.body.len()
    );
    if let Some(s) = r.retry_after {
        head += &format!("Retry-After: {s}\r\n");
    }
    if close {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    head
}

async fn send_response(s: &mut Conn, r: &Response, close: bool) -> Result<(), Error> {
    let mut out = Vec::with_capacity(160 + r.body.len());
    out.extend_from_slice(response_head(r, close).as_bytes());
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
    let listener: Arc<smol::Async<std::net::TcpListener>> = listener.into();
    loop {
        let stream = match listener.read_with(std::net::TcpListener::accept).await {
            Ok((s, _)) => s,
            Err(e) => {
                // mostly out of sockets: let some close
                tracing::error!("accept: {e}");
                smol::Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        if deadlines.open() >= limits.connections {
            continue;
        }
        // an answer is written at once and nothing follows it: nodelay would
        // change nothing
        let Ok(conn) = Conn::new(stream, &deadlines) else { continue };
        let handler = handler.clone();
        ex.spawn(async move {
            if let Err(e) = connection(conn, limits, &*handler).await {
                tracing::trace!("connection ends: {e}");
            }
        })
        .detach();
    }
}

async fn connection<H, F>(mut s: Conn, limits: ServerLimits, handler: &H) -> Result<(), Error>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    let mut first = true;
    loop {
        if buf.is_empty() {
            s.within(limits.idle);
            // the next request is not there yet: no try that fails first.  On a
            // new connection it mostly is, by the time that its turn comes
            if !first {
                s.readable().await?;
            }
            fill(&mut s, &mut buf, CHUNK).await?;
            first = false;
        }
        s.within(limits.arrive);
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
        s.unlimited();
        let asked = Instant::now();
        let r = handler(Request { method: head.method, path, query, body }).await;
        // nobody waits so long.  An answer that is late because this process
        // stood still may be older than what a sibling has said since: it is
        // not sent
        if asked.elapsed() > limits.answer {
            return Ok(());
        }
        s.within(limits.arrive);
        let close = head.close || r.seldom && s.open() >= limits.scarce;
        send_response(&mut s, &r, close).await?;
        if close {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests;
