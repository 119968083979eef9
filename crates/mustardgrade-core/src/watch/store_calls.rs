//! Decides when a host calls the store and when it reports itself as isolated.

use std::time::Duration;

use rand::RngExt;

use super::controller::{CallInProgress, WatchController};
use super::events::{StoreCall, StoreFailure, WatchEvent, WatchOutput};
use super::message::{FleetMemberState, saturating_millis};
use super::options::WatchOptions;

/// Silence of all remote hosts after which the data centre counts as partitioned; several digests
/// from each data centre normally arrive within this time.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which an isolated host reports itself ready again, to test whether it can serve.
const MAX_ISOLATION_DURATION: Duration = Duration::from_secs(10);

impl WatchController {
    /// Starts a store call if one is due and this host is to make it.
    pub(super) fn call_store_if_due(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        if self.call_in_progress.is_some() || self.state == FleetMemberState::Leaving {
            return;
        }
        if self.registry.position().is_origin() {
            if now >= self.first_read_at && now >= self.next_call_at {
                self.start_call(
                    StoreCall::ReadAll { allow_stale: self.consecutive_failures == 0 },
                    now,
                    outputs,
                );
            }
            return;
        }
        let rank = self.fleet.rank(&self.own_summary(), now);
        let watching = self.should_watch(rank, now);
        if watching != self.watching {
            self.watching = watching;
            let confirmation_age_ms =
                self.confirmed_at.map(|at| saturating_millis(now.saturating_sub(at)));
            outputs.push(WatchOutput::Event(WatchEvent::WatchingChanged {
                watching,
                rank,
                confirmation_age_ms,
            }));
        }
        if watching && now >= self.next_call_at {
            let max_wait = match self.is_confirmation_fresh(now) {
                true => self.options.schedule.max_watch_wait,
                // The registry may be out of date: return at once instead of waiting for a change.
                false => Duration::from_millis(1),
            };
            self.start_call(
                StoreCall::Watch { after: self.registry.position(), max_wait },
                now,
                outputs,
            );
        }
    }

    /// Returns whether the host has to watch the store.
    ///
    /// One host of each data centre watches; others take over when confirmations are overdue.
    pub(super) fn should_watch(&self, rank: usize, now: Duration) -> bool {
        let age = now.saturating_sub(self.confirmed_at.unwrap_or(self.started_at));
        if age >= self.options.schedule.takeover_age(rank) {
            return true;
        }
        if self.watching {
            return !self.fleet.has_watcher(&self.own_summary(), true, now);
        }
        let past_initial_delay =
            now.saturating_sub(self.started_at) >= self.options.schedule.initial_duty_delay;
        let unwatched = rank == 0
            && past_initial_delay
            && !self.fleet.has_watcher(&self.own_summary(), false, now);
        unwatched || (self.confirmed_at.is_none() && is_seed_host(&self.options))
    }

    /// Returns whether the last confirmation is younger than the minimum takeover age.
    pub(super) fn is_confirmation_fresh(&self, now: Duration) -> bool {
        let max_age = self.options.schedule.min_takeover_age;
        self.confirmed_at.is_some_and(|at| now.saturating_sub(at) < max_age)
    }

    pub(super) fn handle_store_failure(
        &mut self,
        cause: String,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        if self.consecutive_failures == 0 {
            self.first_failure_at = now;
            outputs.push(WatchOutput::Event(WatchEvent::StoreFailed { cause }));
        }
        self.consecutive_failures += 1;
        let rank = self.fleet.rank(&self.own_summary(), now);
        // Only a confirmation since the first failure shows that other hosts reach the store.
        let others_reach_store = self.is_confirmation_fresh(now)
            && self.confirmed_at.is_some_and(|at| at > self.first_failure_at);
        let delay =
            self.options.schedule.retry_delay(self.consecutive_failures, rank, others_reach_store);
        let jitter_factor = 0.75 + 0.5 * self.rng.random::<f64>();
        self.next_call_at = now + delay.mul_f64(jitter_factor);
    }

    pub(super) fn time_out_call(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let Some(call) = self.call_in_progress else { return };
        let max_wait = match call.call {
            StoreCall::Watch { max_wait, .. } => max_wait,
            StoreCall::ReadAll { .. } => Duration::ZERO,
        };
        if now.saturating_sub(call.started_at)
            > max_wait + self.options.schedule.call_timeout(self.consecutive_failures)
        {
            let failure = StoreFailure::Failed("no answer before the call timeout".to_owned());
            self.handle_store_result(Err(failure), now, outputs);
        }
    }

    pub(super) fn start_call(
        &mut self,
        call: StoreCall,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        self.store_calls += 1;
        self.call_in_progress = Some(CallInProgress { call, started_at: now, spans_stall: false });
        outputs.push(WatchOutput::CallStore(call));
    }

    /// Returns whether callers should be directed to hosts of another data centre.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Marks the host as isolated when new flows find only suspected upstreams and no remote host
    /// is heard, so that the platform directs callers to hosts of other data centres.
    ///
    /// The mark is removed when a remote host is heard, or after [`MAX_ISOLATION_DURATION`].
    pub(super) fn update_isolation(
        &mut self,
        all_suspected: bool,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let own_data_centre = self.options.data_centre;
        let mut remote_hosts =
            self.fleet.known().filter(|member| member.data_centre != own_data_centre).peekable();
        let partitioned = remote_hosts.peek().is_some()
            && remote_hosts
                .all(|member| now.saturating_sub(member.last_heard_at) >= PARTITION_TIMEOUT);
        let isolated = match self.isolated_since {
            Some(since) => partitioned && now.saturating_sub(since) < MAX_ISOLATION_DURATION,
            None => partitioned && all_suspected,
        };
        if isolated != self.isolated_since.is_some() {
            self.isolated_since = isolated.then_some(now);
            outputs.push(WatchOutput::Event(WatchEvent::IsolationChanged { isolated }));
        }
    }
}

/// Returns whether starting hosts contact this one first, or no seed hosts are configured.
pub(super) fn is_seed_host(options: &WatchOptions) -> bool {
    options.seed_hosts.contains(&options.address) || options.seed_hosts.is_empty()
}
