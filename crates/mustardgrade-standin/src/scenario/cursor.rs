//! Words of one line of a scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardgrade_core::rule::nearest_word;
use winnow::Parser;
use winnow::ascii::{alpha0, float, space0};
use winnow::combinator::{repeat, separated};
use winnow::error::ContextError;
use winnow::token::take_while;

use super::errors::{Result, ScenarioError};

/// `Token` is a word of a line after parameters are filled in.
#[derive(Debug, Clone)]
pub(super) struct Token {
    pub(super) text: String,
    pub(super) column: usize,
}

/// `Cursor` walks over the words of one line.
#[derive(Debug)]
pub(super) struct Cursor {
    pub(super) line: usize,
    pub(super) tokens: Vec<Token>,
    pub(super) next: usize,
    pub(super) end: usize,
}

impl Cursor {
    pub(super) fn new(
        line: usize,
        text: &str,
        parameters: &BTreeMap<String, String>,
    ) -> Result<Self> {
        let body = text.split('#').next().unwrap_or_default();
        let mut tokens = Vec::new();
        for (column, word) in words(body) {
            let text = fill_in(line, column, word, parameters)?;
            tokens.push(Token { text, column });
        }
        let end = body.trim_end().chars().count() + 1;
        Ok(Self { line, tokens, next: 0, end })
    }

    pub(super) fn advance(&mut self) -> Option<Token> {
        let token = self.tokens.get(self.next).cloned();
        self.next += usize::from(token.is_some());
        token
    }

    pub(super) fn expect(&mut self, what: &str) -> Result<Token> {
        let (line, end) = (self.line, self.end);
        self.advance().ok_or_else(|| ScenarioError::new(line, end, format!("{what} is missing")))
    }

    pub(super) fn expect_word(&mut self, word: &str) -> Result<()> {
        let token = self.expect(&format!("'{word}'"))?;
        match token.text == word {
            true => Ok(()),
            false => Err(self.error(&token, format!("expected '{word}' before '{}'", token.text))),
        }
    }

    pub(super) fn name(&mut self, what: &str) -> Result<String> {
        Ok(self.expect(what)?.text)
    }

    pub(super) fn number<T: std::str::FromStr>(&mut self, what: &str) -> Result<T> {
        let token = self.expect(what)?;
        token
            .text
            .parse()
            .map_err(|_cause| self.error(&token, format!("'{}' is not a {what}", token.text)))
    }

    pub(super) fn duration(&mut self, what: &str) -> Result<Duration> {
        let token = self.expect(what)?;
        parse_duration(&token.text).ok_or_else(|| {
            let cause = format!("'{}' is not a time like 250ms, 10s or 1m+5s", token.text);
            self.error(&token, cause)
        })
    }

    pub(super) fn percent(&mut self, what: &str) -> Result<f64> {
        let token = self.expect(what)?;
        let value = token.text.strip_suffix('%').and_then(|text| text.parse::<f64>().ok());
        match value {
            Some(value) if (0.0..=100.0).contains(&value) => Ok(value / 100.0),
            Some(_) | None => {
                Err(self.error(&token, format!("'{}' is not a share like 5%", token.text)))
            }
        }
    }

    pub(super) fn rate(&mut self, what: &str) -> Result<f64> {
        let token = self.expect(what)?;
        let value = token.text.strip_suffix("/s").and_then(|text| text.parse::<f64>().ok());
        match value {
            Some(value) if value >= 0.0 => Ok(value),
            Some(_) | None => {
                Err(self.error(&token, format!("'{}' is not a rate like 100/s", token.text)))
            }
        }
    }

    pub(super) fn error(&self, token: &Token, cause: String) -> ScenarioError {
        ScenarioError::new(self.line, token.column, cause)
    }

    pub(super) fn finish(&mut self) -> Result<()> {
        match self.advance() {
            None => Ok(()),
            Some(token) => Err(self.error(&token, format!("unexpected word '{}'", token.text))),
        }
    }
}

fn words(body: &str) -> Vec<(usize, &str)> {
    let word = take_while::<_, _, ContextError>(1.., |c: char| !c.is_whitespace());
    let blank = take_while(0.., char::is_whitespace);
    let mut rest = body;
    let found: Vec<&str> = repeat(0.., (space0, word, blank).map(|(_, word, _)| word))
        .parse_next(&mut rest)
        .unwrap_or_default();
    let column = |word: &str| {
        let offset = word.as_ptr() as usize - body.as_ptr() as usize;
        body[..offset].chars().count() + 1
    };
    found.into_iter().map(|word| (column(word), word)).collect()
}

/// Replaces every `$name` of a word by the parameter's value.
fn fill_in(
    line: usize,
    column: usize,
    word: &str,
    parameters: &BTreeMap<String, String>,
) -> Result<String> {
    let mut filled = String::new();
    let mut rest = word;
    while let Some(at) = rest.find('$') {
        filled.push_str(&rest[..at]);
        let after = &rest[at + 1..];
        let length =
            after.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).unwrap_or(after.len());
        let name = &after[..length];
        let Some(value) = parameters.get(name) else {
            let known = parameters.keys().map(String::as_str);
            return Err(ScenarioError::new(line, column, unknown_word("parameter", name, known)));
        };
        filled.push_str(value);
        rest = &after[length..];
    }
    filled.push_str(rest);
    Ok(filled)
}

/// Reads a time: sums of numbers with a unit, as in `1m+500ms`.
fn parse_duration(text: &str) -> Option<Duration> {
    let term = (float::<_, f64, ContextError>, alpha0).verify_map(|(value, unit): (f64, &str)| {
        let seconds = match unit {
            "ms" => value / 1_000.0,
            "s" => value,
            "m" => value * 60.0,
            "h" => value * 3_600.0,
            _ => return None,
        };
        Duration::try_from_secs_f64(seconds).ok()
    });
    let mut sum = separated(1.., term, '+').map(|terms: Vec<Duration>| terms.iter().sum());
    sum.parse(text).ok()
}

/// Says that a word is unknown, and names the nearest known one.
pub(super) fn unknown_word<'a>(
    kind: &str,
    word: &str,
    known: impl Iterator<Item = &'a str>,
) -> String {
    match nearest_word(word, known) {
        Some(near) => format!("unknown {kind} '{word}'; did you mean '{near}'?"),
        None => format!("unknown {kind} '{word}'"),
    }
}
