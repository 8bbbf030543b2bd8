use super::super::parse_response;
use super::*;
use smol::net::TcpStream;

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
