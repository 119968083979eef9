//! Runs a stand-in for the platform, the fabric, an upstream or callers as a separate process.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use mustardgrade_node::settings::PortSettings;
use mustardgrade_node::store::StoreClient;
use mustardgrade_standin::caller::{FlowCallerSettings, caller_group_address, start_flow_callers};
use mustardgrade_standin::fabric::{FabricHandle, start_fabric};
use mustardgrade_standin::platform::{CatalogueEntry, start_platform};
use mustardgrade_standin::upstream::{RequestCapacity, UpstreamSettings, start_upstream};

/// Interval at which the fabric fetches the list of hosts from the platform.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which upstreams and callers report their counters.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Stand-ins for mustardgrade's environment, for running its processes over loopback.
#[derive(Debug, FromArgs)]
struct StandinArguments {
    #[argh(subcommand)]
    command: StandinCommand,
}

/// `StandinCommand` is the subcommand to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Platform(PlatformCommand),
    Fabric(FabricCommand),
    Upstream(UpstreamCommand),
    Caller(CallerCommand),
}

/// Runs the platform: a key-value store and a catalogue of hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformCommand {
    /// address to serve HTTP on
    #[argh(option)]
    address: SocketAddr,
    /// entry host to list, as name,address,data-centre; may be repeated
    #[argh(option, long = "host", from_str_fn(parse_host))]
    hosts: Vec<CatalogueEntry>,
}

/// Runs the fabric: sends every packet to a random host that the platform lists as not leaving.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
struct FabricCommand {
    /// address to receive packets on
    #[argh(option)]
    address: SocketAddrV4,
    /// base URL of the platform
    #[argh(option, long = "platform")]
    platform_url: String,
}

/// Runs an upstream that serves flows, requests, or both.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
struct UpstreamCommand {
    /// name of the upstream, sent to callers in feeds and in answers to registrations
    #[argh(option)]
    name: String,
    /// address to receive packets on
    #[argh(option)]
    address: Ipv4Addr,
    /// address of the flow service to serve; no flows are served if omitted
    #[argh(option)]
    flow_service: Option<SocketAddrV4>,
    /// maximum number of concurrent requests; no requests are served if omitted
    #[argh(option)]
    slots: Option<usize>,
    /// address of the fabric
    #[argh(option, long = "fabric")]
    fabric_address: SocketAddrV4,
}

/// Runs callers that keep feeds open and verify every byte.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "caller")]
struct CallerCommand {
    /// address to receive packets on
    #[argh(option, long = "socket")]
    listen_address: SocketAddrV4,
    /// address of the fabric
    #[argh(option, long = "fabric")]
    fabric_address: SocketAddrV4,
    /// address of the flow service
    #[argh(option, long = "service")]
    service_address: SocketAddrV4,
    /// number of feeds to keep open
    #[argh(option, default = "20")]
    feeds: usize,
}

fn parse_host(text: &str) -> Result<CatalogueEntry, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let [name, address, data_centre] = parts.as_slice() else {
        return Err("expected name,address,data-centre".to_owned());
    };
    let address =
        address.parse().map_err(|_cause| format!("'{address}' is not an IPv4 address"))?;
    Ok(CatalogueEntry {
        name: (*name).to_owned(),
        address,
        data_centre: (*data_centre).to_owned(),
        leaving: false,
    })
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let arguments: StandinArguments = argh::from_env();
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mustardgrade-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: StandinCommand) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let standin_task = async {
            match command {
                StandinCommand::Platform(command) => run_platform(command).await,
                StandinCommand::Fabric(command) => run_fabric(&command).await,
                StandinCommand::Upstream(command) => run_upstream(command).await,
                StandinCommand::Caller(command) => run_caller(&command).await,
            }
        };
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            outcome = standin_task => outcome,
            _ = terminate.recv() => Ok(()),
            _ = tokio::signal::ctrl_c() => Ok(()),
        }
    })
}

async fn run_platform(command: PlatformCommand) -> Result<(), Box<dyn std::error::Error>> {
    let platform = start_platform(command.address).await?;
    for host in command.hosts {
        platform.register_host(host);
    }
    println!("platform on http://{}", command.address);
    std::future::pending().await
}

async fn run_fabric(command: &FabricCommand) -> Result<(), Box<dyn std::error::Error>> {
    let fabric = start_fabric(command.address)?;
    let store = StoreClient::new(&command.platform_url, None)?;
    println!("fabric on {}", command.address);
    loop {
        refresh_fabric_hosts(&fabric, &store).await;
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}

async fn refresh_fabric_hosts(fabric: &FabricHandle, store: &StoreClient) {
    let Ok(listed_hosts) = store.list_hosts().await else { return };
    let gue_port = PortSettings::default().gue;
    let available_hosts = listed_hosts.into_iter().filter(|host| !host.leaving);
    fabric
        .set_hosts(available_hosts.map(|host| SocketAddrV4::new(host.address, gue_port)).collect());
}

async fn run_upstream(command: UpstreamCommand) -> Result<(), Box<dyn std::error::Error>> {
    let request_capacity = command.slots.map(|slots| RequestCapacity {
        slots,
        service_time: Duration::from_millis(30),
        warm_up_requests: 20,
    });
    let upstream = start_upstream(UpstreamSettings {
        name: command.name,
        address: command.address,
        flow_service: command.flow_service,
        request_capacity,
        fabric_return: command.fabric_address,
        ports: PortSettings::default(),
    })?;
    println!("upstream {} on {}", upstream.settings().name, command.address);
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let report = upstream.report();
        log::info!(
            open = report.open_connections,
            opened = report.connections_opened,
            wrong_service = report.wrong_service_packets;
            "upstream statistics"
        );
    }
}

async fn run_caller(command: &CallerCommand) -> Result<(), Box<dyn std::error::Error>> {
    let callers = start_flow_callers(FlowCallerSettings {
        source_address: caller_group_address(1),
        bind_address: command.listen_address,
        fabric_address: command.fabric_address,
        service_address: command.service_address,
        feed_count: command.feeds,
    })?;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        println!("{}", serde_json::to_string(&callers.report())?);
    }
}
