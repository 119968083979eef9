//! Parser of scenario files.

use std::collections::BTreeMap;

use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::placement::AssignMethod;
use mustardgrade_core::rule::{DataCentreState, ServiceClass};

use super::cursor::{Cursor, Token, unknown_word_message};

use super::errors::{Result, ScenarioError};
use super::machines::{parse_processors, parse_store_limits};
use super::model::{
    Comparison, DataCentreSpec, EventAction, FigureBound, Scenario, ServiceSpec, StoreFault,
    TimedEvent,
};

/// Keywords that start a statement, from which errors suggest the nearest.
const STATEMENT_KEYWORDS: [&str; 13] = [
    "title",
    "param",
    "data-centre",
    "service",
    "flows",
    "requests",
    "network",
    "option",
    "processors",
    "store",
    "run",
    "at",
    "bound",
];

/// Keywords of actions in `at` statements, from which errors suggest the nearest.
const ACTION_KEYWORDS: [&str; 19] = [
    "drain",
    "serve",
    "gone",
    "add-upstream",
    "kill",
    "stop",
    "replace",
    "start",
    "pause",
    "cut",
    "data-centre",
    "store",
    "restore-store",
    "turn-cold",
    "restart-upstream",
    "reuse-address",
    "kill-watchers",
    "power-loss",
    "manifest",
];

/// Names of options, from which errors suggest the nearest.
const OPTION_NAMES: [&str; 7] =
    ["placement", "method", "collect", "thread-lag", "echo", "fabric", "opening-timeout"];

/// `ParameterOverride` replaces the value that a scenario file gives to a parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParameterOverride {
    /// Name of the parameter.
    pub name: String,
    /// Value, in the syntax of the file.
    pub value: String,
}

/// Parses a scenario file; of several overrides of a parameter the last one applies.
///
/// # Errors
///
/// Returns the first error with its line and column: a syntax error, an override of an unknown
/// parameter, or a required statement that is missing.
pub fn parse_scenario(text: &str, overrides: &[ParameterOverride]) -> Result<Scenario> {
    let mut parameters: BTreeMap<String, String> = BTreeMap::new();
    let mut scenario = Scenario::default();
    for (index, line) in text.lines().enumerate() {
        let mut cursor = Cursor::new(index + 1, line, &parameters)?;
        let Some(keyword) = cursor.next_token() else { continue };
        if keyword.text == "param" {
            parse_parameter(&mut cursor, overrides, &mut parameters)?;
            continue;
        }
        parse_statement(&mut scenario, &keyword, &mut cursor)?;
        cursor.expect_end()?;
    }
    if let Some(unknown) = overrides.iter().find(|entry| !parameters.contains_key(&entry.name)) {
        let known_names = parameters.keys().map(String::as_str);
        let message = unknown_word_message("parameter", &unknown.name, known_names);
        return Err(ScenarioError::new(0, 1, message));
    }
    scenario.events.sort_by_key(|event| event.at);
    check_required_statements(&scenario, text.lines().count().max(1))?;
    Ok(scenario)
}

fn check_required_statements(scenario: &Scenario, last_line: usize) -> Result<()> {
    let missing_statement = match scenario {
        Scenario { data_centres, .. } if data_centres.is_empty() => "a 'data-centre' statement",
        Scenario { services, .. } if services.is_empty() => "a 'service' statement",
        Scenario { duration, .. } if duration.is_zero() => "a 'run' statement",
        _ => return Ok(()),
    };
    Err(ScenarioError::new(last_line, 1, format!("the scenario lacks {missing_statement}")))
}

fn parse_parameter(
    cursor: &mut Cursor,
    overrides: &[ParameterOverride],
    parameters: &mut BTreeMap<String, String>,
) -> Result<()> {
    let name = cursor.expect_text("name of the parameter")?;
    cursor.expect_keyword("=")?;
    let value = cursor.expect_text("value of the parameter")?;
    cursor.expect_end()?;
    let overriding_value =
        overrides.iter().rev().find(|entry| entry.name == name).map(|entry| entry.value.clone());
    parameters.insert(name, overriding_value.unwrap_or(value));
    Ok(())
}

fn parse_statement(scenario: &mut Scenario, keyword: &Token, cursor: &mut Cursor) -> Result<()> {
    match keyword.text.as_str() {
        "title" => {
            let words: Vec<String> =
                std::iter::from_fn(|| cursor.next_token()).map(|token| token.text).collect();
            scenario.title = words.join(" ");
        }
        "data-centre" => {
            let name = cursor.expect_text("name of the data centre")?;
            cursor.expect_keyword("hosts")?;
            let host_count = cursor.expect_number("number of hosts")?;
            scenario.data_centres.push(DataCentreSpec { name, host_count });
        }
        "service" => scenario.services.push(parse_service(cursor)?),
        "flows" => parse_flows(scenario, cursor)?,
        "requests" => parse_requests(scenario, cursor)?,
        "network" => parse_network(scenario, cursor)?,
        "option" => parse_option(scenario, cursor)?,
        "processors" => scenario.processors = Some(parse_processors(cursor)?),
        "store" => scenario.store_limits = Some(parse_store_limits(cursor)?),
        "run" => {
            scenario.duration = cursor.expect_duration("length")?;
            if let Some(token) = cursor.next_token() {
                if token.text != "warm-up" {
                    return Err(cursor.error_at(&token, "expected 'warm-up'".to_owned()));
                }
                scenario.warm_up_duration = cursor.expect_duration("warm-up")?;
            }
        }
        "at" => {
            let at = cursor.expect_duration("time")?;
            let action = parse_action(cursor)?;
            scenario.events.push(TimedEvent { at, action });
        }
        "bound" => scenario.bounds.push(parse_bound(cursor)?),
        other => {
            let message = unknown_word_message("statement", other, STATEMENT_KEYWORDS.into_iter());
            return Err(cursor.error_at(keyword, message));
        }
    }
    Ok(())
}

fn parse_service(cursor: &mut Cursor) -> Result<ServiceSpec> {
    let name = cursor.expect_text("name of the service")?;
    let class_token = cursor.expect_token("class of the service")?;
    let class = match class_token.text.as_str() {
        "flow" => ServiceClass::Flow,
        "request" => ServiceClass::Request,
        other => {
            let message = format!("class is '{other}', expected 'flow' or 'request'");
            return Err(cursor.error_at(&class_token, message));
        }
    };
    cursor.expect_keyword("upstreams")?;
    let upstream_count = cursor.expect_number("number of upstreams")?;
    cursor.expect_keyword("slots")?;
    let slots_per_upstream = cursor.expect_number("number of slots")?;
    Ok(ServiceSpec { name, class, upstream_count, slots_per_upstream })
}

fn parse_flows(scenario: &mut Scenario, cursor: &mut Cursor) -> Result<()> {
    let load = &mut scenario.flow_load;
    load.held_flows = cursor.expect_number("number of flows")?;
    cursor.expect_keyword("every")?;
    load.mean_packet_interval = cursor.expect_duration("time between packets")?;
    if let Some(token) = cursor.next_token() {
        if token.text != "opening" {
            return Err(cursor.error_at(&token, "expected 'opening'".to_owned()));
        }
        load.new_flows_per_sec = cursor.expect_rate_per_sec("rate of new flows")? as u64;
        cursor.expect_keyword("life")?;
        load.mean_new_flow_lifetime = cursor.expect_duration("life of a new flow")?;
    }
    Ok(())
}

fn parse_requests(scenario: &mut Scenario, cursor: &mut Cursor) -> Result<()> {
    let load = &mut scenario.request_load;
    load.requests_per_sec = cursor.expect_rate_per_sec("rate of requests")?;
    cursor.expect_keyword("service-time")?;
    load.mean_service_time = cursor.expect_duration("service time")?;
    cursor.expect_keyword("once")?;
    load.non_idempotent_ratio = cursor.expect_percentage("share of non-idempotent requests")?;
    cursor.expect_keyword("patience")?;
    load.caller_timeout = cursor.expect_duration("patience of callers")?;
    Ok(())
}

fn parse_network(scenario: &mut Scenario, cursor: &mut Cursor) -> Result<()> {
    let network = &mut scenario.network;
    cursor.expect_keyword("delay")?;
    network.min_delay = cursor.expect_duration("shortest delay")?;
    network.max_delay = cursor.expect_duration("longest delay")?;
    while let Some(token) = cursor.next_token() {
        match token.text.as_str() {
            "loss" => network.loss_ratio = cursor.expect_percentage("share of lost datagrams")?,
            "copy" => {
                network.duplicate_ratio = cursor.expect_percentage("share of copied datagrams")?
            }
            other => {
                let message = unknown_word_message("word", other, ["loss", "copy"].into_iter());
                return Err(cursor.error_at(&token, message));
            }
        }
    }
    if network.min_delay > network.max_delay {
        let message = "the shortest delay is longer than the longest";
        return Err(ScenarioError::new(cursor.line_number, 1, message));
    }
    Ok(())
}

fn parse_option(scenario: &mut Scenario, cursor: &mut Cursor) -> Result<()> {
    let option_token = cursor.expect_token("name of the option")?;
    let options = &mut scenario.options;
    match option_token.text.as_str() {
        "placement" => {
            let value_token = cursor.expect_token("placement")?;
            options.uses_cookies = value_token.text == "cookie";
            options.placement_mode = match value_token.text.as_str() {
                "guarded" | "cookie" => PlacementMode::Guarded,
                "computed" => PlacementMode::Computed,
                other => {
                    let message =
                        format!("placement is '{other}', expected guarded, computed or cookie");
                    return Err(cursor.error_at(&value_token, message));
                }
            };
        }
        "method" => {
            let value_token = cursor.expect_token("method")?;
            options.assign_method = match value_token.text.as_str() {
                "bounded" => AssignMethod::Bounded,
                "rendezvous" => AssignMethod::Rendezvous,
                "maglev" => AssignMethod::Maglev,
                other => {
                    let message = unknown_word_message(
                        "method",
                        other,
                        ["bounded", "rendezvous", "maglev"].into_iter(),
                    );
                    return Err(cursor.error_at(&value_token, message));
                }
            };
        }
        "fabric" => {
            let value_token = cursor.expect_token("'hash' or 'spray'")?;
            options.fabric_sprays = match value_token.text.as_str() {
                "hash" => false,
                "spray" => true,
                other => {
                    let message = format!("fabric is '{other}', expected hash or spray");
                    return Err(cursor.error_at(&value_token, message));
                }
            };
        }
        "collect" => options.collecting_duration = cursor.expect_duration("collecting time")?,
        "opening-timeout" => {
            options.opening_timeout = Some(cursor.expect_duration("timeout")?);
        }
        "thread-lag" => options.max_thread_lag = cursor.expect_duration("thread lag")?,
        "echo" => {
            let value_token = cursor.expect_token("'on' or 'off'")?;
            options.wait_for_acknowledgement = match value_token.text.as_str() {
                "on" => true,
                "off" => false,
                other => {
                    let message = format!("echo is '{other}', expected on or off");
                    return Err(cursor.error_at(&value_token, message));
                }
            };
        }
        other => {
            let known_options = OPTION_NAMES.into_iter();
            return Err(cursor
                .error_at(&option_token, unknown_word_message("option", other, known_options)));
        }
    }
    Ok(())
}

fn parse_action(cursor: &mut Cursor) -> Result<EventAction> {
    let action_token = cursor.expect_token("action")?;
    Ok(match action_token.text.as_str() {
        "drain" => EventAction::DrainUpstream(cursor.expect_text("name of the upstream")?),
        "serve" => EventAction::ServeUpstream(cursor.expect_text("name of the upstream")?),
        "gone" => EventAction::RemoveUpstream(cursor.expect_text("name of the upstream")?),
        "add-upstream" => EventAction::AddUpstream {
            service: cursor.expect_text("name of the service")?,
            upstream: cursor.expect_text("name of the upstream")?,
        },
        "kill" => EventAction::KillHost(cursor.expect_text("name of the host")?),
        "stop" => EventAction::StopHost(cursor.expect_text("name of the host")?),
        "replace" => EventAction::ReplaceHost(cursor.expect_text("name of the host")?),
        "start" => EventAction::StartHost {
            host: cursor.expect_text("name of the host")?,
            data_centre: cursor.expect_text("name of the data centre")?,
        },
        "pause" => EventAction::PauseHost {
            host: cursor.expect_text("name of the host")?,
            duration: cursor.expect_duration("length of the pause")?,
        },
        "cut" => EventAction::IsolateDataCentre {
            data_centre: cursor.expect_text("name of the data centre")?,
            duration: cursor.expect_duration("length of the cut")?,
        },
        "data-centre" => EventAction::SetDataCentreState {
            data_centre: cursor.expect_text("name of the data centre")?,
            state: parse_data_centre_state(cursor)?,
        },
        "store" => EventAction::InjectStoreFault {
            fault: parse_store_fault(cursor)?,
            duration: cursor.expect_duration("length of the fault")?,
        },
        "restore-store" => EventAction::RestoreStore {
            copy_age: cursor.expect_duration("age of the copy")?,
            downtime: cursor.expect_duration("time without the store")?,
        },
        "turn-cold" => EventAction::TurnUpstreamCold(cursor.expect_text("name of the upstream")?),
        "reuse-address" => EventAction::ReuseUpstreamAddress {
            upstream: cursor.expect_text("name of the upstream")?,
            service: cursor.expect_text("name of the service")?,
        },
        "kill-watchers" => EventAction::KillWatchingHosts,
        "power-loss" => EventAction::PowerLoss(cursor.expect_duration("time without power")?),
        "manifest" => EventAction::PublishManifest,
        "restart-upstream" => {
            EventAction::RestartUpstream(cursor.expect_text("name of the upstream")?)
        }
        other => {
            let message = unknown_word_message("action", other, ACTION_KEYWORDS.into_iter());
            return Err(cursor.error_at(&action_token, message));
        }
    })
}

fn parse_data_centre_state(cursor: &mut Cursor) -> Result<DataCentreState> {
    let state_token = cursor.expect_token("'in' or 'out'")?;
    match state_token.text.as_str() {
        "in" => Ok(DataCentreState::In),
        "out" => Ok(DataCentreState::Out),
        other => {
            Err(cursor.error_at(&state_token, format!("state is '{other}', expected in or out")))
        }
    }
}

fn parse_store_fault(cursor: &mut Cursor) -> Result<StoreFault> {
    let fault_token = cursor.expect_token("fault of the store")?;
    match fault_token.text.as_str() {
        "down" => Ok(StoreFault::Down),
        "slow" => Ok(StoreFault::Slow),
        "lost-answer" => Ok(StoreFault::LostAnswer),
        other => {
            let known_faults = ["down", "slow", "lost-answer"].into_iter();
            Err(cursor.error_at(&fault_token, unknown_word_message("fault", other, known_faults)))
        }
    }
}

fn parse_bound(cursor: &mut Cursor) -> Result<FigureBound> {
    let figure_name = cursor.expect_text("name of the figure")?;
    let comparison_token = cursor.expect_token("'<=' or '>='")?;
    let comparison = match comparison_token.text.as_str() {
        "<=" => Comparison::AtMost,
        ">=" => Comparison::AtLeast,
        other => {
            let message = format!("comparison is '{other}', expected <= or >=");
            return Err(cursor.error_at(&comparison_token, message));
        }
    };
    let limit = cursor.expect_number("number")?;
    Ok(FigureBound { figure_name, comparison, limit })
}
