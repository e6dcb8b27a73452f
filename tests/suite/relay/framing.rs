//! Requests with ambiguous framing, and chunked requests.

use nutmeggrade_fakes::site::{Behaviour, RawClient, RoutingPlan};

use super::site::Site;
use crate::support::run;

const HEAD: &str = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\n\
     X-Nutmeggrade-Attempt-Id: a1\r\nX-Api-Key: key-1\r\n";
const SMUGGLED_BODY: &str = "0\r\n\r\nPOST /once/x HTTP/1.1\r\nHost: desk.example\r\n\
     X-Nutmeggrade-Attempt-Id: a2\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n";

/// Checks that a request is refused, that its connection is closed and that nothing of it reaches
/// an endpoint.
fn refused(headers: &str, body: &str, status: u16) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&format!("{HEAD}{headers}\r\n{body}")).await?;
        assert_eq!(client.answer().await?.status, status);
        assert!(client.is_closed().await);
        assert_eq!(endpoint.seen().len(), 0, "{:?}", endpoint.seen());
        Ok(())
    });
}

// A second request is hidden in the body of the first one (request smuggling). A server that uses
// the other length would run a request that no client sent.
cases! {refused {
    length_then_chunks: "Content-Length: 60\r\nTransfer-Encoding: chunked\r\n", SMUGGLED_BODY, 400;
    chunks_then_length: "Transfer-Encoding: chunked\r\nContent-Length: 60\r\n", SMUGGLED_BODY, 400;
    two_codings: "Transfer-Encoding: gzip, chunked\r\n", SMUGGLED_BODY, 400;
    chunks_twice: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", SMUGGLED_BODY, 400;
    unknown_coding: "Transfer-Encoding: xchunked\r\n", SMUGGLED_BODY, 400;
    two_lengths: "Content-Length: 4\r\nContent-Length: 60\r\n", SMUGGLED_BODY, 400;
    signed_length: "Content-Length: +4\r\n", SMUGGLED_BODY, 400;
    two_hosts: "Host: other.example\r\nContent-Length: 0\r\n", "", 400;
    folded_header: "X-A: 1\r\n 2\r\nContent-Length: 0\r\n", "", 400;
    too_large: "Content-Length: 100001\r\n", "", 413;
}}

// Chunked bodies are valid, also for a second request on the same connection.
#[test]
fn chunks_arrive_as_one_body() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let mut client = RawClient::connect(site.client()).await?;
        for id in ["a1", "a2"] {
            let head = HEAD.replace("a1", id);
            client.send(&format!("{head}Transfer-Encoding: chunked\r\n\r\n")).await?;
            client.send("3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n").await?;
            assert_eq!(client.answer().await?.status, 200);
        }
        let bodies: Vec<Vec<u8>> = endpoint.seen().into_iter().map(|s| s.message.body).collect();
        assert_eq!(bodies, [b"abcdefg", b"abcdefg"]);
        Ok(())
    });
}

// A body in many chunks is kept in several buffers. One in the wrong place would change the request.
#[test]
fn chunks_of_any_size_arrive_unchanged() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint("desk", "e-1", Behaviour::Answer).await?;
        let mut client = RawClient::connect(site.client()).await?;
        client.send(&format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n")).await?;
        let mut sent = String::new();
        for size in [1, 4_095, 1, 7, 65_530, 1, 9, 20_000, 3] {
            let chunk: String = ('a'..='w').cycle().take(size).collect();
            client.send(&format!("{size:x}\r\n{chunk}\r\n")).await?;
            sent.push_str(&chunk);
        }
        client.send("0\r\n\r\n").await?;
        assert_eq!(client.answer().await?.status, 200);
        let bodies: Vec<Vec<u8>> = endpoint.seen().into_iter().map(|s| s.message.body).collect();
        assert_eq!(bodies, [sent.into_bytes()]);
        Ok(())
    });
}
