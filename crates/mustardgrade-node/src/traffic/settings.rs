//! Settings of a traffic thread.

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardgrade_core::flow::FlowOptions;
use mustardgrade_core::identity::HostIncarnation;
use mustardgrade_wire::peer::FleetKeys;

use crate::settings::PortSettings;

/// `TrafficThreadSettings` are the settings of one traffic thread.
#[derive(Debug, Clone)]
pub struct TrafficThreadSettings {
    /// Identity of the local host in its current run.
    pub local_incarnation: HostIncarnation,
    /// Address of the local host.
    pub address: Ipv4Addr,
    /// Address and port of the fabric to which packets for callers are sent.
    pub fabric_return: SocketAddrV4,
    /// Ports of hosts and upstreams.
    pub ports: PortSettings,
    /// Keys with which frames between hosts are sealed.
    pub keys: FleetKeys,
    /// Settings of the flow router, including the index of the thread.
    pub options: FlowOptions,
}
