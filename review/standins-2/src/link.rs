//! A gateway's links to replicas, which can be cut: open connections end, and new ones are
//! refused.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const POLL: Duration = Duration::from_millis(2);

/// A link to one replica.
#[derive(Debug)]
pub struct Link {
    cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn start(address: SocketAddr, replica: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let link = Arc::new(Self {
            cut: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let started = Arc::clone(&link);
        thread::spawn(move || link.run(listener, address, replica));
        Ok(started)
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
        if cut {
            for stream in self.open.lock().unwrap().drain(..) {
                // It may have ended.
                let _ended = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn run(self: Arc<Self>, listener: TcpListener, address: SocketAddr, replica: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.cut.load(Ordering::Relaxed) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let accepted = listener.as_ref().and_then(|listener| {
                listener.set_nonblocking(true).ok()?;
                listener.accept().ok()
            });
            match accepted {
                Some((stream, _peer)) => {
                    let link = Arc::clone(&self);
                    thread::spawn(move || link.pass_on(stream, replica));
                }
                None => thread::sleep(POLL),
            }
        }
    }

    fn pass_on(&self, client: TcpStream, replica: SocketAddr) -> Option<()> {
        client.set_nonblocking(false).ok()?;
        let server = TcpStream::connect(replica).ok()?;
        for stream in [&client, &server] {
            stream.set_nodelay(true).ok()?;
            self.open.lock().unwrap().push(stream.try_clone().ok()?);
        }
        let (mut from, mut to) = (client.try_clone().ok()?, server.try_clone().ok()?);
        let there = thread::spawn(move || copy(&mut from, &mut to));
        copy(&mut { server }, &mut { client });
        there.join().ok()
    }
}

fn copy(from: &mut TcpStream, to: &mut TcpStream) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    for stream in [from, to] {
        let _ended = stream.shutdown(Shutdown::Both);
    }
}
