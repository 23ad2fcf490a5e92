//! Events that come twice, or do not follow those before them, compared with a list of all.

use bolero::TypeGenerator;
use briarhall_gateway::event_sequence::EventSequence;
use briarhall_gateway::sse::Event;
use briarhall_gateway::sse::EventSplitter;

fn event(text: &str) -> Event {
    let mut splitter = EventSplitter::default();
    splitter.push(text.as_bytes()).expect("a short event");
    splitter.next_event().expect("a whole event")
}

fn numbered(id: u64) -> Event {
    event(&format!("id: {id}\ndata: piece\n\n"))
}

/// Guards against an error's text, or events that leave some out, where another replica
/// is to go on with a stream.
#[test]
fn an_answer_goes_on_only_with_the_next_event() {
    let mut sequence = EventSequence::default();
    let error = event("overloaded\n\n");
    assert!(sequence.is_continued_by(&error), "nothing to go on from");
    for id in 1..=4 {
        sequence.record(&numbered(id));
    }
    assert!(!sequence.is_continued_by(&error));
    assert!(!sequence.is_continued_by(&event("data: overloaded\n\n")));
    assert!(!sequence.is_continued_by(&numbered(6)), "5 is missing");
    assert!(sequence.is_continued_by(&numbered(5)));
    assert!(sequence.is_continued_by(&numbered(1)), "it begins anew");
}

/// Guards against streams that are given up because their ids are no numbers, or leave
/// some out.
#[test]
fn any_ids_may_be_used() {
    let ids = |ids: &[&str]| {
        let mut sequence = EventSequence::default();
        for id in ids {
            sequence.record(&event(&format!("id: {id}\ndata: piece\n\n")));
        }
        sequence
    };
    assert!(ids(&["10", "20"]).is_continued_by(&numbered(30)));
    assert!(ids(&["a", "b"]).is_continued_by(&event("id: c\ndata: piece\n\n")));
    let last = u64::MAX.to_string();
    assert!(ids(&[&last]).is_continued_by(&numbered(u64::MAX)));
    assert!(!ids(&["7"]).is_repeated(&event("id: x\ndata: piece\n\n")));
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// An event without an id.
    Plain,
    /// An event with an id.
    Numbered(u8),
}

/// Guards against a client that gets an event twice, however often replicas begin anew.
#[test]
fn ids_never_fall() {
    briarhall_fuzz::histories::<Op, _>(1..60, |ops| {
        let mut sequence = EventSequence::default();
        let mut sent = Vec::new();
        for op in ops {
            let next = match *op {
                Op::Plain => event("data: piece\n\n"),
                Op::Numbered(id) => numbered(u64::from(id)),
            };
            if sequence.is_repeated(&next) {
                continue;
            }
            sequence.record(&next);
            if let Op::Numbered(id) = *op {
                sent.push(id);
            }
        }
        assert!(
            sent.is_sorted_by(|earlier, later| earlier < later),
            "{sent:?}"
        );
    });
}
