//! Unit tests of the watch controller; the `fleet` module of `mustardgrade-standin` simulates
//! several hosts.

mod controller;
mod ended_runs;
mod holders;
mod restore;
mod route_services;
mod service_writes;
