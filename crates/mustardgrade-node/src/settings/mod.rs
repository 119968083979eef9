//! Reading of settings files in INI format, and the settings of a host that places flows by rules.

mod errors;
mod host;
mod reader;

pub use errors::{Result, SettingsError};
pub use host::{FlowSettings, HostSettings, PortSettings};
pub use reader::SettingsReader;

#[cfg(test)]
mod tests;
