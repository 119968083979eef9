//! Whole-file checks of the rules.

use std::collections::HashMap;

use super::errors::{Result, RuleError};
use super::model::{DataCentreState, RuleBook, UpstreamState};

/// Largest edit distance at which a word is suggested in place of an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Checks what single lines cannot show.
///
/// # Errors
///
/// Returns the first fault: a name given twice, two services on one address, an unknown service or
/// data centre, a service without upstreams, or a file that leaves no data centre in.
pub fn check_rules(book: &RuleBook) -> Result<()> {
    check_names(book)?;
    check_addresses(book)?;
    check_references(book)?;
    check_population(book)
}

fn check_names(book: &RuleBook) -> Result<()> {
    let centres = book.data_centres.iter().map(|rule| (rule.name.as_str(), rule.line));
    refuse_repeats("data centre", centres)?;
    let services = book.services.iter().map(|rule| (rule.name.as_str(), rule.line));
    refuse_repeats("service", services)?;
    let upstreams = book.upstreams.iter().map(|rule| (rule.name.as_str(), rule.line));
    refuse_repeats("upstream", upstreams)
}

fn refuse_repeats<'a>(kind: &str, names: impl Iterator<Item = (&'a str, usize)>) -> Result<()> {
    let mut first: HashMap<&str, usize> = HashMap::new();
    for (name, line) in names {
        if let Some(earlier) = first.insert(name, line) {
            let cause = format!("{kind} '{name}' is already defined on line {earlier}");
            return Err(RuleError::new(line, 1, cause));
        }
    }
    Ok(())
}

fn check_addresses(book: &RuleBook) -> Result<()> {
    let mut first = HashMap::new();
    for service in &book.services {
        if let Some(earlier) = first.insert(service.address, service.name.as_str()) {
            let cause = format!("address {} already belongs to '{earlier}'", service.address);
            return Err(RuleError::new(service.line, 1, cause));
        }
    }
    // One address may serve a flow service and a request service, which use different ports.
    let mut owner: HashMap<_, &str> = HashMap::new();
    for upstream in &book.upstreams {
        let service = book.services.iter().find(|service| service.name == upstream.service);
        let class = service.map(|service| service.class);
        if let Some(earlier) = owner.insert((upstream.address, class), upstream.name.as_str()) {
            let cause = format!("address {} already belongs to '{earlier}'", upstream.address);
            return Err(RuleError::new(upstream.line, 1, cause));
        }
    }
    Ok(())
}

fn check_references(book: &RuleBook) -> Result<()> {
    for upstream in &book.upstreams {
        if !book.services.iter().any(|service| service.name == upstream.service) {
            let names = book.services.iter().map(|service| service.name.as_str());
            let cause = unknown("service", &upstream.service, names);
            return Err(RuleError::new(upstream.line, 1, cause));
        }
        if !book.data_centres.iter().any(|centre| centre.name == upstream.data_centre) {
            let names = book.data_centres.iter().map(|centre| centre.name.as_str());
            let cause = unknown("data centre", &upstream.data_centre, names);
            return Err(RuleError::new(upstream.line, 1, cause));
        }
    }
    Ok(())
}

fn check_population(book: &RuleBook) -> Result<()> {
    for service in &book.services {
        let serving =
            book.upstreams_of(&service.name).any(|rule| rule.state == UpstreamState::Serving);
        if !serving {
            let cause = format!("service '{}' has no serving upstream", service.name);
            return Err(RuleError::new(service.line, 1, cause));
        }
    }
    let Some(last) = book.data_centres.last() else {
        return Ok(());
    };
    if book.data_centres.iter().all(|centre| centre.state == DataCentreState::Out) {
        return Err(RuleError::new(last.line, 1, "no data centre is left in"));
    }
    Ok(())
}

fn unknown<'a>(kind: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    match nearest_word(name, known) {
        Some(near) => format!("unknown {kind} '{name}'; did you mean '{near}'?"),
        None => format!("unknown {kind} '{name}'"),
    }
}

/// Returns the candidate that is nearest to `word`, if any is near enough to suggest.
#[must_use]
pub fn nearest_word<'a>(word: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Computes the Levenshtein distance of two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
