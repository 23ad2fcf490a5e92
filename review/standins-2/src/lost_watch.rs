//! The store is silent for a moment, right after it has told of a new replica. Later, with the
//! store sound, a replica says that it drains: it must get nothing more once `drain_ms` is over.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Call;
use crate::http::Message;
use crate::http::answer_head;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Options;
use crate::site::Site;
use crate::site::serve_replica;

/// Replicas that run from the beginning. One more comes in each round, and one leaves.
const REPLICAS: usize = 3;
const ROUNDS: usize = 8;
/// Rounds without the disruption.
const CALM_ROUNDS: usize = 2;
/// Silence of the store, well below the time between two checks of it.
const SILENT_FOR: Duration = Duration::from_millis(100);
/// Time from the silence until a replica drains: more than `stable_window_ms`.
const DRAINS_AFTER: Duration = Duration::from_millis(4_000);
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which a draining replica serves on: `drain_ms` "and a little longer".
const SERVES_ON: Duration = Duration::from_millis(5_000);
const PER_S: u64 = 40;
const WORK: Duration = Duration::from_millis(100);

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"topup","host":"{HOST}","path_prefix":"/topup/","kind":"non_idempotent","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"app","attempts":1,"anonymous":false,"resumable":false}}],
"services":[{{"name":"app","health_path":"/healthz","max_conns":100}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"t1","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// A replica.
#[derive(Debug)]
struct Replica {
    id: String,
    address: SocketAddr,
    /// When the store accepted that it drains.
    draining_since: Mutex<Option<Instant>>,
    has_exited: AtomicBool,
    /// Requests that reached it too late.
    late: AtomicUsize,
}

impl Replica {
    fn start(site: &Arc<Site>, n: usize) -> Result<Arc<Self>, String> {
        let address = site.replica_address();
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        let replica = Arc::new(Self {
            id: format!("i-{n:02}"),
            address,
            draining_since: Mutex::default(),
            has_exited: AtomicBool::new(false),
            late: AtomicUsize::new(0),
        });
        let (site, serving) = (Arc::clone(site), Arc::clone(&replica));
        serve_replica(listener, move |req, to| serving.answer(&site, &req, to));
        Ok(replica)
    }

    fn answer(&self, site: &Site, req: &Message, to: &mut TcpStream) -> io::Result<bool> {
        if self.has_exited.load(Ordering::Relaxed) {
            return Ok(false);
        }
        if req.path() == "/healthz" {
            let head = "HTTP/1.1 200 OK\r\nReplica-Id: ";
            write!(to, "{head}{}\r\nContent-Length: 0\r\n\r\n", self.id)?;
            return Ok(true);
        }
        let since = *self.draining_since.lock().unwrap();
        let drains_for = since.map(|since| since.elapsed());
        if let Some(time) = drains_for.filter(|time| *time > DRAIN) {
            self.late.fetch_add(1, Ordering::Relaxed);
            let line = format!(
                "{} runs {}, {} ms after the store accepted that it drains",
                self.id,
                req.id(),
                time.as_millis()
            );
            site.record.add(&line);
        } else {
            site.record.add(&format!("{} runs {}", self.id, req.id()));
        }
        thread::sleep(WORK);
        if self.has_exited.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let head = answer_head("200 OK", req.id(), &self.id, "Content-Length: 5\r\n");
        to.write_all((head + "done\n").as_bytes())?;
        Ok(true)
    }
}

/// Plays a round: a replica comes, the store is silent for a moment, and some seconds later
/// another replica drains and exits.
fn round(
    site: &Arc<Site>,
    replicas: &mut Vec<Arc<Replica>>,
    next: usize,
    trouble: bool,
) -> Result<usize, String> {
    let new = Replica::start(site, next)?;
    site.register(&new.id, "app", new.address, 1);
    // The watches that wait are answered all the same: they were called before.
    if trouble {
        site.store.set_silent(true);
        site.record.add("the store is silent");
        thread::sleep(SILENT_FOR);
        site.store.set_silent(false);
        site.record.add("the store answers again");
    }
    replicas.push(new);
    thread::sleep(DRAINS_AFTER);
    let leaving = replicas.remove(0);
    site.register_as(&leaving.id, "app", leaving.address, 1, "draining");
    *leaving.draining_since.lock().unwrap() = Some(Instant::now());
    site.record
        .add(&format!("{} drains: accepted by the store", leaving.id));
    thread::sleep(SERVES_ON);
    leaving.has_exited.store(true, Ordering::Relaxed);
    site.store.remove("servers", &leaving.id);
    site.record.add(&format!("{} has exited", leaving.id));
    Ok(leaving.late.load(Ordering::Relaxed))
}

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let site = Arc::new(Site::start(&configuration()));
    let mut replicas = Vec::new();
    for n in 0..REPLICAS {
        let replica = Replica::start(&site, n)?;
        site.register(&replica.id, "app", replica.address, 1);
        replicas.push(replica);
    }
    let names = ["front-a-1", "front-a-2"];
    let gateways = names.map(|name| site.gateway(name, Options::default(), BTreeMap::new()));
    let [first, second] = gateways;
    let gateways = [first?, second?];
    thread::sleep(Duration::from_secs(2));
    let ended = AtomicBool::new(false);
    let outcomes = Mutex::new(BTreeMap::<String, usize>::new());
    let mut late = 0;
    let mut rounds = 0;
    let played = thread::scope(|scope| {
        let (ended, outcomes, site) = (&ended, &outcomes, &site);
        let fronts = [gateways[0].front, gateways[1].front];
        scope.spawn(move || {
            let began = Instant::now();
            let mut n = 0;
            while !ended.load(Ordering::Relaxed) {
                let to = fronts[n as usize % fronts.len()];
                scope.spawn(move || {
                    let id = format!("topup-{n:04}");
                    let call = Call {
                        to,
                        method: "POST",
                        path: "/topup/1",
                        id: &id,
                        deadline_ms: 1_000,
                        headers: &[],
                        body: "an order",
                    };
                    let outcome = call.send();
                    let (word, took) = (outcome.word(), outcome.took.as_millis());
                    site.record
                        .add(&format!("{id} is answered: {word}, after {took} ms"));
                    *outcomes.lock().unwrap().entry(word).or_default() += 1;
                });
                n += 1;
                let next = began + Duration::from_millis(1_000 * n / PER_S);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        let most = if trouble { ROUNDS } else { CALM_ROUNDS };
        let mut played = Ok(());
        while rounds < most && late == 0 && played.is_ok() {
            match round(site, &mut replicas, REPLICAS + rounds, trouble) {
                Ok(count) => late = count,
                Err(e) => played = Err(e),
            }
            rounds += 1;
        }
        ended.store(true, Ordering::Relaxed);
        played
    });
    played?;
    let summary = format!(
        "{rounds} rounds; {late} requests reached a replica later than {} ms after the store had \
         accepted that it drains; requests: {:?}",
        DRAIN.as_millis(),
        outcomes.lock().unwrap()
    );
    site.record.add(&summary);
    println!("{summary}");
    site.record.write(folder);
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
