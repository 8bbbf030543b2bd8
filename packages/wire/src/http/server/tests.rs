use super::super::parse_response;
use super::*;
use smol::net::TcpStream;

/// Guards against a fault with three times the workers: those that got no connection lost their
/// leases.  With more clients than connections each is served, and one that sends requests often
/// keeps its connection.
#[test]
fn more_clients_than_connections_are_all_served() {
    let ex = Rc::new(smol::LocalExecutor::new());
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let long = Duration::from_secs(60);
        let limits = ServerLimits { connections: 8, scarce: 4, idle: long, arrive: long, answer: long };
        let handler = |request: Request| {
            let seldom = request.path == "/seldom";
            std::future::ready(Response { seldom, ..Response::new(200, &()) })
        };
        ex.spawn(serve(ex.clone(), listener, limits, Rc::new(handler))).detach();
        let send = |mut stream: TcpStream, path: &'static str| async move {
            let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).await.expect("it is open");
            let mut buf = Vec::new();
            loop {
                fill(&mut stream, &mut buf, CHUNK).await.expect("a response");
                if let Some(head) = parse_response(&buf).expect("a head") {
                    assert_eq!(head.status, 200);
                    return (stream, head.close);
                }
            }
        };
        let connect = || async { TcpStream::connect(addr).await.expect("it listens") };
        let (often, close) = send(connect().await, "/often").await;
        assert!(!close);
        let mut kept = Vec::new();
        for n in 0..40 {
            let (stream, close) = send(connect().await, "/seldom").await;
            assert_eq!(close, n >= 2, "client {n}");
            kept.push(stream);
        }
        assert!(!send(often, "/often").await.1);
    }));
}
