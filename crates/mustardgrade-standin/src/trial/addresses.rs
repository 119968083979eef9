//! Loopback addresses of a trial, which no other trial on the machine uses at the same time.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

use mustardgrade_core::rule::RuleSet;

use super::errors::{Result, TrialError};

/// Second octet of the addresses of platform, fabric, hosts and callers in the first range.
const FIRST_SECOND_OCTET: u8 = 77;

/// Distance between the second octets of neighbouring ranges.
const RANGE_DISTANCE: u8 = 10;

/// Number of ranges, and thus of trials that can run at the same time.
const RANGE_COUNT: u8 = 17;

/// Port whose listener reserves a range; nothing else in a trial uses it.
const RESERVATION_PORT: u16 = 8_499;

/// `LoopbackRange` is a range of loopback addresses that is reserved until the process ends.
#[derive(Debug)]
pub(super) struct LoopbackRange {
    second_octet: u8,
}

impl LoopbackRange {
    /// Reserves the first range that no running trial has reserved.
    ///
    /// # Errors
    ///
    /// Fails if all ranges are reserved.
    pub(super) fn reserve() -> Result<Self> {
        for index in 0..RANGE_COUNT {
            let second_octet = FIRST_SECOND_OCTET + index * RANGE_DISTANCE;
            let address = SocketAddrV4::new(platform_address(second_octet), RESERVATION_PORT);
            if let Ok(reservation) = TcpListener::bind(address) {
                // Threads and tasks of a trial may hold ports of the range when the trial has
                // ended, so only the end of the process may release it.
                std::mem::forget(reservation);
                return Ok(Self { second_octet });
            }
        }
        Err(TrialError::NoFreeAddresses(RANGE_COUNT))
    }

    /// Returns the second octet of the addresses of platform, fabric, hosts and callers.
    pub(super) fn second_octet(&self) -> u8 {
        self.second_octet
    }

    /// Moves the loopback addresses of the upstreams by the distance of this range from the first.
    ///
    /// # Errors
    ///
    /// Fails if an address would leave the loopback network's second octet.
    pub(super) fn move_upstreams(&self, rules: &mut RuleSet) -> Result<()> {
        let distance = self.second_octet - FIRST_SECOND_OCTET;
        for rule in rules.upstreams.iter_mut().filter(|rule| rule.address.is_loopback()) {
            let [first, second, third, fourth] = rule.address.octets();
            let moved = second.checked_add(distance);
            let moved = moved.ok_or(TrialError::AddressOutOfRange(rule.address))?;
            rule.address = Ipv4Addr::new(first, moved, third, fourth);
        }
        Ok(())
    }
}

/// Returns the address of platform and fabric in the range with this second octet.
pub(super) fn platform_address(second_octet: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, second_octet, 0, 1)
}
