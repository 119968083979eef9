//! Tests of the log rate limit.

use std::time::Duration;

use super::{LogDecision, LogRateLimiter};

#[test]
fn omitted_lines_are_counted_and_reported_in_the_next_second() {
    let mut limiter = LogRateLimiter::new(2);
    let millis = Duration::from_millis;
    assert_eq!(limiter.admit(millis(100)), LogDecision::Write { omitted: 0 });
    assert_eq!(limiter.admit(millis(200)), LogDecision::Write { omitted: 0 });
    assert_eq!(limiter.admit(millis(300)), LogDecision::Omit);
    assert_eq!(limiter.admit(millis(900)), LogDecision::Omit);
    assert_eq!(limiter.admit(millis(1_000)), LogDecision::Write { omitted: 2 });
}
