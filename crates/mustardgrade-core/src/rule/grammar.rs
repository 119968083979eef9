//! Parser of the rules file.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use winnow::Parser;
use winnow::ascii::space0;
use winnow::combinator::repeat;
use winnow::token::take_while;

use super::errors::{Result, RuleError};
use super::model::{
    DataCentreRule, DataCentreState, RuleComment, RuleSet, ServiceClass, ServiceRule, UpstreamRule,
    UpstreamState,
};

/// Maximum length of a rule in bytes; longer lines are rejected before they are split into tokens.
pub(super) const MAX_LINE_BYTES: usize = 1_024;

/// Rule kinds that may be suggested for an unknown one.
const RULE_KINDS: [&str; 3] = ["data-centre", "service", "upstream"];

/// `Token` is a token of a line, delimited by white space, and the column at which it starts.
#[derive(Debug, Clone, Copy)]
struct Token<'a> {
    text: &'a str,
    column: usize,
}

/// `RuleLine` is a line split into tokens, and its comment.
#[derive(Debug)]
struct RuleLine<'a> {
    line_number: usize,
    tokens: Vec<Token<'a>>,
    end_column: usize,
    comment: RuleComment,
}

/// Parses the text of a rules file.
///
/// Blank lines and lines that hold only a comment are skipped.
///
/// # Errors
///
/// Returns the first error with its line and column: an unknown rule or key, an invalid value, a
/// missing key, a rule without the comment that names who requested it, or a failed whole-file
/// check.
pub fn parse_rules(text: &str) -> Result<RuleSet> {
    let mut rule_set = RuleSet::default();
    for (index, line) in text.lines().enumerate() {
        if let Some(line) = tokenize_line(index + 1, line)? {
            parse_rule(&mut rule_set, &line)?;
        }
    }
    super::check_rules(&rule_set)?;
    Ok(rule_set)
}

fn tokenize_line(line_number: usize, line: &str) -> Result<Option<RuleLine<'_>>> {
    if line.len() > MAX_LINE_BYTES {
        let cause = format!("rule is longer than {MAX_LINE_BYTES} bytes");
        return Err(RuleError::new(line_number, 1, cause));
    }
    let (body, comment) = line.split_once('#').unwrap_or((line, ""));
    let tokens = tokenize(body);
    if tokens.is_empty() {
        return Ok(None);
    }
    let end_column = body.trim_end().chars().count() + 1;
    let comment = comment.trim();
    if comment.is_empty() {
        let cause = "rule lacks the comment that names who asked for it";
        return Err(RuleError::new(line_number, end_column, cause));
    }
    let comment = RuleComment(comment.to_owned());
    Ok(Some(RuleLine { line_number, tokens, end_column, comment }))
}

fn tokenize(body: &str) -> Vec<Token<'_>> {
    let token = take_while::<_, _, winnow::error::ContextError>(1.., |c: char| !c.is_whitespace());
    let trailing_space = take_while(0.., char::is_whitespace);
    let mut remaining = body;
    let tokens: Vec<&str> = repeat(0.., (space0, token, trailing_space).map(|(_, token, _)| token))
        .parse_next(&mut remaining)
        .unwrap_or_default();
    tokens
        .into_iter()
        .map(|text| {
            let offset = text.as_ptr() as usize - body.as_ptr() as usize;
            Token { text, column: body[..offset].chars().count() + 1 }
        })
        .collect()
}

fn parse_rule(rule_set: &mut RuleSet, line: &RuleLine<'_>) -> Result<()> {
    let kind = line.tokens[0];
    match kind.text {
        "data-centre" => rule_set.data_centres.push(parse_data_centre(line)?),
        "service" => rule_set.services.push(parse_service(line)?),
        "upstream" => rule_set.upstreams.push(parse_upstream(line)?),
        unknown => {
            let cause =
                format!("unknown rule '{unknown}'{}", suggestion_suffix(unknown, &RULE_KINDS));
            return Err(RuleError::new(line.line_number, kind.column, cause));
        }
    }
    Ok(())
}

fn parse_data_centre(line: &RuleLine<'_>) -> Result<DataCentreRule> {
    let name = name_argument(line, 1)?;
    let state = positional_argument(line, 2, "state 'in' or 'out'")?;
    let state_value = match state.text {
        "in" => DataCentreState::In,
        "out" => DataCentreState::Out,
        unknown => {
            let cause = format!("state is '{unknown}', expected 'in' or 'out'");
            return Err(RuleError::new(line.line_number, state.column, cause));
        }
    };
    check_keys(line, 3, &[])?;
    let comment = line.comment.clone();
    Ok(DataCentreRule { name, state: state_value, comment, line: line.line_number })
}

fn parse_service(line: &RuleLine<'_>) -> Result<ServiceRule> {
    let name = name_argument(line, 1)?;
    let address = positional_argument(line, 2, "address")?;
    let address = parse_value::<SocketAddrV4>(
        line,
        address,
        address.text,
        "an address like \
        203.0.113.10:443",
    )?;
    check_keys(line, 3, &["class", "tenant"])?;
    let class = required_value(line, "class")?;
    let class_value = match class.text {
        "flow" => ServiceClass::Flow,
        "request" => ServiceClass::Request,
        unknown => {
            let suggestion = suggestion_suffix(unknown, &["flow", "request"]);
            let cause = format!("class is '{unknown}', expected 'flow' or 'request'{suggestion}");
            return Err(RuleError::new(line.line_number, class.column, cause));
        }
    };
    let customer = required_value(line, "tenant")?;
    let customer = parse_name(line, customer)?;
    let comment = line.comment.clone();
    Ok(ServiceRule { name, address, class: class_value, customer, comment, line: line.line_number })
}

fn parse_upstream(line: &RuleLine<'_>) -> Result<UpstreamRule> {
    let name = name_argument(line, 1)?;
    check_keys(line, 2, &["service", "at", "data-centre", "slots", "state"])?;
    let service = parse_name(line, required_value(line, "service")?)?;
    let at = required_value(line, "at")?;
    let address = parse_value::<Ipv4Addr>(line, at, at.text, "an IPv4 address")?;
    let data_centre = parse_name(line, required_value(line, "data-centre")?)?;
    let slots = required_value(line, "slots")?;
    let slots_value = parse_value::<u16>(line, slots, slots.text, "a number of slots")?;
    if slots_value == 0 {
        return Err(RuleError::new(line.line_number, slots.column, "slots must be at least 1"));
    }
    let state = match optional_value(line, "state") {
        Some(token) => parse_upstream_state(line, token)?,
        None => UpstreamState::Serving,
    };
    let comment = line.comment.clone();
    Ok(UpstreamRule {
        name,
        service,
        address,
        data_centre,
        slots: slots_value,
        state,
        comment,
        line: line.line_number,
    })
}

fn parse_upstream_state(line: &RuleLine<'_>, token: Token<'_>) -> Result<UpstreamState> {
    match token.text {
        "serving" => Ok(UpstreamState::Serving),
        "draining" => Ok(UpstreamState::Draining),
        "gone" => Ok(UpstreamState::Gone),
        unknown => {
            let suggestion = suggestion_suffix(unknown, &["serving", "draining", "gone"]);
            let cause = format!(
                "state is '{unknown}', expected 'serving', 'draining' or 'gone'{suggestion}"
            );
            Err(RuleError::new(line.line_number, token.column, cause))
        }
    }
}

fn name_argument(line: &RuleLine<'_>, index: usize) -> Result<String> {
    let token = positional_argument(line, index, "name")?;
    parse_name(line, token)
}

fn parse_name(line: &RuleLine<'_>, token: Token<'_>) -> Result<String> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if token.text.is_empty() || !token.text.chars().all(is_name_char) {
        let cause =
            format!("'{}' is not a valid name: use letters, digits, '-', '_' and '.'", token.text);
        return Err(RuleError::new(line.line_number, token.column, cause));
    }
    Ok(token.text.to_owned())
}

fn positional_argument<'a>(line: &RuleLine<'a>, index: usize, expected: &str) -> Result<Token<'a>> {
    match line.tokens.get(index) {
        Some(token) if !token.text.contains('=') => Ok(*token),
        Some(token) => Err(RuleError::new(
            line.line_number,
            token.column,
            format!("expected the {expected} here"),
        )),
        None => Err(RuleError::new(
            line.line_number,
            line.end_column,
            format!("the {expected} is missing"),
        )),
    }
}

fn check_keys(line: &RuleLine<'_>, first: usize, keys: &[&str]) -> Result<()> {
    let mut seen: Vec<&str> = Vec::new();
    for token in line.tokens.iter().skip(first) {
        let Some((key, _)) = token.text.split_once('=') else {
            let cause = format!("unexpected word '{}'", token.text);
            return Err(RuleError::new(line.line_number, token.column, cause));
        };
        if !keys.contains(&key) {
            let cause = format!("unknown key '{key}'{}", suggestion_suffix(key, keys));
            return Err(RuleError::new(line.line_number, token.column, cause));
        }
        if seen.contains(&key) {
            let cause = format!("key '{key}' is given twice");
            return Err(RuleError::new(line.line_number, token.column, cause));
        }
        seen.push(key);
    }
    Ok(())
}

fn optional_value<'a>(line: &RuleLine<'a>, key: &str) -> Option<Token<'a>> {
    line.tokens.iter().find_map(|token| {
        let (found_key, text) = token.text.split_once('=')?;
        let column = token.column + found_key.chars().count() + 1;
        (found_key == key).then_some(Token { text, column })
    })
}

fn required_value<'a>(line: &RuleLine<'a>, key: &str) -> Result<Token<'a>> {
    optional_value(line, key).ok_or_else(|| {
        RuleError::new(line.line_number, line.end_column, format!("key '{key}' is missing"))
    })
}

fn parse_value<T: FromStr>(
    line: &RuleLine<'_>,
    token: Token<'_>,
    text: &str,
    expected: &str,
) -> Result<T> {
    text.parse().map_err(|_parse_error| {
        let cause = format!("'{text}' is not {expected}");
        RuleError::new(line.line_number, token.column, cause)
    })
}

/// Returns `; did you mean '…'?` for the nearest candidate, or an empty string.
fn suggestion_suffix(word: &str, candidates: &[&str]) -> String {
    match super::nearest_word(word, candidates.iter().copied()) {
        Some(candidate) => format!("; did you mean '{candidate}'?"),
        None => String::new(),
    }
}
