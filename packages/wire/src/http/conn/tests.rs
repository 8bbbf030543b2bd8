use super::*;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::TcpListener;

/// Before, a wait that ended in a read left its event behind, and each wait
/// after it ended at once with nothing to read: two reads a request.
#[test]
fn a_wait_ends_by_what_came_and_not_by_what_was_read() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut peer = smol::net::TcpStream::connect(listener.local_addr().expect("bound")).await.expect("listens");
        let all = Deadlines::new(Duration::from_secs(1));
        let (s, _) = listener.accept().expect("it connected");
        let mut conn = Conn::new(s, &all).expect("a socket");
        let mut buf = [0; 8];
        for n in 0..3 {
            // it waits, and only then something comes
            let mut first = Box::pin(async {
                if n > 0 {
                    conn.readable().await.expect("open");
                    let mut s = match &conn.socket {
                        Socket::Known(s) => s.get_ref(),
                        _ => panic!("it has waited"),
                    };
                    let there = s.read(&mut buf).expect("what ended the wait is there");
                    return there;
                }
                conn.read(&mut buf).await.expect("open")
            });
            assert!(smol::future::poll_once(&mut first).await.is_none(), "round {n}");
            peer.write_all(b"ask").await.expect("open");
            assert_eq!(first.await, 3);
        }
        assert_eq!((all.open(), all.waiting.borrow().len()), (1, 1));
        drop(conn);
        assert_eq!((all.open(), all.waiting.borrow().len()), (0, 0));
    });
}
