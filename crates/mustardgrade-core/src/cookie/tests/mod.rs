//! Tests of routing by cookie.

mod hazards;
mod placing;
mod rush;
mod silence;
mod world;
