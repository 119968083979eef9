//! The planner: derives the next generation of the placement tables.

use std::time::Duration;

use super::assign::{AssignMethod, UpstreamWeight, assign_buckets};
use super::book::PlacementBook;
use super::table::{BucketPhase, BucketSlot, PlacementTable, UNPLACED};
use crate::identity::{ServiceId, UpstreamId};
use crate::rule::{RuleSet, ServiceClass, ServiceRule, UpstreamRule};

/// Weight of a warm upstream for each of its slots.
pub const WARM_WEIGHT_PER_SLOT: u32 = 100;

/// `PlannerOptions` holds the settings of a [`PlacementPlanner`].
#[derive(Debug, Clone, Copy)]
pub struct PlannerOptions {
    /// How buckets are given to upstreams.
    pub method: AssignMethod,
    /// Whether moves go through guards; without them a move takes effect at once.
    pub guarded: bool,
    /// Whether moves are announced and wait for the echo of all live hosts; off only to show that
    /// the checks catch a protocol without it.
    pub wait_for_echo: bool,
    /// Time for which a moved bucket collects its old flows; flows that stay silent for longer are
    /// taken for closed.
    pub collect_time: Duration,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            method: AssignMethod::Bounded,
            guarded: true,
            wait_for_echo: true,
            collect_time: Duration::from_secs(60),
        }
    }
}

/// `EchoState` is what the planner knows of the other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EchoState {
    /// Lowest generation in force on any live host.
    pub applied: u64,
    /// Lowest generation for which any listed host holds all settled exceptions.
    pub settled: u64,
    /// Whether hosts that are listed as live cannot be heard.
    pub listed_missing: bool,
}

/// `PlacementPlanner` proposes generations of the [`PlacementBook`].
///
/// It keeps only the time at which it first saw the current collecting phase; a new planner waits
/// the whole time again, which is safe.
#[derive(Debug)]
pub struct PlacementPlanner {
    options: PlannerOptions,
    collecting_since: Vec<CollectStart>,
}

/// `CollectStart` remembers when a moved bucket was first seen collecting.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CollectStart {
    service: ServiceId,
    bucket: usize,
    upstream: UpstreamId,
    since: Duration,
}

impl PlacementPlanner {
    /// Creates a planner.
    #[must_use]
    pub fn new(options: PlannerOptions) -> Self {
        Self { options, collecting_since: Vec::new() }
    }

    /// Records which buckets are collecting; called whenever a generation comes into force.
    pub fn observe(&mut self, book: &PlacementBook, now: Duration) {
        let mut fresh = Vec::new();
        for table in &book.tables {
            let collecting = table
                .slots
                .iter()
                .enumerate()
                .filter(|(_, slot)| slot.phase == BucketPhase::Collecting);
            for (bucket, slot) in collecting {
                let Some(upstream) = table.upstream(slot.current) else {
                    continue;
                };
                fresh.push(CollectStart { service: table.service, bucket, upstream, since: now });
            }
        }
        let key = |start: &CollectStart| (start.service, start.bucket, start.upstream);
        fresh.sort_by_key(key);
        for start in &mut fresh {
            if let Ok(known) = self.collecting_since.binary_search_by_key(&key(start), key) {
                start.since = self.collecting_since[known].since;
            }
        }
        self.collecting_since = fresh;
    }

    /// Returns the next generation, or `None` if the current one needs no change yet.
    ///
    /// `weight_of` gives the share of an upstream that takes new work.
    #[must_use]
    pub fn propose(
        &self,
        book: &PlacementBook,
        rules: &RuleSet,
        rules_revision: u64,
        weight_of: &dyn Fn(&UpstreamRule) -> u32,
        echo: EchoState,
        now: Duration,
    ) -> Option<PlacementBook> {
        let mut next =
            PlacementBook { generation: book.generation + 1, rules_revision, tables: Vec::new() };
        let flow_services =
            rules.services.iter().filter(|service| service.class == ServiceClass::Flow);
        for service in flow_services {
            let table = match book.table(service.id()) {
                Some(table) => {
                    self.next_table(book.generation, table, rules, service, weight_of, echo, now)
                }
                None => first_table(self.options.method, rules, service, weight_of),
            };
            next.tables.push(table);
        }
        // The first generation is published even if no service needs a table: joining hosts wait
        // for it.
        (next.tables != book.tables || book.generation == 0).then_some(next)
    }

    #[expect(clippy::too_many_arguments, reason = "the inputs of one step of one table")]
    fn next_table(
        &self,
        generation: u64,
        table: &PlacementTable,
        rules: &RuleSet,
        service: &ServiceRule,
        weight_of: &dyn Fn(&UpstreamRule) -> u32,
        echo: EchoState,
        now: Duration,
    ) -> PlacementTable {
        let mut next = table.clone();
        self.advance_phases(generation, &mut next, echo, now);
        let weights = weights_for(&mut next, rules, service, weight_of);
        let held: Vec<u16> = next.slots.iter().map(|slot| slot.current).collect();
        let wanted = assign_buckets(self.options.method, &held, &weights);
        for (slot, upstream) in next.slots.iter_mut().zip(wanted) {
            self.retarget(slot, upstream);
        }
        next
    }

    /// Moves every bucket to its next phase where all hosts have followed the current one.
    fn advance_phases(
        &self,
        generation: u64,
        table: &mut PlacementTable,
        echo: EchoState,
        now: Duration,
    ) {
        let applied = echo.applied >= generation || !self.options.wait_for_echo;
        let settled = echo.settled >= generation && !echo.listed_missing;
        let service = table.service;
        let upstreams = &table.upstreams;
        for (bucket, slot) in table.slots.iter_mut().enumerate() {
            let next = match slot.phase {
                BucketPhase::Announced if applied => BucketPhase::Collecting,
                BucketPhase::Collecting if applied && !echo.listed_missing => {
                    let upstream = upstreams.get(usize::from(slot.current)).copied();
                    match self.collected(service, bucket, upstream, now) {
                        true => BucketPhase::Settling,
                        false => continue,
                    }
                }
                BucketPhase::Settling if settled => {
                    slot.base = slot.current;
                    BucketPhase::Steady
                }
                BucketPhase::Steady
                | BucketPhase::Announced
                | BucketPhase::Collecting
                | BucketPhase::Settling => continue,
            };
            slot.phase = next;
        }
    }

    fn collected(
        &self,
        service: ServiceId,
        bucket: usize,
        upstream: Option<UpstreamId>,
        now: Duration,
    ) -> bool {
        let Some(upstream) = upstream else {
            return false;
        };
        let key = |start: &CollectStart| (start.service, start.bucket, start.upstream);
        let found = self.collecting_since.binary_search_by_key(&(service, bucket, upstream), key);
        match found {
            Ok(index) => now >= self.collecting_since[index].since + self.options.collect_time,
            Err(_) => false,
        }
    }

    /// Turns a slot towards a new upstream, by way of the guard phases.
    fn retarget(&self, slot: &mut BucketSlot, upstream: u16) {
        if slot.current == upstream {
            return;
        }
        if !self.options.guarded || slot.base == UNPLACED && slot.phase == BucketPhase::Steady {
            *slot = BucketSlot::steady(upstream);
            return;
        }
        slot.phase = match slot.phase {
            BucketPhase::Steady | BucketPhase::Announced if !self.options.wait_for_echo => {
                BucketPhase::Collecting
            }
            BucketPhase::Steady | BucketPhase::Announced => BucketPhase::Announced,
            BucketPhase::Collecting => BucketPhase::Collecting,
            BucketPhase::Settling => {
                // Unlisted flows already belong to the upstream that is now left.
                slot.base = slot.current;
                BucketPhase::Collecting
            }
        };
        slot.current = upstream;
    }
}

fn first_table(
    method: AssignMethod,
    rules: &RuleSet,
    service: &ServiceRule,
    weight_of: &dyn Fn(&UpstreamRule) -> u32,
) -> PlacementTable {
    let count = PlacementTable::bucket_count_for(rules.upstreams_of(&service.name).count());
    let mut table = PlacementTable {
        service: service.id(),
        upstreams: Vec::new(),
        slots: vec![BucketSlot::steady(UNPLACED); count],
    };
    let weights = weights_for(&mut table, rules, service, weight_of);
    let wanted = assign_buckets(method, &vec![UNPLACED; count], &weights);
    table.slots = wanted.into_iter().map(BucketSlot::steady).collect();
    table
}

/// Returns a weight for each upstream of the table, adding upstreams that are new.
fn weights_for(
    table: &mut PlacementTable,
    rules: &RuleSet,
    service: &ServiceRule,
    weight_of: &dyn Fn(&UpstreamRule) -> u32,
) -> Vec<UpstreamWeight> {
    for rule in rules.upstreams_of(&service.name) {
        if table.index_of(rule.id()).is_none() {
            table.upstreams.push(rule.id());
        }
    }
    let weight = |upstream: &UpstreamId| {
        let rule = rules.upstreams_of(&service.name).find(|rule| rule.id() == *upstream);
        rule.filter(|rule| rules.takes_new_work(rule)).map_or(0, weight_of)
    };
    let weights = table.upstreams.iter();
    weights
        .map(|upstream| UpstreamWeight { upstream: *upstream, weight: weight(upstream) })
        .collect()
}
