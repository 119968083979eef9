//! Whose turn it is to call the store, and when a host is better left alone by callers.

use std::time::Duration;

use rand::RngExt;

use super::controller::{CallInProgress, WatchController, WatchOptions};
use super::events::{StoreCall, StoreFailure, WatchNote, WatchOutput};
use super::message::{FleetState, millis};

/// Silence of every host of every other data centre that stands for a cut; digests come from each
/// data centre several times in it.
const CUT_SILENCE: Duration = Duration::from_millis(700);

/// Time after which an isolated host tries again whether it can serve.
const ISOLATION_TIME: Duration = Duration::from_secs(10);

impl WatchController {
    /// Calls the store if it is this host's turn.
    pub(super) fn plan_call(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        if self.call.is_some() || self.state == FleetState::Leaving {
            return;
        }
        if self.book.revision() == 0 {
            if now >= self.boot_read && now >= self.next_call {
                self.call(StoreCall::ReadAll { stale: self.failures == 0 }, now, outputs);
            }
            return;
        }
        let rank = self.view.rank(&self.me(), now);
        let watching = self.is_on_duty(rank, now);
        if watching != self.watching {
            self.watching = watching;
            let confirmed_ms = self.confirmed.map(|at| millis(now.saturating_sub(at)));
            outputs.push(WatchOutput::Note(WatchNote::Duty { watching, rank, confirmed_ms }));
        }
        if watching && now >= self.next_call {
            let wait = match self.is_covered(now) {
                true => self.options.schedule.watch_wait,
                // Whether anything has changed is asked first, then waited for.
                false => Duration::from_millis(1),
            };
            self.call(StoreCall::Watch { after: self.book.revision(), wait }, now, outputs);
        }
    }

    /// Tells whether the host calls the store now.
    ///
    /// One host of each data centre does; the others do when nothing confirms the registry in time.
    pub(super) fn is_on_duty(&self, rank: usize, now: Duration) -> bool {
        let age = now.saturating_sub(self.confirmed.unwrap_or(self.started));
        if age >= self.options.schedule.takeover_age(rank) {
            return true;
        }
        if self.watching {
            return !self.view.has_watcher(&self.me(), true, now);
        }
        let settled = now.saturating_sub(self.started) >= self.options.schedule.settle;
        let vacant = rank == 0 && settled && !self.view.has_watcher(&self.me(), false, now);
        vacant || (self.confirmed.is_none() && is_first(&self.options))
    }

    /// Tells whether the registry is known to be current without this host's own calls.
    pub(super) fn is_covered(&self, now: Duration) -> bool {
        let limit = self.options.schedule.takeover;
        self.confirmed.is_some_and(|at| now.saturating_sub(at) < limit)
    }

    pub(super) fn note_failure(
        &mut self,
        cause: String,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        if self.failures == 0 {
            outputs.push(WatchOutput::Note(WatchNote::StoreLost { cause }));
        }
        self.failures += 1;
        let rank = self.view.rank(&self.me(), now);
        let covered = self.is_covered(now);
        let pause = self.options.schedule.retry_pause(self.failures, rank, covered);
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        self.next_call = now + pause.mul_f64(jitter);
    }

    pub(super) fn give_up_call(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let Some(call) = self.call else { return };
        let wait = match call.call {
            StoreCall::Watch { wait, .. } => wait,
            StoreCall::ReadAll { .. } => Duration::ZERO,
        };
        if now.saturating_sub(call.since) > wait + self.options.schedule.patience(self.failures) {
            let failure = StoreFailure::Failed("no answer in time".to_owned());
            self.take_store(Err(failure), now, outputs);
        }
    }

    pub(super) fn call(&mut self, call: StoreCall, now: Duration, outputs: &mut Vec<WatchOutput>) {
        self.calls += 1;
        self.call = Some(CallInProgress { call, since: now, stalled: false });
        outputs.push(WatchOutput::Call(call));
    }

    /// Tells whether callers are better served by another data centre's hosts.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated.is_some()
    }

    /// Takes the host for isolated while its new flows find nothing but silent upstreams and no host
    /// of another data centre is heard: the platform then turns to hosts that reach more.
    pub(super) fn follow_isolation(
        &mut self,
        stranded: bool,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let near = self.options.data_centre;
        let mut others = self.view.known().filter(|member| member.data_centre != near).peekable();
        let cut_off = others.peek().is_some()
            && others.all(|member| now.saturating_sub(member.heard) >= CUT_SILENCE);
        let isolated = match self.isolated {
            Some(since) => cut_off && now.saturating_sub(since) < ISOLATION_TIME,
            None => cut_off && stranded,
        };
        if isolated != self.isolated.is_some() {
            self.isolated = isolated.then_some(now);
            outputs.push(WatchOutput::Note(WatchNote::Isolated { isolated }));
        }
    }
}

/// Tells whether other hosts turn to this one while they start.
pub(super) fn is_first(options: &WatchOptions) -> bool {
    options.seeds.contains(&options.address) || options.seeds.is_empty()
}
