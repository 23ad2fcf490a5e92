//! Guards against an answer that ends with its connection being taken for whole while its
//! request is still being written, by the calls of gateways, of the product's own routers and
//! to the store.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use briarhall_net::Body;
use briarhall_net::Call;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::Threads;
use briarhall_net::TimerRuntime;
use briarhall_net::read_limited;
use socket2::SockRef;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Time from the end of an answer to what follows.
const LATER: Duration = Duration::from_millis(40);
const RECEIVE_BUFFER: usize = 16 * 1024;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\na part";

/// What a server does once it has answered and ended its half of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    /// Resets the connection.
    Resets,
    /// Closes it with the request unread.
    Closes,
    /// Reads the rest of the request.
    ReadsOn,
}

fn serve(mut stream: TcpStream, then: Then) {
    let mut byte = [0];
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
    stream.write_all(ANSWER).expect("the client reads");
    stream
        .shutdown(Shutdown::Write)
        .expect("an open connection");
    thread::sleep(LATER);
    match then {
        Then::Resets => {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("an option");
        }
        Then::Closes => {}
        Then::ReadsOn => {
            // The client closes once it has the answer.
            let _read = stream.read_to_end(&mut Vec::new());
        }
    }
}

fn start_server(then: Then) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let socket = SockRef::from(&listener);
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("an option");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (stream, _peer) = listener.accept().expect("a connection");
        serve(stream, then);
    });
    address
}

/// Returns whether the answer to an upload of this many bytes is taken for whole.
fn looks_whole(upload: usize, then: Then) -> bool {
    let executor = Executor::default();
    let timers = TimerRuntime::start().expect("a thread");
    Threads::start("test", 1, &executor, &timers).expect("threads");
    let client = HttpClient::new(executor);
    let call = Call::post(start_server(then), "/").body(Body::full(vec![b'u'; upload]));
    async_io::block_on(async {
        let reply = client.send(call, TIMEOUT).await.expect("a head");
        read_limited(reply.into_body(), 100).await.is_ok()
    })
}

macro_rules! cases {
    ($($(#[$guard:meta])* $name:ident: ($upload:expr, $then:ident) => $whole:literal;)+) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                assert_eq!(looks_whole($upload, Then::$then), $whole);
            }
        )+
    };
}

cases! {
    /// The upload waits to be written as the answer ends.
    reset_beside_a_large_upload: (4_000_000, Resets) => false;
    /// The system has taken all of the upload, and cannot send it.
    reset_beside_an_upload_in_the_system: (400_000, Resets) => false;
    /// The reset comes from the system of the server.
    closed_beside_a_large_upload: (4_000_000, Closes) => false;
    /// Guards against whole answers that count as broken.
    read_on_after_an_early_answer: (4_000_000, ReadsOn) => true;
    /// The same with a request that was sent before the answer ended.
    answered_after_the_request: (0, Resets) => true;
}
