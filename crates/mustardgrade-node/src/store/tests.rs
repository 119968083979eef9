//! Tests of the store client's errors.

use axum::Router;
use axum::routing::get;
use mustardgrade_core::placement::PlacementMap;

use super::{
    RULES_KEY, RulesDocument, StoreClient, StoreError, decode_placement, decode_rules,
    encode_placement, encode_rules,
};

/// Levels of nesting that overflow the stack of a recursive reader.
const NESTING: usize = 200_000;

async fn client_of_store_that_answers(body: &str) -> StoreClient {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let body = body.to_owned();
    let router = Router::new().fallback(get(move || std::future::ready(body.clone())));
    tokio::spawn(async move { axum::serve(listener, router).await });
    StoreClient::new(&format!("http://{address}"), None).expect("the address is valid")
}

#[tokio::test]
async fn undecodable_reply_is_told_from_a_store_that_does_not_answer() {
    let client = client_of_store_that_answers("not json").await;
    let error = client.read(RULES_KEY).await.expect_err("the reply is no list of values");
    assert!(matches!(error, StoreError::InvalidReply(_)), "{error}");
    let silent = StoreClient::new("http://127.0.0.1:1", None).expect("the address is valid");
    let error = silent.read(RULES_KEY).await.expect_err("nothing listens there");
    assert!(matches!(error, StoreError::Unreachable(_)), "{error}");
}

/// Guards against a host that finds no other host because of one odd entry in the list.
#[tokio::test]
async fn odd_entry_of_the_host_list_leaves_the_others() {
    let entry = |address: &str, meta: &str| {
        format!(r#"{{"ServiceAddress":{address},"ServicePort":7000,"ServiceMeta":{meta}}}"#)
    };
    let meta = r#"{"name":"local-1","data_centre":"local"}"#;
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let list = [
        nested.clone(),
        entry(&nested, meta),
        entry("\"10.0.0.1:65536\"", meta),
        entry("1e400", meta),
        entry("\"\"", meta),
        entry("\"10.0.0.1\"", r#"{"name":99999999999999999999999}"#),
        entry("\"10.0.0.2\"", meta),
    ];
    let client = client_of_store_that_answers(&format!("[{}]", list.join(","))).await;
    let hosts = client.list_hosts().await.expect("the list is decoded");
    let addresses: Vec<String> = hosts.iter().map(|host| host.address.to_string()).collect();
    assert_eq!(addresses, ["10.0.0.2"]);
}

/// Guards against a process that ends because of a stored document; what is in force stays.
#[tokio::test]
async fn odd_document_is_an_error_with_its_key() {
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    for document in [
        nested.clone(),
        format!(r#"{{"revision":{nested},"edit":1,"recent_edits":[],"text":""}}"#),
        r#"{"revision":1e400,"edit":1,"recent_edits":[],"text":""}"#.to_owned(),
        r#"{"revision":18446744073709551615,"edit":1,"recent_edits":[],"text":""}"#.to_owned(),
    ] {
        let error = decode_rules(document.as_bytes()).expect_err("not a rules document");
        assert!(error.to_string().contains(RULES_KEY), "{error}");
    }
    let odd_port = "service desk 198.18.0.1:65536 class=flow # asked by tests";
    let document = RulesDocument { text: odd_port.to_owned(), ..RulesDocument::default() };
    let stored = decode_rules(&encode_rules(&document)).expect("a rules document");
    assert!(stored.to_stored_rules().is_err());
    let revision = u64::MAX;
    let from_peer = RulesDocument { revision, ..RulesDocument::default() };
    assert!(from_peer.to_stored_rules().is_err());
    let placement = PlacementMap { generation: u64::MAX, ..PlacementMap::default() };
    assert!(decode_placement(&encode_placement(&placement)).is_err());
    for item in [nested, r#"{"Value":"","ModifyIndex":1e400}"#.to_owned()] {
        let client = client_of_store_that_answers(&format!("[{item}]")).await;
        let error = client.read(RULES_KEY).await.expect_err("the item cannot be decoded");
        assert!(matches!(error, StoreError::InvalidValue { .. }), "{error}");
    }
}
