//! Settings of an entry host, read from an INI file.

mod errors;
mod host;
mod reader;

pub use errors::{Result, SettingsError};
pub use host::{FlowSettings, HostSettings, PortSettings};
pub use reader::SettingsReader;

#[cfg(test)]
mod tests;
