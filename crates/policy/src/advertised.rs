//! Which gateways the directory names to clients.
//!
//! VMs differ several times in processor time, and a gateway that places
//! requests needs to know what all the others have in flight. So clients are sent
//! to as few gateways as carry the load with room to spare, the largest VMs
//! first and every availability zone represented; the others stand by. Every
//! gateway computes the same set from the heartbeats, and the set grows and
//! shrinks with the requests that they report.

use std::collections::HashMap;

use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;

use crate::peers::Presence;
use crate::rendezvous;

/// Processor time of one request, in thousandths of a core-second, control
/// included; see the capacity page.
const REQUEST_COST: u32 = 6;
/// Part of a VM's processor time that the advertised gateways may use for the
/// load of the moment; the rest carries bursts and the loss of some of them.
const TARGET_UTILIZATION_PERCENT: u64 = 25;
/// The same where the configuration expects hard load. Gateways know each other's work the
/// later the more of them place requests, and servers were overrun in turns with 65 of them.
const HARD_LOAD_UTILIZATION_PERCENT: u64 = 50;
/// Fewest gateways that are advertised, if there are as many: the loss of one
/// must not be the loss of a large part.
pub const MIN_ADVERTISED: usize = 12;
/// Fewest gateways of each availability zone.
const MIN_PER_ZONE: usize = 2;

/// Returns the gateways that clients are sent to, the largest first. Those that are cut
/// off from replicas are not among them unless all are.
#[must_use]
pub fn advertised<'a, I>(serving: I) -> Vec<&'a Presence>
where
    I: IntoIterator<Item = &'a Presence>,
{
    advertised_at(serving, TARGET_UTILIZATION_PERCENT)
}

/// Returns the same where the configuration expects hard load: fewer, which know each
/// other's work sooner.
#[must_use]
pub fn advertised_in_hard_load<'a, I>(serving: I) -> Vec<&'a Presence>
where
    I: IntoIterator<Item = &'a Presence>,
{
    advertised_at(serving, HARD_LOAD_UTILIZATION_PERCENT)
}

fn advertised_at<'a, I>(serving: I, utilization_percent: u64) -> Vec<&'a Presence>
where
    I: IntoIterator<Item = &'a Presence>,
{
    let mut ranked = serving.into_iter().collect::<Vec<_>>();
    if ranked.iter().any(|p| !p.cut_off) {
        ranked.retain(|p| !p.cut_off);
    }
    let load = ranked.iter().map(|p| u64::from(p.requests_per_s));
    let load = load.sum::<u64>() * u64::from(REQUEST_COST);
    let needed_millicores = load * 100 / utilization_percent;
    ranked.sort_by_cached_key(|p| {
        let weight = rendezvous::weight("advertised", p.vm.as_str());
        (u32::MAX - p.millicores, weight)
    });
    // The largest of every zone come first, then the second largest, so that each
    // prefix is spread over the zones.
    let mut per_zone = HashMap::<&str, usize>::new();
    let mut with_rank = Vec::with_capacity(ranked.len());
    for presence in ranked {
        let rank = per_zone.entry(presence.zone.as_str()).or_default();
        with_rank.push((*rank, presence));
        *rank += 1;
    }
    with_rank.sort_by_key(|(rank, p)| (*rank >= MIN_PER_ZONE, u32::MAX - p.millicores, *rank));
    let mut millicores = 0;
    let mut chosen = Vec::new();
    for (rank, presence) in with_rank {
        let enough = millicores >= needed_millicores && chosen.len() >= MIN_ADVERTISED;
        if enough && rank >= MIN_PER_ZONE {
            break;
        }
        millicores += u64::from(presence.millicores);
        chosen.push(presence);
    }
    chosen
}

/// Draws the gateways of one directory answer: the largest always, smaller ones
/// in proportion to their processor time, and at most `max`.
pub fn answer<'a, R>(advertised: &[&'a Presence], max: usize, rng: &mut R) -> Vec<&'a Presence>
where
    R: Rng,
{
    let largest = advertised.iter().map(|p| p.millicores).max().unwrap_or(0);
    let mut drawn =
        |p: &&&Presence| p.millicores >= largest || rng.random_range(0..largest) < p.millicores;
    let drawn = advertised.iter().filter(&mut drawn).copied();
    let drawn = drawn.collect::<Vec<_>>();
    drawn.into_iter().sample(rng, max)
}
