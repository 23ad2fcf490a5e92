//! Memory set aside at several engines for a prompt that none holds alone.
//!
//! A reservation is short and renewed, so that memory is free again within
//! moments when this process dies or loses its way; it is released as soon as
//! the request has ended. All engines grant it, or it is given back at once, so
//! two prompts never wait for each other.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_net::Connection;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use compact_str::CompactString;
use compact_str::format_compact;
use futures::future::join_all;

use crate::wire::Helper;
use crate::wire::Wire;

/// Time for which memory is set aside: below the four seconds after which
/// memory that nobody uses counts as lost.
const HOLD: Duration = Duration::from_millis(3_200);
/// Time between two renewals; one may fail.
const RENEW_EVERY: Duration = Duration::from_millis(1_200);
/// Time for an engine to answer an order.
const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// Orders to release that are tried until the engine answers.
const RELEASE_TRIES: u32 = 3;

/// Memory set aside at helpers as long as this lives.
#[derive(Debug)]
pub struct Reservation<W>
where
    W: Wire,
{
    orders: Orders<W>,
    executor: Executor,
    tickets: Vec<Ticket>,
    /// Renews until it is dropped.
    _renewal: Connection,
}

/// A reservation at one engine.
#[derive(Debug, Clone)]
struct Ticket {
    address: SocketAddr,
    id: CompactString,
    tokens: u64,
}

/// Gives orders to engines.
#[derive(Debug, Clone)]
struct Orders<W> {
    wire: W,
    client: HttpClient,
}

impl<W> Reservation<W>
where
    W: Wire,
{
    /// Sets `tokens` aside at every helper, and gives each its ticket. Returns
    /// nothing when one of them does not grant it.
    pub async fn take(
        wire: W,
        client: HttpClient,
        executor: Executor,
        helpers: &mut [Helper],
        tokens: u64,
        name: &str,
    ) -> Option<Self> {
        let orders = Orders { wire, client };
        let tickets = helpers.iter().enumerate().map(|(place, helper)| Ticket {
            address: helper.address,
            id: format_compact!("{name}-{place}"),
            tokens,
        });
        let tickets = tickets.collect::<Vec<_>>();
        let granted = join_all(tickets.iter().map(|ticket| orders.reserve(ticket))).await;
        let all = granted.iter().all(|granted| *granted);
        log::info!(
            event = "reserved",
            request = name,
            engines = tickets.len(),
            tokens,
            granted = all;
            "reserved"
        );
        for (helper, ticket) in helpers.iter_mut().zip(&tickets) {
            helper.ticket = Some(ticket.id.clone());
        }
        let renewal = executor.spawn(renew(orders.clone(), tickets.clone()));
        let reservation = Self {
            orders,
            executor,
            tickets,
            _renewal: renewal,
        };
        // Dropping it releases what was granted, and what may yet be.
        all.then_some(reservation)
    }
}

impl<W> Drop for Reservation<W>
where
    W: Wire,
{
    fn drop(&mut self) {
        for ticket in self.tickets.drain(..) {
            let orders = self.orders.clone();
            self.executor
                .detach(async move { orders.release(&ticket).await });
        }
    }
}

async fn renew<W>(orders: Orders<W>, tickets: Vec<Ticket>)
where
    W: Wire,
{
    let mut next = Instant::now();
    loop {
        next += RENEW_EVERY;
        Timer::at(next).await;
        join_all(tickets.iter().map(|ticket| orders.reserve(ticket))).await;
    }
}

impl<W> Orders<W>
where
    W: Wire,
{
    async fn reserve(&self, ticket: &Ticket) -> bool {
        let call = self
            .wire
            .reserve(ticket.address, &ticket.id, ticket.tokens, HOLD);
        match self.client.send(call, ORDER_LIMIT).await {
            Ok(reply) => {
                reply.status().is_success() && reply.status() != hyper::StatusCode::ACCEPTED
            }
            Err(e) => {
                log_failure("reserve", ticket, &e.to_string());
                false
            }
        }
    }

    async fn release(&self, ticket: &Ticket) {
        for _ in 0..RELEASE_TRIES {
            let call = self.wire.release(ticket.address, &ticket.id);
            match self.client.send(call, ORDER_LIMIT).await {
                Ok(_done) => return,
                Err(e) => log_failure("release", ticket, &e.to_string()),
            }
            Timer::after(ORDER_LIMIT).await;
        }
    }
}

fn log_failure(order: &str, ticket: &Ticket, error: &str) {
    let address = ticket.address.to_string();
    log::info!(
        event = "order_failed",
        order,
        ticket = ticket.id.as_str(),
        address = address.as_str(),
        error;
        "order failed"
    );
}
