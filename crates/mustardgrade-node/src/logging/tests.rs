//! Tests of logging.

use std::time::Duration;

use super::{LineBudget, LineGrant};

#[test]
fn budget_counts_what_it_leaves_out() {
    let mut budget = LineBudget::new(2);
    let at = Duration::from_millis;
    assert_eq!(budget.ask(at(100)), LineGrant::Write { omitted: 0 });
    assert_eq!(budget.ask(at(200)), LineGrant::Write { omitted: 0 });
    assert_eq!(budget.ask(at(300)), LineGrant::Omit);
    assert_eq!(budget.ask(at(900)), LineGrant::Omit);
    assert_eq!(budget.ask(at(1_000)), LineGrant::Write { omitted: 2 });
}
