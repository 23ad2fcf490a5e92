//! Output for people, and JSON for scripts.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Value;

/// Prints a document as JSON.
pub fn json<T>(value: &T)
where
    T: Serialize,
{
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}

/// Prints a router's status.
pub fn status(status: &Value) {
    println!(
        "router {} in {}: {}, {} requests in flight, configuration up to {}",
        text(&status["router"]),
        text(&status["zone"]),
        text(&status["standing"]),
        status["in_flight"],
        status["held"],
    );
    println!("\nCONTRACT                 VERSION  IN FORCE");
    contract_rows(&status["contracts"]);
    println!(
        "\nROUTER                                            ZONE             HOLDS  ROSTER  DRAINING"
    );
    for router in items(&status["routers"]) {
        println!(
            "{:<49} {:<16} {:>5}  {:<6}  {}",
            text(&router["name"]),
            text(&router["zone"]),
            router["held"],
            router["on_roster"],
            router["draining"],
        );
    }
    println!("\nENDPOINT                 SERVES           STATE");
    for endpoint in items(&status["endpoints"]) {
        println!(
            "{:<24} {:<16} {}",
            text(&endpoint["name"]),
            text(&endpoint["serves"]),
            text(&endpoint["state"]),
        );
    }
}

/// Prints contracts, one per line.
pub fn contracts(contracts: &Value) {
    println!("CONTRACT                 VERSION  IN FORCE");
    contract_rows(contracts);
}

fn contract_rows(contracts: &Value) {
    for contract in items(contracts) {
        let accepted = contract["accepted"] == Value::Bool(true);
        println!(
            "{:<24} {:>7}  {}",
            text(&contract["customer"]),
            contract["version"],
            if accepted { "everywhere" } else { "pending" },
        );
    }
}

/// Prints the audit trail, one change per line with its differences below.
pub fn audit(entries: &Value) {
    for entry in items(entries) {
        println!(
            "{} ms  {}  {}  {} -> {}  {}",
            entry["at_ms"],
            text(&entry["operator"]),
            text(&entry["customer"]),
            entry["from_version"],
            entry["to_version"],
            text(&entry["state"]),
        );
        for difference in items(&entry["differences"]) {
            println!(
                "    {}: {} -> {}",
                text(&difference["field"]),
                difference["before"],
                difference["after"]
            );
        }
    }
}

/// Prints the fields in which two documents differ.
pub fn differences(before: &Value, after: &Value) {
    let keys = |value: &Value| {
        let keys = value
            .as_object()
            .into_iter()
            .flat_map(|map| map.keys().cloned());
        keys.collect::<BTreeSet<_>>()
    };
    let mut same = true;
    for key in keys(before).union(&keys(after)) {
        if before[key] != after[key] {
            same = false;
            println!("{key}:\n  - {}\n  + {}", before[key], after[key]);
        }
    }
    if same {
        println!("nothing differs");
    }
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
