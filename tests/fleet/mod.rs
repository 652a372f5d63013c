//! Hundreds of proxy processes between Poisson clients and in-process backends, with statistics of how the fleet spreads
//! load over the backends.
#![allow(dead_code)]

pub mod backends;
pub mod clients;
pub mod processes;
pub mod statistics;
