//! Guards against a head that is cut within a line and completed by another answer being
//! taken for one answer, and against sound heads being taken for such.

use briarhall_net::is_merged_head;
use hyper::Response;
use hyper::ext::ReasonPhrase;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

macro_rules! cases {
    ($($name:ident: $reason:expr, $headers:expr => $merged:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let (mut parts, ()) = Response::new(()).into_parts();
                let reason: &'static str = $reason;
                parts.extensions.insert(ReasonPhrase::from_static(reason.as_bytes()));
                let lines: &[(&'static str, &'static str)] = &$headers;
                for (name, value) in lines {
                    let name = HeaderName::from_static(name);
                    parts.headers.append(name, HeaderValue::from_static(value));
                }
                assert_eq!(is_merged_head(&parts), $merged);
            }
        )+
    };
}

cases! {
    a_status_line_within_a_value: "OK", [("date", "SatHTTP/1.1 200 OK")] => true;
    a_status_line_as_a_value: "OK", [("date", "HTTP/1.0 503 Service Unavailable")] => true;
    a_status_line_without_a_reason: "OK", [("date", "Sat, 05HTTP/1.1 200")] => true;
    a_status_line_in_a_later_header:
        "OK", [("date", "Sat"), ("x-a", "1"), ("x-a", "2HTTP/1.1 404 Not Found")] => true;
    a_status_line_in_the_reason: "Internal ServHTTP/1.1 200 OK", [] => true;
    a_status_line_behind_a_version: "OK", [("via", "HTTP/1.1 pHTTP/1.1 200 OK")] => true;
    plain_headers: "OK", [("date", "Sat, 05 Dec 2026 07:30:38 GMT"), ("via", "1.1 a")] => false;
    a_proxy_of_http_1_1: "OK", [("via", "HTTP/1.1 proxy"), ("upgrade", "HTTP/2.0")] => false;
    a_version_and_a_longer_number: "OK", [("x-a", "HTTP/1.1 2000")] => false;
    a_request_line: "OK", [("x-a", "GET /200 HTTP/1.1")] => false;
    a_version_that_ends_a_value: "OK", [("x-a", "HTTP/1."), ("x-b", "HTTP/1.1 ")] => false;
}
