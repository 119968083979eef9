//! Tests of the watch controller, over a store and a network in virtual time.

mod fleet;
mod outages;
mod starts;
mod state;
