//! Guards against events that are lost, reordered or incomplete when the
//! network splits a stream at arbitrary bytes.

use bolero::TypeGenerator;
use briarhall_gateway::sse::EventSplitter;

/// How a line ends; the format allows all three.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum LineEnd {
    Lf,
    CrLf,
    Cr,
}

#[derive(Debug, Clone, TypeGenerator)]
struct Case {
    events: Vec<(u16, Vec<u8>, LineEnd)>,
    cuts: Vec<u8>,
    rest: Vec<u8>,
}

fn text(event: &(u16, Vec<u8>, LineEnd)) -> Vec<u8> {
    let (id, data, end) = event;
    let end = match end {
        LineEnd::Lf => "\n",
        LineEnd::CrLf => "\r\n",
        LineEnd::Cr => "\r",
    };
    let data = data.iter().map(|byte| char::from(b'a' + byte % 26));
    let data = data.collect::<String>();
    format!("id: {id}{end}data: {data}{end}{end}").into_bytes()
}

#[test]
fn events_are_complete_wherever_the_stream_is_split() {
    briarhall_fuzz::values::<Case, _>(|case| {
        let events = case.events.iter().take(20).map(text).collect::<Vec<_>>();
        let rest = case.rest.iter().map(|byte| b'a' + byte % 26);
        let rest = rest.collect::<Vec<_>>();
        let mut bytes = events.concat();
        bytes.extend_from_slice(&rest);
        let mut splitter = EventSplitter::default();
        let mut seen = Vec::new();
        let mut cuts = case.cuts.iter().cycle();
        let mut left = bytes.as_slice();
        while !left.is_empty() {
            let wanted = cuts.next().map_or(7, |cut| usize::from(*cut) % 40 + 1);
            let (now, later) = left.split_at(wanted.min(left.len()));
            splitter.push(now).expect("events are short");
            while let Some(event) = splitter.next_event() {
                seen.push(event);
            }
            left = later;
        }
        let whole = seen.iter().map(|event| event.bytes.to_vec());
        assert_eq!(whole.collect::<Vec<_>>(), events);
        let ids = seen
            .iter()
            .map(|event| event.id.clone().expect("every event has an id"));
        let sent = case.events.iter().take(20).map(|event| event.0.to_string());
        assert!(ids.eq(sent));
        assert_eq!(splitter.is_within_event(), !rest.is_empty());
        assert_eq!(splitter.take_rest(), rest);
    });
}

/// Guards against a stream whose lines end with carriage returns alone being held
/// back until it ends.
#[test]
fn an_event_ends_at_two_carriage_returns() {
    let mut splitter = EventSplitter::default();
    let event = b"data: a\rid: 7\r\r";
    splitter.push(event).expect("the event is short");
    let split = splitter.next_event().expect("the event is complete");
    assert_eq!(split.bytes.as_ref(), event);
    assert_eq!(split.id.as_deref(), Some("7"));
}

/// Guards against a body that ends within an event being taken for a whole one,
/// and a whole one for one that broke off.
macro_rules! rest_cases {
    ($($name:ident: $rest:expr => $within:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut splitter = EventSplitter::default();
                let event = b"id: 1\ndata: a\n\n";
                splitter.push(event).expect("the event is short");
                splitter.push($rest).expect("the rest is short");
                assert!(splitter.next_event().is_some());
                assert!(splitter.next_event().is_none());
                assert_eq!(splitter.is_within_event(), $within);
            }
        )+
    };
}

rest_cases! {
    nothing_is_between_events: b"" => false;
    a_blank_line_is_between_events: b"\n" => false;
    a_blank_line_with_a_carriage_return_is_between_events: b"\r\n" => false;
    a_comment_is_between_events: b": keep-alive\n" => false;
    half_a_comment_breaks_off: b": keep-al" => true;
    half_a_field_breaks_off: b"id: 2\nda" => true;
    a_field_without_an_empty_line_breaks_off: b"data: b\n" => true;
    a_comment_within_an_event_breaks_off: b"id: 2\n: keep-alive\n" => true;
}

#[test]
fn an_event_over_the_limit_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 64 * 1024];
    let refused = (0..20).any(|_| splitter.push(&chunk).is_err());
    assert!(refused);
}
