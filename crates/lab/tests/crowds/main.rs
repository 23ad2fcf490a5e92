//! Crowds of callers that don't behave, against a real router: the process lives, what it
//! holds stays within its settings, and ordinary callers are answered. Nothing that these
//! tests check depends on the speed of the machine; they run one at a time.

#[allow(
    dead_code,
    unused_macros,
    reason = "the other tests with real processes use the rest"
)]
#[path = "../tests/common/mod.rs"]
mod common;
#[allow(dead_code, reason = "crowds at gateways use the rest")]
#[path = "../../../../platform/tests/crowds/crowd.rs"]
mod crowd;
#[path = "../../../../platform/tests/crowds/held.rs"]
mod held;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use briarhall_lab::caller::CallOutcome;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::Router;
use briarhall_lab::site::SiteSpec;

use crate::common::Fixture;
use crate::common::completion;
use crate::common::wait_until;
use crate::crowd::Crowd;
use crate::crowd::From;
use crate::crowd::Sends;
use crate::crowd::unended_chunks;
use crate::held::Watch;

const MIB: u64 = 1024 * 1024;
/// Descriptors of the settings that are not for sockets and pipes.
const FILE_DESCRIPTORS: u64 = 200;
/// Many descriptors, so that memory decides.
const ANY_FDS: u64 = 8_192;
const CHUNK_BYTES: usize = 16 * 1024;
/// A fraction of the longest body that a router takes.
const BODY_BYTES: usize = 1_000_000;
const HEAD_BYTES: usize = 60_000;
const DRIPPED_BYTES: usize = 150_000;

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// A crowd and the limits of the router it meets.
#[derive(Debug, Clone, Copy)]
struct Size {
    clients: u32,
    memory_mb: u64,
    max_fds: u64,
}

const BODIES: Size = Size {
    clients: 100,
    memory_mb: 64,
    max_fds: ANY_FDS,
};
const HEADS: Size = Size {
    clients: 600,
    memory_mb: 48,
    max_fds: ANY_FDS,
};
const CONNECTIONS: Size = Size {
    clients: 600,
    memory_mb: 160,
    max_fds: 500,
};

type Listener = fn(&Router) -> SocketAddr;

fn callers(router: &Router) -> SocketAddr {
    router.callers
}

fn operators(router: &Router) -> SocketAddr {
    router.operators
}

fn mesh(router: &Router) -> SocketAddr {
    router.mesh
}

/// What a caller with the customer's key sends before its body.
fn completion_head(key: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

async fn crowd<F>(size: Size, to: Listener, sends: F)
where
    F: FnOnce(&CustomerSpec) -> Sends,
{
    let spec = SiteSpec {
        routers: 1,
        engines: 1,
        router_limits: Some([size.memory_mb, size.max_fds]),
        ..SiteSpec::default()
    };
    let mut fixture = Fixture::start(spec, CustomerSpec::tidewire()).await;
    let number = *fixture.site.routers.keys().next().expect("a router");
    answers_an_ordinary_caller(&fixture, number).await;
    let router = &fixture.site.routers[&number];
    let watch = Watch::start(router.process.id(), router.callers.ip());
    let mut crowd = Crowd::connect(
        to(router),
        From::One,
        size.clients,
        sends(&fixture.customer),
    );
    crowd.send();
    crowd.come_back();
    crowd.send();
    answers_an_ordinary_caller(&fixture, number).await;
    let held = watch.end();
    println!("{held:?}");
    let router = fixture.site.routers.get_mut(&number).expect("a router");
    assert!(router.process.is_running(), "the process lives");
    assert!(
        held.bytes <= size.memory_mb * MIB,
        "{} MiB are held of {}",
        held.bytes / MIB,
        size.memory_mb
    );
    assert!(
        held.sockets <= size.max_fds - FILE_DESCRIPTORS && held.descriptors <= size.max_fds,
        "{} descriptors of {}",
        held.descriptors,
        size.max_fds
    );
}

async fn answers_an_ordinary_caller(fixture: &Fixture, router: usize) {
    wait_until("an ordinary caller is answered", async || {
        let answer = fixture.send(router, completion(1, 1_000, 4)).await;
        matches!(answer.outcome, CallOutcome::Answered)
    })
    .await;
}

fn silent(_customer: &CustomerSpec) -> Sends {
    Sends {
        head: String::new(),
        rest: Vec::new().into(),
    }
}

fn unended_head(_customer: &CustomerSpec) -> Sends {
    Sends {
        head: format!(
            "GET / HTTP/1.1\r\nhost: a\r\nx-a: {}",
            "a".repeat(HEAD_BYTES)
        ),
        rest: Vec::new().into(),
    }
}

fn large_chunks(customer: &CustomerSpec) -> Sends {
    Sends {
        head: completion_head(&customer.key),
        rest: unended_chunks(BODY_BYTES, CHUNK_BYTES),
    }
}

fn chunks_of_one_byte(customer: &CustomerSpec) -> Sends {
    Sends {
        rest: unended_chunks(DRIPPED_BYTES, 1),
        ..large_chunks(customer)
    }
}

macro_rules! crowds {
    ($($(#[$guard:meta])* $name:ident: $case:expr,)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                let _alone = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
                async_io::block_on($case);
            }
        )*
    };
}

crowds! {
    /// Guards against prompts that stop short of their end and together take the memory.
    prompts_that_stop_short_at_a_router: crowd(BODIES, callers, large_chunks),
    /// Guards against the same in chunks of one byte.
    prompts_in_chunks_of_one_byte_at_a_router: crowd(BODIES, callers, chunks_of_one_byte),
    /// Guards against callers' connections that take all descriptors.
    more_callers_than_descriptors_at_a_router: crowd(CONNECTIONS, callers, silent),
    /// Guards against the same where operators connect.
    more_operators_than_descriptors_at_a_router: crowd(CONNECTIONS, operators, silent),
    /// Guards against the same where other routers connect.
    more_routers_than_descriptors_at_a_router: crowd(CONNECTIONS, mesh, silent),
    /// Guards against heads that are held for as long as they take to come.
    heads_that_do_not_end_at_a_router: crowd(HEADS, callers, unended_head),
    /// Guards against the same where operators connect.
    heads_of_operators_that_do_not_end_at_a_router: crowd(HEADS, operators, unended_head),
}
