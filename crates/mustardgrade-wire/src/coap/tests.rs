//! Tests of encoding and decoding CoAP messages.

use std::net::SocketAddrV4;
use std::time::Duration;

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use expect_test::expect;
use mustardgrade_core::request::{CallerReply, UpstreamReply};
use proptest::prelude::*;

use super::*;

fn caller_and_service() -> (SocketAddrV4, SocketAddrV4) {
    let caller = "192.0.2.1:5683".parse().expect("the address is valid");
    let service = "203.0.113.10:5683".parse().expect("the address is valid");
    (caller, service)
}

/// Encodes a POST request with a ticket of 40 bytes and a timeout of 1000 ms.
fn ticketed_post() -> Vec<u8> {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Request(RequestType::Post);
    packet.header.set_type(MessageType::Confirmable);
    packet.header.message_id = 77;
    packet.set_token(vec![1, 2, 3]);
    packet.add_option(CoapOption::UriPath, b"teams".to_vec());
    packet.add_option(ECHO_OPTION, vec![9; 40]);
    packet.add_option(TIMEOUT_OPTION, vec![3, 0xE8]);
    packet.payload = b"team=owls".to_vec();
    packet.to_bytes_unlimited().expect("the request is small")
}

#[test]
fn caller_request_is_decoded_with_ticket_and_timeout() {
    let (caller, service) = caller_and_service();
    let request =
        decode_caller_request(caller, service, &ticketed_post()).expect("the request is valid");
    let ticket = request.ticket.map(|ticket| ticket.len());
    let report = format!("{} {} {ticket:?} {:?}", request.id, request.idempotent, request.timeout);
    expect!["192.0.2.1:5683#77 false Some(40) 1s"].assert_eq(&report);
}

#[test]
fn upstream_request_keeps_the_payload_and_omits_the_ticket() {
    let encoded =
        encode_upstream_request(&ticketed_post(), 0x0102_0304, Duration::from_millis(700))
            .expect("it fits");
    let packet = Packet::from_bytes(&encoded).expect("it is valid");
    let timeout = packet.get_first_option(TIMEOUT_OPTION);
    let echo = packet.get_first_option(ECHO_OPTION);
    let report = format!(
        "{:?} {:?} {timeout:?} {echo:?} {}",
        packet.header.get_type(),
        packet.get_token(),
        String::from_utf8_lossy(&packet.payload)
    );
    expect!["NonConfirmable [0, 0, 0, 0, 1, 2, 3, 4] Some([2, 188]) None team=owls"]
        .assert_eq(&report);
}

#[test]
fn each_caller_reply_has_its_response_code() {
    let (caller, service) = caller_and_service();
    let request =
        decode_caller_request(caller, service, &ticketed_post()).expect("the request is valid");
    let replies = [
        CallerReply::Challenge(vec![1; 40]),
        CallerReply::NotRun { retry_after: Duration::from_millis(1_200) },
        CallerReply::Busy { retry_after: Duration::from_secs(1) },
        CallerReply::OutcomeUnknown,
        CallerReply::InvalidRequest,
    ];
    let report = replies.map(|reply| {
        let bytes = encode_caller_reply(&request.id, &reply).expect("it fits");
        let packet = Packet::from_bytes(&bytes).expect("it is valid");
        let payload = String::from_utf8_lossy(&packet.payload).into_owned();
        format!("{} {} {payload}", packet.header.get_code(), packet.header.message_id)
    });
    expect![[r#"
        4.01 77 not run: repeat with this ticket
        5.03 77 not run
        5.03 77 busy
        5.04 77 outcome unknown
        4.00 77 not run: invalid request"#]]
    .assert_eq(&report.join("\n"));
}

#[test]
fn upstream_replies_distinguish_shed_requests_and_reject_other_messages() {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Response(ResponseType::ServiceUnavailable);
    packet.set_token(7_u64.to_be_bytes().to_vec());
    let shed_datagram = packet.to_bytes_unlimited().expect("it fits");
    let message = decode_upstream_reply(&shed_datagram).expect("it is valid");
    assert_eq!(message, ExchangeReply { exchange_id: 7, reply: UpstreamReply::Shed });
    packet.set_token(vec![7]);
    let short_token_datagram = packet.to_bytes_unlimited().expect("it fits");
    assert_eq!(decode_upstream_reply(&short_token_datagram), Err(CoapError::InvalidToken));
    assert_eq!(decode_upstream_reply(&ticketed_post()), Err(CoapError::NotResponse));
}

proptest! {
    #[test]
    fn decoding_arbitrary_datagrams_does_not_panic(
        datagram in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let (caller, service) = caller_and_service();
        let _request = decode_caller_request(caller, service, &datagram);
        let _reply = decode_upstream_reply(&datagram);
    }

    #[test]
    fn processing_corrupted_requests_does_not_panic(
        index in 0_usize..60,
        byte in any::<u8>(),
        length in 0_usize..=60,
    ) {
        let (caller, service) = caller_and_service();
        let mut datagram = ticketed_post();
        let last_index = datagram.len() - 1;
        datagram[index.min(last_index)] = byte;
        datagram.truncate(length);
        if let Ok(request) = decode_caller_request(caller, service, &datagram) {
            let _encoded = encode_upstream_request(&request.encoded_request, 1, request.timeout);
        }
    }
}
