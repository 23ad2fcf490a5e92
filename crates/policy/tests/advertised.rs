//! Which gateways the directory names, for fleets of unequal VMs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use bolero::TypeGenerator;
use briarhall_policy::advertised::advertised;
use briarhall_policy::advertised::answer;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::Presence;
use briarhall_types::StorePosition;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ZONES: usize = 5;

fn gateway(n: usize, zone: usize, millicores: u32, requests_per_s: u32) -> Presence {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_340));
    Presence {
        vm: format!("vm-{n}").into(),
        incarnation: 1,
        sequence: 1,
        gossip_address: address,
        relay_address: address,
        client_address: address,
        zone: format!("zone-{zone}").into(),
        ready: true,
        stopping: false,
        millicores,
        requests_per_s,
        places_requests: true,
        cut_off: false,
        configuration: HeldConfiguration::default(),
        replicas: StorePosition::default(),
        store: None,
    }
}

/// Three large VMs and sixteen small ones in each of five availability zones.
fn fleet(requests_per_s: u32) -> Vec<Presence> {
    let large = (0..3 * ZONES).map(|n| gateway(n, n % ZONES, 500, requests_per_s));
    let small = (0..16 * ZONES).map(|n| gateway(100 + n, n % ZONES, 120, 0));
    large.chain(small).collect()
}

fn zones(chosen: &[&Presence]) -> HashMap<String, usize> {
    let mut zones = HashMap::new();
    for presence in chosen {
        *zones.entry(presence.zone.to_string()).or_default() += 1;
    }
    zones
}

/// Pattern: 95 VMs, most of them small, in front of a load that a few large ones
/// carry.
#[test]
fn the_largest_vms_take_the_load_while_the_small_ones_stand_by() {
    let fleet = fleet(20);
    let chosen = advertised(&fleet);
    assert!(
        chosen.len() <= 16,
        "{} gateways place requests",
        chosen.len()
    );
    assert!(chosen.iter().all(|p| p.millicores == 500));
    assert_eq!(zones(&chosen).len(), ZONES);
    assert!(zones(&chosen).values().all(|count| *count >= 2));
}

/// Pattern: traffic grows beyond what the large VMs carry.
#[test]
fn small_vms_join_as_the_load_grows() {
    let fleet = fleet(100);
    let chosen = advertised(&fleet);
    let millicores = chosen.iter().map(|p| p.millicores).sum::<u32>();
    assert!(chosen.len() > 15);
    assert!(millicores >= 15 * 100 * 6 * 4 || chosen.len() == fleet.len());
}

/// Pattern: a small deployment of equal VMs.
#[test]
fn a_deployment_of_a_dozen_vms_advertises_all_of_them() {
    let fleet = (0..12).map(|n| gateway(n, n % 3, 250, 0));
    let fleet = fleet.collect::<Vec<_>>();
    assert_eq!(advertised(&fleet).len(), 12);
}

/// Pattern: six large VMs and six small ones are advertised; each should get
/// what it can carry.
#[test]
fn answers_name_small_vms_in_proportion_to_their_processor_time() {
    let large = (0..6).map(|n| gateway(n, n % 3, 500, 0));
    let small = (6..12).map(|n| gateway(n, n % 3, 125, 0));
    let fleet = large.chain(small).collect::<Vec<_>>();
    let chosen = advertised(&fleet);
    let mut rng = StdRng::seed_from_u64(1);
    let mut named = HashMap::<u32, usize>::new();
    for _ in 0..1_000 {
        for presence in answer(&chosen, 64, &mut rng) {
            *named.entry(presence.millicores).or_default() += 1;
        }
    }
    assert_eq!(named[&500], 6_000);
    assert!((1_300..=1_700).contains(&named[&125]), "{named:?}");
}

#[test]
fn an_answer_is_no_longer_than_clients_accept_and_names_every_vm_in_turn() {
    let fleet = (0..95).map(|n| gateway(n, n % ZONES, 120, 100));
    let fleet = fleet.collect::<Vec<_>>();
    let chosen = advertised(&fleet);
    assert_eq!(chosen.len(), 95);
    let mut rng = StdRng::seed_from_u64(1);
    let mut seen = HashSet::new();
    for _ in 0..20 {
        let named = answer(&chosen, 64, &mut rng);
        assert_eq!(named.len(), 64);
        seen.extend(named.into_iter().map(|p| p.vm.clone()));
    }
    assert_eq!(seen.len(), 95);
}

#[derive(Debug, Clone, TypeGenerator)]
struct Fleet {
    /// Availability zone, size and requests of each VM.
    vms: Vec<(u8, u8, u8)>,
}

#[test]
fn any_fleet_advertises_somebody_in_every_zone() {
    briarhall_fuzz::values::<Fleet, _>(|fleet| {
        let vms = fleet.vms.iter().take(120).enumerate();
        let vms = vms.map(|(n, (zone, size, requests))| {
            let millicores = u32::from(*size) * 10;
            gateway(n, usize::from(*zone) % 4, millicores, u32::from(*requests))
        });
        let vms = vms.collect::<Vec<_>>();
        let chosen = advertised(&vms);
        let unique = chosen.iter().map(|p| &p.vm).collect::<HashSet<_>>();
        assert_eq!(unique.len(), chosen.len(), "a gateway is advertised twice");
        assert!(chosen.len() >= vms.len().min(12));
        let present = vms.iter().map(|p| p.zone.clone()).collect::<HashSet<_>>();
        assert_eq!(zones(&chosen).len(), present.len());
        let mut rng = StdRng::seed_from_u64(3);
        let named = answer(&chosen, 64, &mut rng);
        assert_eq!(named.is_empty(), vms.is_empty());
        assert!(named.len() <= 64);
    });
}
