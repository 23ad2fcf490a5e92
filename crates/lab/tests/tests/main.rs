//! Real processes on loopback under failure, by feature.

#[macro_use]
mod common;

mod at_most_once;
mod configuration;
mod crashing_requests;
mod leaving;
mod memory;
mod streams;
