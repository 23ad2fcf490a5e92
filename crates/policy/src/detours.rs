//! Which other gateway sends a request on, for one that reaches no replica.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::peers::HeldConfiguration;
use crate::peers::Presence;

/// Gateways of which the one with the least load is chosen.
const CHOICES: usize = 2;
/// Penalty below which a gateway counts as healthy.
const HEALTHY_BELOW_PENALTY: f64 = 0.5;

/// Chooses one of the gateways that serve and reach replicas, without those for which
/// `tried` returns true. One with an older configuration than this gateway holds would
/// handle the request as that says, so it comes last. Gateways that place requests know best
/// what replicas have in flight. `penalty` is how much to avoid one that has just failed.
pub fn choose<'a, I, T, P, R>(
    serving: I,
    held: HeldConfiguration,
    tried: T,
    penalty: P,
    rng: &mut R,
) -> Option<&'a Presence>
where
    I: IntoIterator<Item = &'a Presence>,
    T: Fn(&Presence) -> bool,
    P: Fn(&Presence) -> f64,
    R: Rng,
{
    let open = serving.into_iter().filter(|p| !p.cut_off && !tried(p));
    let mut best = open.collect::<Vec<_>>();
    prefer(&mut best, |p| p.configuration >= held);
    prefer(&mut best, |p| p.places_requests);
    prefer(&mut best, |p| penalty(p) < HEALTHY_BELOW_PENALTY);
    let drawn = (0..CHOICES).filter_map(|_| best.choose(rng).copied());
    let load = |p: &Presence| f64::from(p.requests_per_s) / f64::from(p.millicores.max(1));
    drawn.min_by(|a, b| {
        let by_penalty = penalty(a).total_cmp(&penalty(b));
        by_penalty.then(load(a).total_cmp(&load(b)))
    })
}

/// Keeps those for which `is_preferred` returns true, if there are any.
fn prefer<F>(gateways: &mut Vec<&Presence>, is_preferred: F)
where
    F: Fn(&Presence) -> bool,
{
    if gateways.iter().any(|p| is_preferred(p)) {
        gateways.retain(|p| is_preferred(p));
    }
}
