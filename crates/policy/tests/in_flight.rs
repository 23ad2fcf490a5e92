//! Requests in flight at a gateway that may end, compared with a plain list.

use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::in_flight::InFlightRequests;
use briarhall_types::ReplicaId;
use compact_str::CompactString;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A request comes.
    Add,
    /// One of those in flight is sent to a replica.
    Send(u8),
    /// One of those in flight is answered.
    End(u8),
    /// The process asks whether it may end.
    CloseIfEmpty,
    /// The process ends in any case.
    Close,
}

/// Guards against requests that are passed on after the process has decided to end, and cut
/// as it does.
#[test]
fn no_request_is_taken_after_the_decision_to_end() {
    briarhall_fuzz::histories::<Op, _>(1..200, |ops| {
        let mut requests = InFlightRequests::default();
        let mut open = Vec::new();
        let mut closed = false;
        let now = Instant::now();
        for op in ops {
            match *op {
                Op::Add => {
                    let key = requests.add(CompactString::const_new("r"), now);
                    assert_eq!(key.is_none(), closed);
                    open.extend(key.map(|key| (key, false)));
                }
                Op::Send(n) if !open.is_empty() => {
                    let n = usize::from(n) % open.len();
                    let (key, sent) = &mut open[n];
                    requests.sent(*key, &ReplicaId::from("i-1"), now);
                    *sent = true;
                }
                Op::End(n) if !open.is_empty() => {
                    let (key, _) = open.swap_remove(usize::from(n) % open.len());
                    requests.remove(key);
                }
                Op::CloseIfEmpty => {
                    closed |= open.is_empty();
                    assert_eq!(requests.close_if_empty(), closed);
                }
                Op::Close => {
                    requests.close();
                    closed = true;
                }
                Op::Send(_) | Op::End(_) => {}
            }
            assert_eq!(requests.len(), open.len());
            for (key, sent) in &open {
                assert_eq!(requests.was_sent(*key), *sent);
            }
        }
    });
}
