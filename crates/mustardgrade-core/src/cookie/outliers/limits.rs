//! Limits of the slots that are ejected at the same time.

use super::detector::{OutlierDetector, RefreshInput};
use super::upstream::event;
use crate::cookie::packet::FlowEvent;

impl OutlierDetector {
    /// Returns whether at least half of the slots of the service in the data centre, and one usable
    /// upstream, are left without the upstream at `index`.
    pub(super) fn allows_ejection(&self, index: usize, is_usable: &dyn Fn(usize) -> bool) -> bool {
        let candidate = &self.upstreams[index];
        let (slots, lost) = self.group_slots(index, is_usable);
        let is_last = !self.upstreams.iter().enumerate().any(|(other, upstream)| {
            other != index
                && upstream.service == candidate.service
                && !upstream.ejection.is_ejected()
                && is_usable(other)
        });
        !is_last && (lost + candidate.slots) * 2 <= slots
    }

    /// Returns the slots of the upstreams of the group of the one at `index`, and the slots of the
    /// others among them that are ejected or not usable for another reason.
    fn group_slots(&self, index: usize, is_usable: &dyn Fn(usize) -> bool) -> (u32, u32) {
        let candidate = &self.upstreams[index];
        let group = self.upstreams.iter().enumerate();
        let group = group.filter(|(_, upstream)| upstream.shares_group(candidate));
        group.fold((0, 0), |(slots, lost), (other, upstream)| {
            let is_lost = other != index && (upstream.ejection.is_ejected() || !is_usable(other));
            (slots + upstream.slots, lost + if is_lost { upstream.slots } else { 0 })
        })
    }

    /// Readmits upstreams while more than half of the slots of a service in a data centre are
    /// ejected, since others have left.
    pub(super) fn readmit_beyond_limit(
        &mut self,
        input: &RefreshInput<'_>,
        events: &mut Vec<FlowEvent>,
    ) {
        let mut ejected: Vec<usize> = (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].ejection.is_ejected())
            .collect();
        ejected.sort_by(|a, b| self.excess_share(*a).total_cmp(&self.excess_share(*b)));
        for index in ejected {
            let (usable, ejected) = self.usable_and_ejected_slots(index, input.is_usable);
            if ejected <= usable {
                continue;
            }
            let upstream = &mut self.upstreams[index];
            let change = upstream.ejection.readmit(input.now);
            events.extend(change.map(|change| event(upstream, change)));
        }
    }

    /// Returns the slots of the group of the upstream at `index` that get openings, and those that
    /// are ejected.
    fn usable_and_ejected_slots(
        &self,
        index: usize,
        is_usable: &dyn Fn(usize) -> bool,
    ) -> (u32, u32) {
        let candidate = &self.upstreams[index];
        let group = self.upstreams.iter().enumerate();
        let group = group.filter(|(_, upstream)| upstream.shares_group(candidate));
        group.fold((0, 0), |(usable, ejected), (other, upstream)| {
            match (upstream.ejection.is_ejected(), is_usable(other)) {
                (true, true) => (usable, ejected + upstream.slots),
                (false, true) => (usable + upstream.slots, ejected),
                (_, false) => (usable, ejected),
            }
        })
    }
}
