//! Starts stand-ins and programs on loopback, drives load, injects faults, and
//! checks what callers saw against what really happened.

pub mod caller;
pub mod counts;
pub mod load;
pub mod run;
pub mod site;
