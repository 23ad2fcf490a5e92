//! Guards against an answer that ends anywhere before its end being taken for a document, by
//! the calls to the store, to other gateways and to engines.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::Call;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::Threads;
use briarhall_net::TimerRuntime;
use briarhall_net::bind;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Answers each connection with the first bytes of `answer`, one more for each.
fn start_server(executor: &Executor, answer: &'static str) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a listener");
    let address = listener.local_addr().expect("an address");
    executor.detach(async move {
        for cut in 0..=answer.len() {
            let (mut stream, _peer) = listener.accept().await.expect("a connection");
            let mut buf = Vec::new();
            let mut byte = [0];
            while !buf.ends_with(b"\r\n\r\n") {
                stream.read_exact(&mut byte).await.expect("a request");
                buf.push(byte[0]);
            }
            let sent = stream.write_all(&answer.as_bytes()[..cut]).await;
            sent.expect("the client reads");
        }
    });
    address
}

fn only_the_whole_is_read(answer: &'static str) {
    let executor = Executor::default();
    let timers = TimerRuntime::start().expect("a thread");
    Threads::start("test", 1, &executor, &timers).expect("threads");
    let address = start_server(&executor, answer);
    let client = HttpClient::new(executor);
    for cut in 0..=answer.len() {
        let fetched = client.fetch::<Value>(Call::get(address, "/"), TIMEOUT);
        let fetched = async_io::block_on(fetched);
        assert_eq!(fetched.is_ok(), cut == answer.len(), "{cut}: {fetched:?}");
    }
}

macro_rules! cases {
    ($($name:ident: $answer:expr;)+) => {
        $(
            #[test]
            fn $name() {
                only_the_whole_is_read($answer);
            }
        )+
    };
}

cases! {
    a_document_with_a_length: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"a\":[1]}";
    a_document_in_chunks:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n{\"a\"\r\n5\r\n:[1]}\r\n0\r\n\r\n";
    a_document_that_ends_with_its_connection: "HTTP/1.1 200 OK\r\nx-a: 1\r\n\r\n{\"a\":[1]}";
    a_document_behind_an_interim_head:
        "HTTP/1.1 103 Early Hints\r\nx-a: 1\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]";
}
