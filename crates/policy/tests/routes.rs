//! The index of routes, compared with a linear search.

use std::time::Duration;

use bolero::TypeGenerator;
use briarhall_policy::routes::RouteTable;
use briarhall_policy::routes::choose_service;
use briarhall_types::ClientLimits;
use briarhall_types::Configuration;
use briarhall_types::Organisation;
use briarhall_types::Route;
use briarhall_types::RouteKind;
use briarhall_types::Target;
use compact_str::CompactString;
use compact_str::format_compact;

#[derive(Debug, Clone, TypeGenerator)]
struct Case {
    routes: Vec<(u8, Vec<bool>)>,
    host: u8,
    path: Vec<bool>,
}

fn prefix(parts: &[bool]) -> CompactString {
    let mut path = CompactString::from("/");
    for part in parts {
        path.push_str(if *part { "a/" } else { "ab/" });
    }
    path
}

fn route(number: usize, host: u8, parts: &[bool]) -> Route {
    Route {
        name: format_compact!("r-{number}"),
        host: format_compact!("h{}.example", host % 3),
        path_prefix: prefix(parts),
        kind: RouteKind::Idempotent,
        timeout: Some(Duration::from_secs(1)),
        objective: None,
        pause_objective: None,
        priority: 1,
        targets: vec![Target {
            service: "s".into(),
            weight: 1.0,
        }],
        max_attempts: 2,
        anonymous: false,
        resumable: false,
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration {
        version: 1,
        routes,
        services: Vec::new(),
        organisations: vec![Organisation {
            name: "org".into(),
            keys: vec!["key-1".into(), "key-2".into()],
            priority: None,
        }],
        limits: ClientLimits::default(),
    }
}

#[test]
fn the_longest_prefix_wins() {
    briarhall_fuzz::values::<Case, _>(|case| {
        let routes = case.routes.iter().take(12).enumerate();
        let routes = routes.map(|(n, (host, parts))| {
            let parts = &parts[..parts.len().min(5)];
            route(n, *host, parts)
        });
        let routes = routes.collect::<Vec<_>>();
        let host = format_compact!("h{}.example", case.host % 3);
        let path = prefix(&case.path[..case.path.len().min(6)]);
        let matching = routes.iter().filter(|r| r.host == host);
        let matching = matching.filter(|r| path.starts_with(r.path_prefix.as_str()));
        let longest = matching.map(|r| r.path_prefix.len()).max();
        let table = RouteTable::new(configuration(routes.clone()));
        let found = table.find(&format!("{}:8080", host.to_uppercase()), &path);
        assert_eq!(found.map(|r| r.path_prefix.len()), longest);
    });
}

#[test]
fn a_key_belongs_to_its_organisation_only() {
    let table = RouteTable::new(configuration(Vec::new()));
    assert_eq!(table.organisation("key-2").expect("known").name, "org");
    assert!(table.organisation("key-3").is_none());
    assert!(table.organisation("").is_none());
}

#[test]
fn weights_split_the_requests() {
    let mut split = route(1, 0, &[]);
    let of = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    split.targets = vec![of("a", 90.0), of("none", 0.0), of("b", 10.0)];
    assert_eq!(choose_service(&split, 0.0).expect("one"), "a");
    assert_eq!(choose_service(&split, 0.89).expect("one"), "a");
    assert_eq!(choose_service(&split, 0.91).expect("one"), "b");
    assert_eq!(choose_service(&split, 1.0).expect("one"), "b");
    split.targets.clear();
    assert!(choose_service(&split, 0.5).is_none());
}
