//! Fair division of a route's openings among its callers.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::demand::EventRate;

/// Maximum number of callers with a rate of their own; further ones share one.
const MAX_CALLERS: usize = 64;

/// Rate below which a caller is forgotten.
const MIN_RATE_PER_SEC: f64 = 0.05;

/// `CallerRate` is the rate at which a caller opens flows.
#[derive(Debug, Clone, Copy)]
struct CallerRate {
    address: Ipv4Addr,
    openings: EventRate,
}

/// `CallerShares` holds the rates at which callers open flows, up to a fixed number of callers, and
/// the rate that each of them may reach.
///
/// The admitted rate is divided equally; what a caller leaves unused is lent to the others (max-min
/// fairness).
#[derive(Debug, Clone)]
pub(super) struct CallerShares {
    callers: Vec<CallerRate>,
    /// Callers beyond [`MAX_CALLERS`], together.
    others: EventRate,
    /// Rate up to which the openings of one caller are admitted; `None` without a limit.
    max_per_sec: Option<f64>,
    sorted_rates: Vec<f64>,
}

impl CallerShares {
    pub(super) fn new() -> Self {
        Self {
            callers: Vec::with_capacity(MAX_CALLERS),
            others: EventRate::default(),
            max_per_sec: None,
            sorted_rates: Vec::with_capacity(MAX_CALLERS + 1),
        }
    }

    /// Counts an opening of a caller.
    pub(super) fn add(&mut self, address: Ipv4Addr) {
        if let Some(caller) = self.callers.iter_mut().find(|caller| caller.address == address) {
            return caller.openings.add();
        }
        if self.callers.len() == MAX_CALLERS {
            return self.others.add();
        }
        let mut openings = EventRate::default();
        openings.add();
        self.callers.push(CallerRate { address, openings });
    }

    /// Averages the rates, and forgets callers that open no flows.
    pub(super) fn update(&mut self, elapsed: Duration) {
        for caller in &mut self.callers {
            caller.openings.update(elapsed);
        }
        self.others.update(elapsed);
        self.callers.retain(|caller| caller.openings.per_sec() >= MIN_RATE_PER_SEC);
    }

    /// Divides `admitted_per_sec` openings per second among the callers; `None` admits all.
    pub(super) fn divide(&mut self, admitted_per_sec: Option<f64>) {
        let Some(admitted) = admitted_per_sec else {
            self.max_per_sec = None;
            return;
        };
        self.sorted_rates.clear();
        let rates = self.callers.iter().map(|caller| caller.openings.per_sec());
        self.sorted_rates.extend(rates.chain([self.others.per_sec()]).filter(|rate| *rate > 0.0));
        self.sorted_rates.sort_unstable_by(f64::total_cmp);
        let (mut left, mut callers) = (admitted.max(0.0), self.sorted_rates.len());
        let mut equal_share = left / callers.max(1) as f64;
        for rate in &self.sorted_rates {
            equal_share = left / callers as f64;
            if *rate >= equal_share {
                break;
            }
            left -= rate;
            callers -= 1;
        }
        self.max_per_sec = Some(equal_share);
    }

    /// Returns the share of a caller's openings that is admitted.
    pub(super) fn admitted_share(&self, address: Ipv4Addr) -> f64 {
        let Some(max_per_sec) = self.max_per_sec else { return 1.0 };
        let caller = self.callers.iter().find(|caller| caller.address == address);
        let rate = caller.map_or(self.others, |caller| caller.openings).per_sec();
        if rate <= max_per_sec { 1.0 } else { max_per_sec / rate }
    }
}
