//! Errors that prevent a trial from being carried out.

use thiserror::Error;

/// `Result` of a trial.
pub type Result<T> = std::result::Result<T, TrialError>;

/// `TrialError` is the reason why a trial could not be carried out.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A socket cannot be opened or bound.
    #[error("cannot set up the trial: {0}")]
    Io(#[from] std::io::Error),
    /// An entry host cannot be started.
    #[error(transparent)]
    Host(#[from] mustardgrade_node::host::HostError),
    /// Rules cannot be read from the store, decoded, or written.
    #[error(transparent)]
    Store(#[from] mustardgrade_node::store::StoreError),
    /// The rules file is invalid.
    #[error("{0}")]
    Rules(#[from] mustardgrade_core::rule::RuleError),
    /// No key can be derived from the fleet's secret.
    #[error(transparent)]
    Secret(#[from] mustardgrade_wire::peer::FrameError),
    /// The rules lack a service or upstream that the trial needs.
    #[error("the rules lack what the trial needs: {0}")]
    MissingFromRules(&'static str),
    /// Not all hosts were serving within this many seconds.
    #[error("not all hosts were serving after {0} s")]
    StartTimeout(u64),
    /// Other trials on this machine use all address ranges.
    #[error("{0} trials run on this machine already; wait until one of them has ended")]
    NoFreeAddresses(u8),
    /// An upstream's address cannot be moved out of the way of another trial.
    #[error("another trial runs on this machine, and upstream address {0} cannot be moved for it")]
    AddressOutOfRange(std::net::Ipv4Addr),
}
