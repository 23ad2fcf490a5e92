//! A stand-in for the platform's metadata store: objects by kind and name, lists and
//! watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;
use crate::http::answer;
use crate::http::listen;

#[derive(Default)]
struct State {
    rev: u64,
    /// Objects as JSON texts.
    objects: BTreeMap<(String, String), String>,
    /// Kind, revision and event as JSON text.
    history: Vec<(String, u64, String)>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let serving = store.clone();
        listen(address, move |conn| serving.serve(conn))?;
        Ok(store)
    }

    /// Writes an object whose content is this JSON text. The return is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let object = object(name, rev, spec);
        let event = format!(r#"{{"tombstone":false,"object":{object}}}"#);
        state.objects.insert((kind.into(), name.into()), object);
        state.history.push((kind.into(), rev, event));
        self.changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head() {
            if conn.request_body(&head).is_err() {
                return;
            }
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
            };
            let reply = match path.strip_prefix("/v1/objects/") {
                None => ("404 Not Found", "{}".to_owned()),
                Some(kind) => match value("watch").and_then(|at| at.parse().ok()) {
                    Some(since) => {
                        let wait = value("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                        self.watch(kind, since, Duration::from_millis(wait))
                    }
                    None => self.list(kind, value("after").as_deref()),
                },
            };
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "1".to_owned()),
            ];
            if conn
                .write(&answer(reply.0, &headers, reply.1.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items =
            of_kind.filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after));
        let items = items.map(|(_, object)| object.as_str()).collect::<Vec<_>>();
        let items = items.join(",");
        let rev = state.rev;
        (
            "200 OK",
            format!(r#"{{"items":[{items}],"more":false,"current_rev":{rev}}}"#),
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(k, rev, _)| k == kind && *rev > since);
            let events = events
                .map(|(_, _, event)| event.as_str())
                .collect::<Vec<_>>();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, rev) = (events.join(","), state.rev);
                return (
                    "200 OK",
                    format!(r#"{{"events":[{events}],"current_rev":{rev}}}"#),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, rev: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","rev":{rev},"create_rev":{rev},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}
