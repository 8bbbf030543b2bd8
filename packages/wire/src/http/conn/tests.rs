//! Tests of waiting on accepted connections.

use super::*;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::net::TcpListener;

/// Guards against a read that leaves its readiness event behind: every later wait then ended at once with
/// nothing to read, which cost two reads per request.
#[test]
fn a_wait_ends_only_when_new_data_has_arrived() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let mut peer = smol::net::TcpStream::connect(listener.local_addr().expect("the listener is bound"))
            .await
            .expect("the listener accepts connections");
        let deadlines = Deadlines::new(Duration::from_secs(1));
        let (stream, _) = listener.accept().expect("the peer has connected");
        let mut connection = Connection::new(stream, &deadlines).expect("the stream becomes non-blocking");
        let mut buf = [0; 8];
        for round in 0..3 {
            // The future is polled before the peer sends, so it has to wait.
            let mut read = Box::pin(async {
                if round > 0 {
                    connection.readable().await.expect("the connection is open");
                    let mut stream = match &connection.socket {
                        Socket::Registered(registered) => registered.get_ref(),
                        _ => panic!("the connection has waited and is not registered"),
                    };
                    return stream.read(&mut buf).expect("the data that ended the wait is readable");
                }
                connection.read(&mut buf).await.expect("the connection is open")
            });
            assert!(
                smol::future::poll_once(&mut read).await.is_none(),
                "round {round}: the read ended before data arrived"
            );
            peer.write_all(b"ask").await.expect("the connection is open");
            assert_eq!(read.await, 3);
        }
        assert_eq!((deadlines.open_connections(), deadlines.registered.borrow().len()), (1, 1));
        drop(connection);
        assert_eq!((deadlines.open_connections(), deadlines.registered.borrow().len()), (0, 0));
    });
}
