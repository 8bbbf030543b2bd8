use super::*;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::TcpListener;

/// Guards against a wait that left its event behind when it ended in a read: each later wait
/// ended at once with nothing to read, which cost two reads per request.
#[test]
fn a_wait_ends_only_when_something_new_has_arrived() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut peer = smol::net::TcpStream::connect(listener.local_addr().expect("bound")).await.expect("listens");
        let deadlines = Deadlines::new(Duration::from_secs(1));
        let (stream, _) = listener.accept().expect("it connected");
        let mut conn = Conn::new(stream, &deadlines).expect("a socket");
        let mut buf = [0; 8];
        for n in 0..3 {
            // it waits, and only then something arrives
            let mut first = Box::pin(async {
                if n > 0 {
                    conn.readable().await.expect("open");
                    let mut stream = match &conn.socket {
                        Socket::Registered(connection) => connection.get_ref(),
                        _ => panic!("it has waited"),
                    };
                    return stream.read(&mut buf).expect("what ended the wait has arrived");
                }
                conn.read(&mut buf).await.expect("open")
            });
            assert!(smol::future::poll_once(&mut first).await.is_none(), "round {n}");
            peer.write_all(b"ask").await.expect("open");
            assert_eq!(first.await, 3);
        }
        assert_eq!((deadlines.open(), deadlines.waiting.borrow().len()), (1, 1));
        drop(conn);
        assert_eq!((deadlines.open(), deadlines.waiting.borrow().len()), (0, 0));
    });
}
