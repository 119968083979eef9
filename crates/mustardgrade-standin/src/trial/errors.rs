//! Errors of a trial.

use thiserror::Error;

/// `Result` of a trial.
pub type Result<T> = std::result::Result<T, TrialError>;

/// `TrialError` says why a trial could not be carried out.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A socket cannot be bound.
    #[error("cannot set up the trial: {0}")]
    Io(#[from] std::io::Error),
    /// A host cannot start.
    #[error(transparent)]
    Host(#[from] mustardgrade_node::host::HostError),
    /// The store does not take a rule.
    #[error(transparent)]
    Store(#[from] mustardgrade_node::store::StoreError),
    /// The rules are wrong.
    #[error("{0}")]
    Rules(#[from] mustardgrade_core::rule::RuleError),
    /// The secret is unusable.
    #[error(transparent)]
    Secret(#[from] mustardgrade_wire::peer::FrameError),
    /// The rules lack something that the trial needs.
    #[error("the trial needs {0}")]
    MissingFromRules(&'static str),
    /// The hosts did not start to serve in time.
    #[error("the hosts do not serve after {0} s")]
    StartTimeout(u64),
}
