//! Hosts the decisions of `load_balancer::route_table`: gives them the clock, the list and the log, serves what they say. The
//! writer drives them, so that a decision and its record cannot cross; reports come in beside it.

mod clock;
mod config;
mod held;
mod host;
mod judging;
mod pages;
mod ring;
mod traces;

pub use config::RoutesConfig;
pub use host::{Host, TooLong};
pub use ring::RingError;
