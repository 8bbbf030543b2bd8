//! Tests of the server with real connections.

use super::super::parse_response;
use super::*;
use smol::net::TcpStream;

/// Guards against a fault with three times as many workers as usual: workers that got no connection lost
/// their leases.  With more clients than connections, every client is served, and a client that sends
/// requests often keeps its connection.
#[test]
fn all_clients_are_served_when_there_are_more_clients_than_connections() {
    let executor = Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let timeout = Duration::from_secs(60);
        let limits = ServerLimits {
            max_connections: 8,
            scarce_connections: 4,
            idle_timeout: timeout,
            transfer_timeout: timeout,
            response_timeout: timeout,
        };
        let handler = |request: Request| {
            let closes_when_scarce = request.path == "/seldom";
            std::future::ready(Response { closes_when_scarce, ..Response::new(200, &()) })
        };
        executor.spawn(serve(executor.clone(), listener, limits, Rc::new(handler))).detach();
        let send = |mut stream: TcpStream, path: &'static str| async move {
            let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).await.expect("the connection is open");
            let mut buf = Vec::new();
            loop {
                fill_once(&mut stream, &mut buf, READ_SIZE).await.expect("the server responds");
                if let Some(head) = parse_response(&buf).expect("the head is well-formed") {
                    assert_eq!(head.status, 200);
                    return (stream, head.close);
                }
            }
        };
        let connect = || async { TcpStream::connect(addr).await.expect("the server accepts connections") };
        let (frequent, close) = send(connect().await, "/often").await;
        assert!(!close);
        let mut open_streams = Vec::new();
        for index in 0..40 {
            let (stream, close) = send(connect().await, "/seldom").await;
            assert_eq!(close, index >= 2, "client {index}");
            open_streams.push(stream);
        }
        assert!(!send(frequent, "/often").await.1);
    }));
}
