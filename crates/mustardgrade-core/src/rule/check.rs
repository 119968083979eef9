//! Whole-file checks of the rules.

use std::collections::HashMap;

use super::errors::{Result, RuleError};
use super::grammar::MAX_LINE_BYTES;
use super::model::{DataCentreState, RuleSet, UpstreamState};
use crate::identity::{DataCentreId, ServiceId, UpstreamId};

/// Maximum edit distance at which a known word is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Checks the rules for errors that involve more than one line.
///
/// # Errors
///
/// Returns the first error: a rule that is too long in its canonical form, a duplicate name, two names
/// that hosts cannot tell apart, an address that is used twice, an unknown service or
/// data centre, a service without a serving upstream, or no data centre in service.
pub fn check_rules(rule_set: &RuleSet) -> Result<()> {
    check_line_lengths(rule_set)?;
    check_names(rule_set)?;
    check_addresses(rule_set)?;
    check_references(rule_set)?;
    check_availability(rule_set)
}

/// Checks that each rule can be read again after it has been written in its canonical form, in which
/// defaults are spelled out.
fn check_line_lengths(rule_set: &RuleSet) -> Result<()> {
    let data_centres = rule_set.data_centres.iter().map(|rule| (rule.line, rule.to_string()));
    let services = rule_set.services.iter().map(|rule| (rule.line, rule.to_string()));
    let upstreams = rule_set.upstreams.iter().map(|rule| (rule.line, rule.to_string()));
    let mut lines = data_centres.chain(services).chain(upstreams);
    match lines.find(|(_, text)| text.len() > MAX_LINE_BYTES) {
        Some((line, _)) => Err(RuleError::new(
            line,
            1,
            format!("rule is longer than {MAX_LINE_BYTES} bytes with its defaults spelled out"),
        )),
        None => Ok(()),
    }
}

fn check_names(rule_set: &RuleSet) -> Result<()> {
    let data_centres = rule_set.data_centres.iter().map(|rule| (rule.name.as_str(), rule.line));
    check_unique("data centre", data_centres, |name| DataCentreId::from_name(name).0)?;
    let services = rule_set.services.iter().map(|rule| (rule.name.as_str(), rule.line));
    check_unique("service", services, |name| ServiceId::from_name(name).0)?;
    let upstreams = rule_set.upstreams.iter().map(|rule| (rule.name.as_str(), rule.line));
    check_unique("upstream", upstreams, |name| UpstreamId::from_name(name).0)
}

/// Checks that no name occurs twice, and that no two names have the same identity, by which hosts
/// tell them apart.
pub(super) fn check_unique<'a>(
    kind: &str,
    names: impl Iterator<Item = (&'a str, usize)>,
    identity_of: impl Fn(&str) -> u64,
) -> Result<()> {
    let mut rule_by_identity: HashMap<u64, (&str, usize)> = HashMap::new();
    for (name, line) in names {
        let Some((earlier, earlier_line)) =
            rule_by_identity.insert(identity_of(name), (name, line))
        else {
            continue;
        };
        let cause = match earlier == name {
            true => format!("{kind} '{name}' is already defined on line {earlier_line}"),
            false => format!(
                "{kind} '{name}' has the same identity as '{earlier}' on line {earlier_line}; \
                 rename one of them"
            ),
        };
        return Err(RuleError::new(line, 1, cause));
    }
    Ok(())
}

fn check_addresses(rule_set: &RuleSet) -> Result<()> {
    let mut service_by_address = HashMap::new();
    for service in &rule_set.services {
        if let Some(earlier) = service_by_address.insert(service.address, service.name.as_str()) {
            let cause =
                format!("address {} is already used by service '{earlier}'", service.address);
            return Err(RuleError::new(service.line, 1, cause));
        }
    }
    // An address may be used once per service class: flow and request services use different ports.
    let mut upstream_by_address: HashMap<_, &str> = HashMap::new();
    for upstream in &rule_set.upstreams {
        let service = rule_set.services.iter().find(|service| service.name == upstream.service);
        let class = service.map(|service| service.class);
        if let Some(earlier) =
            upstream_by_address.insert((upstream.address, class), upstream.name.as_str())
        {
            let cause =
                format!("address {} is already used by upstream '{earlier}'", upstream.address);
            return Err(RuleError::new(upstream.line, 1, cause));
        }
    }
    Ok(())
}

fn check_references(rule_set: &RuleSet) -> Result<()> {
    for upstream in &rule_set.upstreams {
        if !rule_set.services.iter().any(|service| service.name == upstream.service) {
            let names = rule_set.services.iter().map(|service| service.name.as_str());
            let cause = unknown_name_message("service", &upstream.service, names);
            return Err(RuleError::new(upstream.line, 1, cause));
        }
        if !rule_set.data_centres.iter().any(|data_centre| data_centre.name == upstream.data_centre)
        {
            let names = rule_set.data_centres.iter().map(|data_centre| data_centre.name.as_str());
            let cause = unknown_name_message("data centre", &upstream.data_centre, names);
            return Err(RuleError::new(upstream.line, 1, cause));
        }
    }
    Ok(())
}

fn check_availability(rule_set: &RuleSet) -> Result<()> {
    for service in &rule_set.services {
        let has_serving_upstream =
            rule_set.upstreams_of(&service.name).any(|rule| rule.state == UpstreamState::Serving);
        if !has_serving_upstream {
            let cause = format!("service '{}' has no serving upstream", service.name);
            return Err(RuleError::new(service.line, 1, cause));
        }
    }
    let Some(last_rule) = rule_set.data_centres.last() else {
        return Ok(());
    };
    if rule_set.data_centres.iter().all(|data_centre| data_centre.state == DataCentreState::Out) {
        return Err(RuleError::new(
            last_rule.line,
            1,
            "no data centre is in service; at least one must be 'in'",
        ));
    }
    Ok(())
}

fn unknown_name_message<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> String {
    match nearest_word(name, known) {
        Some(suggestion) => format!("unknown {kind} '{name}'; did you mean '{suggestion}'?"),
        None => format!("unknown {kind} '{name}'"),
    }
}

/// Returns the candidate closest to `word`, if one is close enough to be suggested.
#[must_use]
pub fn nearest_word<'a>(word: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Computes the Levenshtein distance between two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (left_index, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = left_index + 1;
        for (right_index, right_char) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(left_char != *right_char);
            diagonal = row[right_index + 1];
            row[right_index + 1] = substitution.min(row[right_index] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
