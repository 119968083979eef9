//! Tests of routing by cookie.

mod allocation;
mod hazards;
mod placing;
mod rush;
mod silence;
mod world;
