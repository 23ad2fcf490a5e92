//! Guards against events that are lost, reordered or incomplete when the
//! network splits a stream at arbitrary bytes.

use bolero::TypeGenerator;
use briarhall_gateway::sse::EventSplitter;

#[derive(Debug, Clone, TypeGenerator)]
struct Case {
    events: Vec<(u16, Vec<u8>, bool)>,
    cuts: Vec<u8>,
    rest: Vec<u8>,
}

fn text(event: &(u16, Vec<u8>, bool)) -> Vec<u8> {
    let (id, data, windows) = event;
    let end = if *windows { "\r\n" } else { "\n" };
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
        assert_eq!(splitter.take_rest(), rest);
    });
}

#[test]
fn an_event_over_the_limit_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 64 * 1024];
    let refused = (0..20).any(|_| splitter.push(&chunk).is_err());
    assert!(refused);
}
