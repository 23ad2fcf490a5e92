//! Bodies that are read at the same time within one budget.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use async_io::block_on;
use bolero::TypeGenerator;
use briarhall_net::Body;
use briarhall_net::ByteBudget;
use briarhall_net::ReadWithinError;
use briarhall_net::read_within;
use bytes::Bytes;
use http_body::Frame;

const BUDGET: usize = 1024 * 1024;
const LIMIT: usize = 16 * BUDGET;

/// A body that does not end.
struct Endless;

impl http_body::Body for Endless {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&[7; 4096])))))
    }
}

/// Guards against a body without end that takes all memory.
#[test]
fn a_body_without_end_takes_no_more_than_the_budget() {
    let budget = ByteBudget::new(BUDGET);
    let read = block_on(read_within(Endless, LIMIT, budget.share()));
    let Err(ReadWithinError::NoMemory { held }) = read else {
        panic!("{read:?}");
    };
    assert!(held <= BUDGET + 64 * 1024, "{held}");
    // What it held is free again.
    let whole = Bytes::from(vec![1; BUDGET / 2]);
    let read = block_on(read_within(
        Body::full(whole.clone()),
        LIMIT,
        budget.share(),
    ));
    assert_eq!(read.expect("a body that fits"), whole);
}

/// Guards against short answers that fail since others hold all memory.
#[test]
fn short_bodies_are_read_whatever_others_hold() {
    let budget = ByteBudget::new(0);
    let short = Bytes::from(vec![1; 16 * 1024]);
    let read = block_on(read_within(
        Body::full(short.clone()),
        LIMIT,
        budget.share(),
    ));
    assert_eq!(read.expect("a short body"), short);
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Raise {
    share: u8,
    to: u16,
    gives_up: bool,
}

/// The shares never hold more than the budget, and a refused raise changes nothing.
#[test]
fn shares_never_exceed_the_budget() {
    const TOTAL: usize = 100_000;
    briarhall_fuzz::histories::<Raise, _>(1..40, |raises| {
        let budget = ByteBudget::new(TOTAL);
        let mut shares = [(); 4].map(|()| budget.share());
        let mut held = [0_usize; 4];
        for raise in raises {
            let n = usize::from(raise.share) % shares.len();
            if raise.gives_up {
                shares[n] = budget.share();
                held[n] = 0;
                continue;
            }
            let to = usize::from(raise.to).max(held[n]);
            let others = held.iter().sum::<usize>() - held[n];
            let fits = others + to <= TOTAL;
            assert_eq!(shares[n].raise_to(to), fits);
            if fits {
                held[n] = to;
            }
        }
    });
}
