//! Samples of one upstream's answer times, relative to those of its service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::answer_time::SampleKind;

/// Time after which exact samples lose half of their weight. Upper bounds count in full for the
/// period in which they were taken and the next one.
const SAMPLE_PERIOD: Duration = Duration::from_secs(8);

/// Weight of the assumption that an upstream is as fast as the others of its service, in exact
/// samples. A single request that takes several times as long must not look like a slow upstream.
const PRIOR_EXACT_WEIGHT: f32 = 6.0;

/// Weight of that assumption in upper bounds; few of them are close to the answer time.
const PRIOR_BOUND_WEIGHT: f32 = 6.0;

/// Difference from the median, as a binary logarithm, within which ratios by upper bounds count as
/// equal. The lowest pause in them is random, and uneven shares at even speeds cost capacity.
const BOUND_TOLERANCE: f32 = 0.3;

/// Steps of a reported ratio for each factor of two.
const CODE_STEPS: f32 = 8.0;

/// Binary logarithm of the lowest ratio that a report can state.
const MIN_LOG_RATIO: f32 = -4.0;

/// Largest code of a ratio; the bit above it marks an upper bound.
const MAX_RATIO_CODE: u8 = 127;

/// Bit of a code that marks an upper bound.
const BOUND_FLAG: u8 = 128;

/// `SpeedEntry` is what one host has measured of the speed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpeedEntry {
    /// Position of the upstream among the entries of the report.
    pub position: u8,
    /// Ratio of its answer time to that of its service, as an eighth of a binary logarithm above
    /// 1/16; from 128 on it is an upper bound.
    pub ratio: u8,
    /// Number of samples.
    pub samples: u8,
}

/// `MeasuredRatio` is the ratio of an upstream's answer times to those of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct MeasuredRatio {
    /// Binary logarithm of the ratio.
    pub(super) log_ratio: f32,
    kind: SampleKind,
}

impl MeasuredRatio {
    /// Returns the binary logarithm of the ratio as far as it differs clearly from the median.
    pub(super) fn significant_log_ratio(&self, median: f32) -> f32 {
        let difference = self.log_ratio - median;
        match self.kind {
            SampleKind::Exact => self.log_ratio,
            SampleKind::Bound => {
                // Rises to the whole difference at twice the tolerance.
                let significant = (difference.abs() - BOUND_TOLERANCE).max(0.0) * 2.0;
                median + significant.min(difference.abs()).copysign(difference)
            }
        }
    }
}

/// `SpeedSummary` is the evidence of one upstream's speed, of one host or several.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SpeedSummary {
    /// Sum of the binary logarithms of exact ratios, by weight.
    pub(super) exact_sum: f32,
    pub(super) exact_weight: f32,
    /// Lowest binary logarithm of the upper bounds.
    pub(super) lowest_bound: f32,
    pub(super) bound_weight: f32,
}

impl SpeedSummary {
    pub(super) const EMPTY: Self =
        Self { exact_sum: 0.0, exact_weight: 0.0, lowest_bound: f32::INFINITY, bound_weight: 0.0 };

    pub(super) fn merge(&mut self, other: &Self) {
        self.exact_sum += other.exact_sum;
        self.exact_weight += other.exact_weight;
        self.lowest_bound = self.lowest_bound.min(other.lowest_bound);
        self.bound_weight += other.bound_weight;
    }

    /// Returns the kind of the stronger evidence, its binary logarithm and its weight.
    pub(super) fn strongest(&self) -> Option<(SampleKind, f32, f32)> {
        if self.exact_weight >= 0.5 {
            let mean = self.exact_sum / self.exact_weight;
            return Some((SampleKind::Exact, mean, self.exact_weight));
        }
        (self.bound_weight >= 0.5).then_some((
            SampleKind::Bound,
            self.lowest_bound,
            self.bound_weight,
        ))
    }

    /// Returns the binary logarithm of the ratio, drawn towards 0 as long as there are few samples.
    pub(super) fn measured_ratio(&self) -> Option<MeasuredRatio> {
        let (kind, log_ratio, weight) = self.strongest()?;
        let prior_weight = match kind {
            SampleKind::Exact => PRIOR_EXACT_WEIGHT,
            SampleKind::Bound => PRIOR_BOUND_WEIGHT,
        };
        Some(MeasuredRatio { log_ratio: log_ratio * weight / (weight + prior_weight), kind })
    }

    /// Returns the entry of a report for the upstream at `position`, if there is evidence.
    pub(super) fn entry(&self, position: u8) -> Option<SpeedEntry> {
        let (kind, log_ratio, weight) = self.strongest()?;
        let steps = ((log_ratio - MIN_LOG_RATIO) * CODE_STEPS).round();
        let code = steps.clamp(0.0, f32::from(MAX_RATIO_CODE)) as u8;
        let flag = if kind == SampleKind::Bound { BOUND_FLAG } else { 0 };
        let samples = weight.round().clamp(1.0, f32::from(u8::MAX)) as u8;
        Some(SpeedEntry { position, ratio: code | flag, samples })
    }
}

impl SpeedEntry {
    /// Returns the code of the ratio without the mark of an upper bound.
    pub(super) fn ratio_code(&self) -> u8 {
        self.ratio & MAX_RATIO_CODE
    }

    pub(super) fn is_bound(&self) -> bool {
        self.ratio & BOUND_FLAG != 0
    }
}

/// Returns the binary logarithm of the ratio with a code, or with the mean of several codes.
pub(super) fn log_ratio_of(code: f32) -> f32 {
    code / CODE_STEPS + MIN_LOG_RATIO
}

/// `SpeedSamples` holds this host's own samples of one upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedSamples {
    summary: SpeedSummary,
    /// Lowest bound of the previous period, and the number of its bounds.
    previous_bound: (f32, f32),
    /// Start of the current period; `None` before the first sample is aged.
    period_start: Option<Duration>,
}

impl Default for SpeedSamples {
    fn default() -> Self {
        Self {
            summary: SpeedSummary::EMPTY,
            previous_bound: (f32::INFINITY, 0.0),
            period_start: None,
        }
    }
}

impl SpeedSamples {
    /// Records the binary logarithm of a ratio.
    pub(super) fn record(&mut self, kind: SampleKind, log_ratio: f32) {
        let summary = &mut self.summary;
        match kind {
            SampleKind::Exact => {
                summary.exact_sum += log_ratio;
                summary.exact_weight += 1.0;
            }
            SampleKind::Bound => {
                summary.lowest_bound = summary.lowest_bound.min(log_ratio);
                summary.bound_weight += 1.0;
            }
        }
    }

    /// Lets samples age with time.
    pub(super) fn age(&mut self, now: Duration) {
        let mut period_start = *self.period_start.get_or_insert(now);
        for _ in 0..2 {
            if now.saturating_sub(period_start) < SAMPLE_PERIOD {
                return;
            }
            period_start += SAMPLE_PERIOD;
            self.period_start = Some(period_start);
            self.summary.exact_sum *= 0.5;
            self.summary.exact_weight *= 0.5;
            self.previous_bound = (self.summary.lowest_bound, self.summary.bound_weight);
            (self.summary.lowest_bound, self.summary.bound_weight) = (f32::INFINITY, 0.0);
        }
        if now.saturating_sub(period_start) >= SAMPLE_PERIOD {
            // Nothing has aged the samples for long, so that they are out of date.
            *self = Self { period_start: Some(now), ..Self::default() };
        }
    }

    /// Returns the evidence of the current and the previous period.
    pub(super) fn summary(&self) -> SpeedSummary {
        let (lowest_bound, bound_weight) = self.previous_bound;
        let mut summary = self.summary;
        summary.merge(&SpeedSummary { lowest_bound, bound_weight, ..SpeedSummary::EMPTY });
        summary
    }
}
