//! The IP packets inside the encapsulation.

mod build;
mod parse;

pub use build::{build_reset, build_udp};
pub use parse::{InnerError, InnerPacket, Result, UdpDatagram, destination_of, parse_packet};

#[cfg(test)]
mod tests;
