//! The platform's metadata store, as far as gateways use it: lists and watches.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

#[derive(Default)]
struct State {
    rev: u64,
    /// By kind and name: revision and content.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name and content; none for one that was removed.
    history: Vec<(u64, String, String, Option<String>)>,
}

/// The store. Cloning it is cheap.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("an address for the store");
        let state = State {
            rev: 500,
            ..State::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (rev, spec.to_owned()));
        let event = (rev, kind.to_owned(), name.to_owned(), Some(spec.to_owned()));
        state.history.push(event);
        self.shared.1.notify_all();
    }

    #[allow(dead_code)]
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        state.history.push((rev, kind.to_owned(), name.to_owned(), None));
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(Some(request)) = http::read_request(&mut stream) else {
            return;
        };
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let kind = path.trim_start_matches("/v1/objects/").to_owned();
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let body = match value("watch") {
            Some(since) => self.watch(&kind, since, value("wait_ms").unwrap_or(0)),
            None => self.list(&kind),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let _gone = stream.write_all(head.as_bytes());
        let _gone = stream.write_all(body.as_bytes());
    }

    fn list(&self, kind: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let items = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items = items.map(|((_, name), (rev, spec))| object(name, *rev, spec));
        let items = items.collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{items}],\"more\":false,\"current_rev\":{}}}", state.rev)
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> String {
        let ends = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.history.iter().filter(|(rev, k, _, _)| *rev > since && k == kind);
            let events = events.map(|(rev, _, name, spec)| {
                let item = object(name, *rev, spec.as_deref().unwrap_or("null"));
                format!("{{\"tombstone\":{},\"object\":{item}}}", spec.is_none())
            });
            let events = events.collect::<Vec<_>>();
            let left = ends.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"current_rev\":{}}}", state.rev);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, rev: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{rev},\"create_rev\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}
