//! Guards against an answer whose end is not marked being taken for one whose
//! end is.

use briarhall_net::Framing;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

macro_rules! cases {
    ($($name:ident: $headers:expr => $framing:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut headers = HeaderMap::new();
                let lines: &[(&'static str, &'static str)] = &$headers;
                for (name, value) in lines {
                    let name = HeaderName::from_static(name);
                    headers.append(name, HeaderValue::from_static(value));
                }
                assert_eq!(Framing::of(&headers), $framing);
            }
        )+
    };
}

cases! {
    neither_length_nor_chunks_ends_with_the_connection:
        [("content-type", "text/event-stream")] => Framing::Connection;
    a_length_is_a_length: [("content-length", "12")] => Framing::Length;
    chunks_are_chunks: [("transfer-encoding", "Chunked")] => Framing::Chunked;
    chunks_go_before_a_length:
        [("content-length", "12"), ("transfer-encoding", "chunked")] => Framing::Chunked;
    chunks_come_last:
        [("transfer-encoding", "gzip , chunked")] => Framing::Chunked;
    chunks_come_last_in_several_lines:
        [("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")] => Framing::Chunked;
    another_last_coding_ends_with_the_connection:
        [("transfer-encoding", "chunked, gzip")] => Framing::Connection;
}
