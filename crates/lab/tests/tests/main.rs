//! Tests with real processes on loopback under failure, by feature.

#[macro_use]
mod common;

mod at_most_once;
mod bad_input;
mod configuration;
mod crashing_requests;
mod draining;
mod limits;
mod memory;
mod streams;
