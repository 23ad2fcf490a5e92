//! Lists as other gateways read them.

use std::sync::Arc;

use briarhall_gateway::shared_text::SharedText;
use briarhall_gateway::shared_text::bytes;
use briarhall_gateway::shared_text::inflate;
use briarhall_types::ConfigurationVersion;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ROUTES: usize = 3_000;
const LIMIT: usize = 16 * 1024 * 1024;

/// Returns a text like that of a configuration with many routes, whose names are random.
fn large_text() -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(48);
    let mut name = || {
        let letters = (0..9).map(|_| char::from(rng.random_range(b'a'..=b'z')));
        letters.collect::<String>()
    };
    let mut text = String::new();
    for _ in 0..ROUTES {
        let route = format!(
            r#"{{"name":"{}","host":"{}.example","path_prefix":"/{}/","kind":"Idempotent",
            "timeout":{{"secs":5,"nanos":0}},"objective":{{"secs":0,"nanos":300000000}},
            "pause_objective":null,"priority":1,"targets":[{{"service":"{}","weight":1.0}}],
            "max_attempts":2,"anonymous":false,"resumable":false}},"#,
            name(),
            name(),
            name(),
            name()
        );
        text.push_str(&route);
    }
    text.into_bytes()
}

/// Guards against large lists that are almost as long on the way as they are in memory: the
/// model of a large deployment counts on a quarter.
#[test]
fn a_large_list_is_sent_as_less_than_a_quarter() {
    let plain = large_text();
    let texts = SharedText::<ConfigurationVersion>::default();
    let text = texts.get(1, || plain.clone()).expect("a text");
    let deflated = bytes(Arc::clone(&text), true);
    assert!(deflated.len() * 4 < plain.len(), "{}", deflated.len());
    assert_eq!(inflate(&deflated, LIMIT).expect("a text"), plain);
    assert_eq!(bytes(text, false), plain);
}

/// Guards against a copy of the list for each gateway that reads it.
#[test]
fn a_list_is_made_once() {
    let texts = SharedText::default();
    let first = texts.get(1, || b"a".to_vec()).expect("a text");
    let again = texts.get(1, || panic!("it is known")).expect("a text");
    assert!(Arc::ptr_eq(&first, &again));
}

/// Guards against lists that pile up as they change, while nobody reads them.
#[test]
fn few_earlier_lists_are_held() {
    let texts = SharedText::default();
    let mut unread = Vec::new();
    let mut version = 0;
    while let Some(text) = texts.get(version, || vec![b'a'; 100]) {
        unread.push(bytes(text, false));
        version += 1;
        assert!(unread.len() < 10, "held without a bound");
    }
    // One that is no longer under way leaves room.
    unread.remove(0);
    assert!(texts.get(version, || b"b".to_vec()).is_some());
}

/// Guards against a short answer that takes all memory once it is decoded, and against one
/// that is cut.
#[test]
fn what_is_too_long_or_cut_is_an_error() {
    let texts = SharedText::default();
    let text = texts.get(1, || vec![0; 100_000]).expect("a text");
    let deflated = bytes(text, true);
    inflate(&deflated, 99_999).unwrap_err();
    inflate(&deflated[..deflated.len() / 2], 100_000).unwrap_err();
    inflate(b"{}", 100_000).unwrap_err();
    let whole = inflate(&deflated, 100_000).expect("a text");
    assert_eq!(whole.len(), 100_000);
}
