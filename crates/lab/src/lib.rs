//! Starts the stand-ins and briarhall's programs on loopback, sends load, injects
//! faults, and checks the answers that callers got against the records of the
//! stand-ins.

pub mod caller;
pub mod counts;
pub mod load;
pub mod run;
pub mod site;
