//! Parsing and building of the IP packets that are carried in GUE datagrams.

mod build;
mod parse;

pub use build::{build_tcp_reset, build_udp_packet};
pub use parse::{InnerError, InnerPacket, Result, UdpDatagram, destination_address, parse_packet};

#[cfg(test)]
mod tests;
