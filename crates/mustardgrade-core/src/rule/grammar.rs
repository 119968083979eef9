//! Grammar of the rules file.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use winnow::Parser;
use winnow::ascii::space0;
use winnow::combinator::repeat;
use winnow::token::take_while;

use super::errors::{Result, RuleError};
use super::model::{
    DataCentreRule, DataCentreState, Requester, RuleBook, ServiceClass, ServiceRule, UpstreamRule,
    UpstreamState,
};

/// Longest accepted rule in bytes; longer lines are refused before they are split.
const MAX_LINE_BYTES: usize = 1_024;

/// Rule kinds, for suggestions.
const RULE_KINDS: [&str; 3] = ["data-centre", "service", "upstream"];

/// `Word` is a token of a line with the column that it starts at.
#[derive(Debug, Clone, Copy)]
struct Word<'a> {
    text: &'a str,
    column: usize,
}

/// `RuleLine` is a line split into words and its requester.
#[derive(Debug)]
struct RuleLine<'a> {
    number: usize,
    words: Vec<Word<'a>>,
    end_column: usize,
    requester: Requester,
}

/// Reads the text of a rules file.
///
/// Blank lines and lines that hold only a comment are skipped.
///
/// # Errors
///
/// Returns the first fault with its line and column: an unknown rule or key, a bad value, a missing
/// key, or a rule without the comment that names who asked.
pub fn parse_rules(text: &str) -> Result<RuleBook> {
    let mut book = RuleBook::default();
    for (index, line) in text.lines().enumerate() {
        if let Some(line) = split_line(index + 1, line)? {
            read_rule(&mut book, &line)?;
        }
    }
    super::check_rules(&book)?;
    Ok(book)
}

fn split_line(number: usize, line: &str) -> Result<Option<RuleLine<'_>>> {
    if line.len() > MAX_LINE_BYTES {
        let cause = format!("rule is longer than {MAX_LINE_BYTES} bytes");
        return Err(RuleError::new(number, 1, cause));
    }
    let (body, comment) = line.split_once('#').unwrap_or((line, ""));
    let words = split_words(body);
    if words.is_empty() {
        return Ok(None);
    }
    let end_column = body.trim_end().chars().count() + 1;
    let requester = comment.trim();
    if requester.is_empty() {
        let cause = "rule lacks the comment that names who asked for it";
        return Err(RuleError::new(number, end_column, cause));
    }
    let requester = Requester(requester.to_owned());
    Ok(Some(RuleLine { number, words, end_column, requester }))
}

fn split_words(body: &str) -> Vec<Word<'_>> {
    let word = take_while::<_, _, winnow::error::ContextError>(1.., |c: char| !c.is_whitespace());
    let blank = take_while(0.., char::is_whitespace);
    let mut rest = body;
    let words: Vec<&str> = repeat(0.., (space0, word, blank).map(|(_, word, _)| word))
        .parse_next(&mut rest)
        .unwrap_or_default();
    words
        .into_iter()
        .map(|text| {
            let offset = text.as_ptr() as usize - body.as_ptr() as usize;
            Word { text, column: body[..offset].chars().count() + 1 }
        })
        .collect()
}

fn read_rule(book: &mut RuleBook, line: &RuleLine<'_>) -> Result<()> {
    let kind = line.words[0];
    match kind.text {
        "data-centre" => book.data_centres.push(read_data_centre(line)?),
        "service" => book.services.push(read_service(line)?),
        "upstream" => book.upstreams.push(read_upstream(line)?),
        other => {
            let cause = format!("unknown rule '{other}'{}", suggest(other, &RULE_KINDS));
            return Err(RuleError::new(line.number, kind.column, cause));
        }
    }
    Ok(())
}

fn read_data_centre(line: &RuleLine<'_>) -> Result<DataCentreRule> {
    let name = name_at(line, 1)?;
    let state = positional(line, 2, "state 'in' or 'out'")?;
    let value = match state.text {
        "in" => DataCentreState::In,
        "out" => DataCentreState::Out,
        other => {
            let cause = format!("state is '{other}', expected 'in' or 'out'");
            return Err(RuleError::new(line.number, state.column, cause));
        }
    };
    refuse_extra(line, 3, &[])?;
    let requester = line.requester.clone();
    Ok(DataCentreRule { name, state: value, requester, line: line.number })
}

fn read_service(line: &RuleLine<'_>) -> Result<ServiceRule> {
    let name = name_at(line, 1)?;
    let address = positional(line, 2, "address")?;
    let address = parse_value::<SocketAddrV4>(
        line,
        address,
        address.text,
        "an address like \
        203.0.113.10:443",
    )?;
    refuse_extra(line, 3, &["class", "tenant"])?;
    let class = required(line, "class")?;
    let class_value = match class.text {
        "flow" => ServiceClass::Flow,
        "request" => ServiceClass::Request,
        other => {
            let hint = suggest(other, &["flow", "request"]);
            let cause = format!("class is '{other}', expected 'flow' or 'request'{hint}");
            return Err(RuleError::new(line.number, class.column, cause));
        }
    };
    let tenant = required(line, "tenant")?;
    let tenant = checked_name(line, tenant)?;
    let requester = line.requester.clone();
    Ok(ServiceRule { name, address, class: class_value, tenant, requester, line: line.number })
}

fn read_upstream(line: &RuleLine<'_>) -> Result<UpstreamRule> {
    let name = name_at(line, 1)?;
    refuse_extra(line, 2, &["service", "at", "data-centre", "slots", "state"])?;
    let service = checked_name(line, required(line, "service")?)?;
    let at = required(line, "at")?;
    let address = parse_value::<Ipv4Addr>(line, at, at.text, "an IPv4 address")?;
    let data_centre = checked_name(line, required(line, "data-centre")?)?;
    let slots = required(line, "slots")?;
    let slots_value = parse_value::<u16>(line, slots, slots.text, "a number of slots")?;
    if slots_value == 0 {
        return Err(RuleError::new(line.number, slots.column, "slots must be at least 1"));
    }
    let state = match optional(line, "state") {
        Some(word) => upstream_state(line, word)?,
        None => UpstreamState::Serving,
    };
    let requester = line.requester.clone();
    Ok(UpstreamRule {
        name,
        service,
        address,
        data_centre,
        slots: slots_value,
        state,
        requester,
        line: line.number,
    })
}

fn upstream_state(line: &RuleLine<'_>, word: Word<'_>) -> Result<UpstreamState> {
    match word.text {
        "serving" => Ok(UpstreamState::Serving),
        "draining" => Ok(UpstreamState::Draining),
        "gone" => Ok(UpstreamState::Gone),
        other => {
            let hint = suggest(other, &["serving", "draining", "gone"]);
            let cause = format!("state is '{other}', expected serving, draining or gone{hint}");
            Err(RuleError::new(line.number, word.column, cause))
        }
    }
}

fn name_at(line: &RuleLine<'_>, index: usize) -> Result<String> {
    let word = positional(line, index, "name")?;
    checked_name(line, word)
}

fn checked_name(line: &RuleLine<'_>, word: Word<'_>) -> Result<String> {
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if word.text.is_empty() || !word.text.chars().all(valid) {
        let cause = format!("'{}' is no name: use letters, digits, '-', '_', '.'", word.text);
        return Err(RuleError::new(line.number, word.column, cause));
    }
    Ok(word.text.to_owned())
}

fn positional<'a>(line: &RuleLine<'a>, index: usize, what: &str) -> Result<Word<'a>> {
    match line.words.get(index) {
        Some(word) if !word.text.contains('=') => Ok(*word),
        Some(word) => {
            Err(RuleError::new(line.number, word.column, format!("expected the {what} here")))
        }
        None => Err(RuleError::new(line.number, line.end_column, format!("the {what} is missing"))),
    }
}

fn refuse_extra(line: &RuleLine<'_>, from: usize, keys: &[&str]) -> Result<()> {
    let mut seen: Vec<&str> = Vec::new();
    for word in line.words.iter().skip(from) {
        let Some((key, _)) = word.text.split_once('=') else {
            let cause = format!("unexpected word '{}'", word.text);
            return Err(RuleError::new(line.number, word.column, cause));
        };
        if !keys.contains(&key) {
            let cause = format!("unknown key '{key}'{}", suggest(key, keys));
            return Err(RuleError::new(line.number, word.column, cause));
        }
        if seen.contains(&key) {
            let cause = format!("key '{key}' is given twice");
            return Err(RuleError::new(line.number, word.column, cause));
        }
        seen.push(key);
    }
    Ok(())
}

fn optional<'a>(line: &RuleLine<'a>, key: &str) -> Option<Word<'a>> {
    line.words.iter().find_map(|word| {
        let (found, text) = word.text.split_once('=')?;
        let column = word.column + found.chars().count() + 1;
        (found == key).then_some(Word { text, column })
    })
}

fn required<'a>(line: &RuleLine<'a>, key: &str) -> Result<Word<'a>> {
    optional(line, key).ok_or_else(|| {
        RuleError::new(line.number, line.end_column, format!("key '{key}' is missing"))
    })
}

fn parse_value<T: FromStr>(
    line: &RuleLine<'_>,
    word: Word<'_>,
    text: &str,
    expected: &str,
) -> Result<T> {
    text.parse().map_err(|_parse_error| {
        let cause = format!("'{text}' is not {expected}");
        RuleError::new(line.number, word.column, cause)
    })
}

/// Returns `; did you mean '…'?` for the nearest candidate, or an empty text.
fn suggest(word: &str, candidates: &[&str]) -> String {
    match super::nearest_word(word, candidates.iter().copied()) {
        Some(candidate) => format!("; did you mean '{candidate}'?"),
        None => String::new(),
    }
}
