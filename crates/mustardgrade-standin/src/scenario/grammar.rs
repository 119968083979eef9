//! Grammar of scenario files.

use std::collections::BTreeMap;

use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::placement::AssignMethod;
use mustardgrade_core::rule::{DataCentreState, ServiceClass};

use super::cursor::{Cursor, Token, unknown_word};

use super::errors::{Result, ScenarioError};
use super::model::{
    BoundRule, Comparison, DataCentreSpec, EventAction, Scenario, ServiceSpec, StoreFault,
    TimedEvent,
};

/// Statements, for suggestions.
const STATEMENTS: [&str; 11] = [
    "title",
    "param",
    "data-centre",
    "service",
    "flows",
    "requests",
    "network",
    "option",
    "run",
    "at",
    "bound",
];

/// Actions, for suggestions.
const ACTIONS: [&str; 18] = [
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
    "turn-cold",
    "restart-upstream",
    "reuse-address",
    "kill-watchers",
    "power-loss",
    "manifest",
];

/// `Override` replaces a parameter of a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Override {
    /// Name of the parameter.
    pub name: String,
    /// Its value, as it would stand in the file.
    pub value: String,
}

/// Reads a scenario; `overrides` replace its parameters.
///
/// # Errors
///
/// Returns the first fault with its line and column.
pub fn parse_scenario(text: &str, overrides: &[Override]) -> Result<Scenario> {
    let mut parameters: BTreeMap<String, String> = BTreeMap::new();
    let mut scenario = Scenario::default();
    for (index, line) in text.lines().enumerate() {
        let mut cursor = Cursor::new(index + 1, line, &parameters)?;
        let Some(statement) = cursor.advance() else { continue };
        if statement.text == "param" {
            read_parameter(&mut cursor, overrides, &mut parameters)?;
            continue;
        }
        read_statement(&mut scenario, &statement, &mut cursor)?;
        cursor.finish()?;
    }
    if let Some(unknown) = overrides.iter().find(|o| !parameters.contains_key(&o.name)) {
        let known = parameters.keys().map(String::as_str);
        let cause = unknown_word("parameter", &unknown.name, known);
        return Err(ScenarioError::new(0, 1, cause));
    }
    scenario.events.sort_by_key(|event| event.at);
    check(&scenario, text.lines().count().max(1))?;
    Ok(scenario)
}

fn check(scenario: &Scenario, last_line: usize) -> Result<()> {
    let missing = match scenario {
        Scenario { data_centres, .. } if data_centres.is_empty() => "a 'data-centre' statement",
        Scenario { services, .. } if services.is_empty() => "a 'service' statement",
        Scenario { length, .. } if length.is_zero() => "a 'run' statement",
        _ => return Ok(()),
    };
    Err(ScenarioError::new(last_line, 1, format!("the scenario lacks {missing}")))
}

fn read_parameter(
    cursor: &mut Cursor,
    overrides: &[Override],
    parameters: &mut BTreeMap<String, String>,
) -> Result<()> {
    let name = cursor.name("name of the parameter")?;
    cursor.expect_word("=")?;
    let value = cursor.name("value of the parameter")?;
    cursor.finish()?;
    let replaced = overrides.iter().rev().find(|o| o.name == name).map(|o| o.value.clone());
    parameters.insert(name, replaced.unwrap_or(value));
    Ok(())
}

fn read_statement(scenario: &mut Scenario, statement: &Token, cursor: &mut Cursor) -> Result<()> {
    match statement.text.as_str() {
        "title" => {
            let rest: Vec<String> =
                std::iter::from_fn(|| cursor.advance()).map(|token| token.text).collect();
            scenario.title = rest.join(" ");
        }
        "data-centre" => {
            let name = cursor.name("name of the data centre")?;
            cursor.expect_word("hosts")?;
            let hosts = cursor.number("number of hosts")?;
            scenario.data_centres.push(DataCentreSpec { name, hosts });
        }
        "service" => scenario.services.push(read_service(cursor)?),
        "flows" => read_flows(scenario, cursor)?,
        "requests" => read_requests(scenario, cursor)?,
        "network" => read_network(scenario, cursor)?,
        "option" => read_option(scenario, cursor)?,
        "run" => {
            scenario.length = cursor.duration("length")?;
            if let Some(token) = cursor.advance() {
                if token.text != "warm-up" {
                    return Err(cursor.error(&token, "expected 'warm-up'".to_owned()));
                }
                scenario.warm_up = cursor.duration("warm-up")?;
            }
        }
        "at" => {
            let at = cursor.duration("time")?;
            let action = read_action(cursor)?;
            scenario.events.push(TimedEvent { at, action });
        }
        "bound" => scenario.bounds.push(read_bound(cursor)?),
        other => {
            let cause = unknown_word("statement", other, STATEMENTS.into_iter());
            return Err(cursor.error(statement, cause));
        }
    }
    Ok(())
}

fn read_service(cursor: &mut Cursor) -> Result<ServiceSpec> {
    let name = cursor.name("name of the service")?;
    let class = cursor.expect("class of the service")?;
    let class_value = match class.text.as_str() {
        "flow" => ServiceClass::Flow,
        "request" => ServiceClass::Request,
        other => {
            let cause = format!("class is '{other}', expected 'flow' or 'request'");
            return Err(cursor.error(&class, cause));
        }
    };
    cursor.expect_word("upstreams")?;
    let upstreams = cursor.number("number of upstreams")?;
    cursor.expect_word("slots")?;
    let slots = cursor.number("number of slots")?;
    Ok(ServiceSpec { name, class: class_value, upstreams, slots })
}

fn read_flows(scenario: &mut Scenario, cursor: &mut Cursor) -> Result<()> {
    let flows = &mut scenario.flows;
    flows.held = cursor.number("number of flows")?;
    cursor.expect_word("every")?;
    flows.every = cursor.duration("time between packets")?;
    if let Some(token) = cursor.advance() {
        if token.text != "opening" {
            return Err(cursor.error(&token, "expected 'opening'".to_owned()));
        }
        flows.opening = cursor.rate("rate of new flows")? as u64;
        cursor.expect_word("life")?;
        flows.life = cursor.duration("life of a new flow")?;
    }
    Ok(())
}

fn read_requests(scenario: &mut Scenario, cursor: &mut Cursor) -> Result<()> {
    let requests = &mut scenario.requests;
    requests.rate = cursor.rate("rate of requests")?;
    cursor.expect_word("service-time")?;
    requests.service_time = cursor.duration("service time")?;
    cursor.expect_word("once")?;
    requests.once = cursor.percent("share of non-idempotent requests")?;
    cursor.expect_word("patience")?;
    requests.patience = cursor.duration("patience of callers")?;
    Ok(())
}

fn read_network(scenario: &mut Scenario, cursor: &mut Cursor) -> Result<()> {
    let network = &mut scenario.network;
    cursor.expect_word("delay")?;
    network.delay_min = cursor.duration("shortest delay")?;
    network.delay_max = cursor.duration("longest delay")?;
    while let Some(token) = cursor.advance() {
        match token.text.as_str() {
            "loss" => network.loss = cursor.percent("share of lost datagrams")?,
            "copy" => network.copy = cursor.percent("share of copied datagrams")?,
            other => {
                let cause = unknown_word("word", other, ["loss", "copy"].into_iter());
                return Err(cursor.error(&token, cause));
            }
        }
    }
    if network.delay_min > network.delay_max {
        let cause = "the shortest delay is longer than the longest";
        return Err(ScenarioError::new(cursor.line, 1, cause));
    }
    Ok(())
}

fn read_option(scenario: &mut Scenario, cursor: &mut Cursor) -> Result<()> {
    let option = cursor.expect("name of the option")?;
    let options = &mut scenario.options;
    match option.text.as_str() {
        "placement" => {
            let value = cursor.expect("placement")?;
            options.cookie = value.text == "cookie";
            options.placement = match value.text.as_str() {
                "guarded" | "cookie" => PlacementMode::Guarded,
                "computed" => PlacementMode::Computed,
                other => {
                    let cause =
                        format!("placement is '{other}', expected guarded, computed or cookie");
                    return Err(cursor.error(&value, cause));
                }
            };
        }
        "method" => {
            let value = cursor.expect("method")?;
            options.method = match value.text.as_str() {
                "bounded" => AssignMethod::Bounded,
                "rendezvous" => AssignMethod::Rendezvous,
                "maglev" => AssignMethod::Maglev,
                other => {
                    let cause = unknown_word(
                        "method",
                        other,
                        ["bounded", "rendezvous", "maglev"].into_iter(),
                    );
                    return Err(cursor.error(&value, cause));
                }
            };
        }
        "fabric" => {
            let value = cursor.expect("'hash' or 'spray'")?;
            options.spray = match value.text.as_str() {
                "hash" => false,
                "spray" => true,
                other => {
                    let cause = format!("fabric is '{other}', expected hash or spray");
                    return Err(cursor.error(&value, cause));
                }
            };
        }
        "collect" => options.collect = cursor.duration("collecting time")?,
        "echo" => {
            let value = cursor.expect("'on' or 'off'")?;
            options.echo = match value.text.as_str() {
                "on" => true,
                "off" => false,
                other => {
                    let cause = format!("echo is '{other}', expected on or off");
                    return Err(cursor.error(&value, cause));
                }
            };
        }
        other => {
            let known = ["placement", "method", "collect", "echo", "fabric"].into_iter();
            return Err(cursor.error(&option, unknown_word("option", other, known)));
        }
    }
    Ok(())
}

fn read_action(cursor: &mut Cursor) -> Result<EventAction> {
    let action = cursor.expect("action")?;
    Ok(match action.text.as_str() {
        "drain" => EventAction::Drain(cursor.name("name of the upstream")?),
        "serve" => EventAction::Serve(cursor.name("name of the upstream")?),
        "gone" => EventAction::Gone(cursor.name("name of the upstream")?),
        "add-upstream" => EventAction::AddUpstream {
            service: cursor.name("name of the service")?,
            upstream: cursor.name("name of the upstream")?,
        },
        "kill" => EventAction::Kill(cursor.name("name of the host")?),
        "stop" => EventAction::Stop(cursor.name("name of the host")?),
        "replace" => EventAction::Replace(cursor.name("name of the host")?),
        "start" => EventAction::StartHost {
            host: cursor.name("name of the host")?,
            data_centre: cursor.name("name of the data centre")?,
        },
        "pause" => EventAction::Pause {
            host: cursor.name("name of the host")?,
            length: cursor.duration("length of the pause")?,
        },
        "cut" => EventAction::Cut {
            data_centre: cursor.name("name of the data centre")?,
            length: cursor.duration("length of the cut")?,
        },
        "data-centre" => EventAction::DataCentre {
            data_centre: cursor.name("name of the data centre")?,
            state: read_data_centre_state(cursor)?,
        },
        "store" => EventAction::Store {
            fault: read_store_fault(cursor)?,
            length: cursor.duration("length of the fault")?,
        },
        "turn-cold" => EventAction::TurnCold(cursor.name("name of the upstream")?),
        "reuse-address" => EventAction::ReuseAddress {
            upstream: cursor.name("name of the upstream")?,
            service: cursor.name("name of the service")?,
        },
        "kill-watchers" => EventAction::KillWatchers,
        "power-loss" => EventAction::PowerLoss(cursor.duration("time without power")?),
        "manifest" => EventAction::Manifest,
        "restart-upstream" => EventAction::RestartUpstream(cursor.name("name of the upstream")?),
        other => {
            let cause = unknown_word("action", other, ACTIONS.into_iter());
            return Err(cursor.error(&action, cause));
        }
    })
}

fn read_data_centre_state(cursor: &mut Cursor) -> Result<DataCentreState> {
    let state = cursor.expect("'in' or 'out'")?;
    match state.text.as_str() {
        "in" => Ok(DataCentreState::In),
        "out" => Ok(DataCentreState::Out),
        other => Err(cursor.error(&state, format!("state is '{other}', expected in or out"))),
    }
}

fn read_store_fault(cursor: &mut Cursor) -> Result<StoreFault> {
    let fault = cursor.expect("fault of the store")?;
    match fault.text.as_str() {
        "down" => Ok(StoreFault::Down),
        "slow" => Ok(StoreFault::Slow),
        "lost-answer" => Ok(StoreFault::LostAnswer),
        other => {
            let known = ["down", "slow", "lost-answer"].into_iter();
            Err(cursor.error(&fault, unknown_word("fault", other, known)))
        }
    }
}

fn read_bound(cursor: &mut Cursor) -> Result<BoundRule> {
    let figure = cursor.name("name of the figure")?;
    let token = cursor.expect("'<=' or '>='")?;
    let comparison = match token.text.as_str() {
        "<=" => Comparison::AtMost,
        ">=" => Comparison::AtLeast,
        other => {
            let cause = format!("comparison is '{other}', expected <= or >=");
            return Err(cursor.error(&token, cause));
        }
    };
    let value = cursor.number("number")?;
    Ok(BoundRule { figure, comparison, value })
}
