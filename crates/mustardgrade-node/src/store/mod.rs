//! Client of the platform's key-value store, which has an HTTP interface like that of Consul.

mod client;
mod document;
mod errors;
mod http;

pub use client::{ReadReply, StoreClient, StoredValue};
pub use document::{
    PLACEMENT_KEY, RULES_KEY, RulesDocument, decode_placement, decode_rules, encode_placement,
    encode_rules,
};
pub use errors::{Result, StoreError};
pub use http::{HttpClient, check_status, header_number};

#[cfg(test)]
mod tests;
