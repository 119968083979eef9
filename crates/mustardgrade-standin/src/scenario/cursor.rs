//! Tokens of one line of a scenario file.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardgrade_core::rule::nearest_word;
use winnow::Parser;
use winnow::ascii::{alpha0, float, space0};
use winnow::combinator::{repeat, separated};
use winnow::error::ContextError;
use winnow::token::take_while;

use super::errors::{Result, ScenarioError};

/// `Token` is a word of a line, with parameters substituted, and the column where it starts.
#[derive(Debug, Clone)]
pub(super) struct Token {
    pub(super) text: String,
    pub(super) column: usize,
}

/// `Cursor` reads the tokens of one line in order.
///
/// Its `expect_*` methods take a description of the token for the error message.
#[derive(Debug)]
pub(super) struct Cursor {
    pub(super) line_number: usize,
    pub(super) tokens: Vec<Token>,
    pub(super) next_index: usize,
    pub(super) end_column: usize,
}

impl Cursor {
    pub(super) fn new(
        line_number: usize,
        text: &str,
        parameters: &BTreeMap<String, String>,
    ) -> Result<Self> {
        let body = text.split('#').next().unwrap_or_default();
        let mut tokens = Vec::new();
        for (column, word) in split_words(body) {
            let text = substitute_parameters(line_number, column, word, parameters)?;
            tokens.push(Token { text, column });
        }
        let end_column = body.trim_end().chars().count() + 1;
        Ok(Self { line_number, tokens, next_index: 0, end_column })
    }

    pub(super) fn next_token(&mut self) -> Option<Token> {
        let token = self.tokens.get(self.next_index).cloned();
        self.next_index += usize::from(token.is_some());
        token
    }

    pub(super) fn expect_token(&mut self, description: &str) -> Result<Token> {
        let (line_number, end_column) = (self.line_number, self.end_column);
        self.next_token().ok_or_else(|| {
            ScenarioError::new(line_number, end_column, format!("{description} is missing"))
        })
    }

    pub(super) fn expect_keyword(&mut self, keyword: &str) -> Result<()> {
        let token = self.expect_token(&format!("'{keyword}'"))?;
        match token.text == keyword {
            true => Ok(()),
            false => {
                Err(self.error_at(&token, format!("expected '{keyword}' before '{}'", token.text)))
            }
        }
    }

    pub(super) fn expect_text(&mut self, description: &str) -> Result<String> {
        Ok(self.expect_token(description)?.text)
    }

    pub(super) fn expect_number<T: std::str::FromStr>(&mut self, description: &str) -> Result<T> {
        let token = self.expect_token(description)?;
        token.text.parse().map_err(|_cause| {
            self.error_at(&token, format!("'{}' is not a {description}", token.text))
        })
    }

    pub(super) fn expect_duration(&mut self, description: &str) -> Result<Duration> {
        let token = self.expect_token(description)?;
        parse_duration(&token.text).ok_or_else(|| {
            let message = format!("'{}' is not a time like 250ms, 10s or 1m+5s", token.text);
            self.error_at(&token, message)
        })
    }

    pub(super) fn expect_percentage(&mut self, description: &str) -> Result<f64> {
        let token = self.expect_token(description)?;
        let percentage = token.text.strip_suffix('%').and_then(|text| text.parse::<f64>().ok());
        match percentage {
            Some(percentage) if (0.0..=100.0).contains(&percentage) => Ok(percentage / 100.0),
            Some(_) | None => {
                Err(self.error_at(&token, format!("'{}' is not a share like 5%", token.text)))
            }
        }
    }

    pub(super) fn expect_rate_per_sec(&mut self, description: &str) -> Result<f64> {
        let token = self.expect_token(description)?;
        let rate = token.text.strip_suffix("/s").and_then(|text| text.parse::<f64>().ok());
        match rate {
            Some(rate) if rate >= 0.0 => Ok(rate),
            Some(_) | None => {
                Err(self.error_at(&token, format!("'{}' is not a rate like 100/s", token.text)))
            }
        }
    }

    pub(super) fn error_at(&self, token: &Token, message: String) -> ScenarioError {
        ScenarioError::new(self.line_number, token.column, message)
    }

    pub(super) fn expect_end(&mut self) -> Result<()> {
        match self.next_token() {
            None => Ok(()),
            Some(token) => Err(self.error_at(&token, format!("unexpected word '{}'", token.text))),
        }
    }
}

fn split_words(body: &str) -> Vec<(usize, &str)> {
    let word = take_while::<_, _, ContextError>(1.., |c: char| !c.is_whitespace());
    let blank = take_while(0.., char::is_whitespace);
    let mut rest = body;
    let found_words: Vec<&str> = repeat(0.., (space0, word, blank).map(|(_, word, _)| word))
        .parse_next(&mut rest)
        .unwrap_or_default();
    let column_of = |word: &str| {
        let offset = word.as_ptr() as usize - body.as_ptr() as usize;
        body[..offset].chars().count() + 1
    };
    found_words.into_iter().map(|word| (column_of(word), word)).collect()
}

/// Replaces every `$name` in a word with the value of that parameter.
fn substitute_parameters(
    line_number: usize,
    column: usize,
    word: &str,
    parameters: &BTreeMap<String, String>,
) -> Result<String> {
    let mut substituted = String::new();
    let mut rest = word;
    while let Some(dollar) = rest.find('$') {
        substituted.push_str(&rest[..dollar]);
        let after_dollar = &rest[dollar + 1..];
        let name_length = after_dollar
            .find(|c: char| !(c.is_ascii_alphanumeric() || c == '_'))
            .unwrap_or(after_dollar.len());
        let name = &after_dollar[..name_length];
        let Some(value) = parameters.get(name) else {
            let known_names = parameters.keys().map(String::as_str);
            return Err(ScenarioError::new(
                line_number,
                column,
                unknown_word_message("parameter", name, known_names),
            ));
        };
        substituted.push_str(value);
        rest = &after_dollar[name_length..];
    }
    substituted.push_str(rest);
    Ok(substituted)
}

/// Parses a duration: a sum of numbers with units, as in `1m+500ms`.
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
    let mut sum_of_terms = separated(1.., term, '+').map(|terms: Vec<Duration>| terms.iter().sum());
    sum_of_terms.parse(text).ok()
}

/// Returns the error message for an unknown word, with the most similar known word if there is one.
pub(super) fn unknown_word_message<'a>(
    kind: &str,
    word: &str,
    known_words: impl Iterator<Item = &'a str>,
) -> String {
    match nearest_word(word, known_words) {
        Some(nearest) => format!("unknown {kind} '{word}'; did you mean '{nearest}'?"),
        None => format!("unknown {kind} '{word}'"),
    }
}
