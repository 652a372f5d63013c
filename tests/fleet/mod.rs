//! Hundreds of started proxies between Poisson clients and backends that are served here: what the fleet does to the
//! backends, told in statistics.
#![allow(dead_code)]

pub mod backends;
pub mod clients;
pub mod processes;
pub mod statistics;
