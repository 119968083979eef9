//! Tests of routing by cookie.

mod allocation;
mod hazards;
mod placing;
mod reach;
mod rush;
mod silence;
mod world;
