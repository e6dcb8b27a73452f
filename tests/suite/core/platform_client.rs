//! The client of the platform's object API.

use std::time::Duration;

use nutmeggrade_platform::{HttpPlatform, Platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::support::run;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a platform that answers each call with this body.
async fn platform_with(body: Vec<u8>) -> anyhow::Result<HttpPlatform> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let Ok(byte) = stream.read_u8().await else { return };
                head.push(byte);
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            drop(stream.write_all(&[head.as_bytes(), &body].concat()).await);
        }
    });
    Ok(HttpPlatform::new(address, TIMEOUT))
}

/// Returns values that can't be decoded.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = [b"[".repeat(100_000), b"]".repeat(100_000)].concat();
    [&b"1e999"[..], b"NaN", b"\"\xff\"", br#""\ud800""#, &nested].map(<[u8]>::to_vec).to_vec()
}

// Guards against an instance that stops following the endpoints because one entry can't be decoded.
#[test]
fn endpoints_are_listed_beside_odd_ones() {
    run(async {
        let entry = |id: &str, memory: &[u8]| {
            let before = format!(
                "{{\"id\":\"{id}\",\"address\":\"127.0.0.1:9\",\"domain\":\"gooi\",\"state\":\"live\",\
                 \"checks_fencing\":true,\"kind\":\"engine\",\"models\":[],\"memory\":"
            );
            [before.as_bytes(), memory, b"}"].concat()
        };
        for odd in odd_values() {
            let odd_entry = entry("e-2", &odd);
            let list = [entry("e-1", b"5"), odd, odd_entry, entry("e-3", b"5")].join(&b","[..]);
            let platform = platform_with([&b"["[..], &list, b"]"].concat()).await?;
            let endpoints = platform.endpoints().await?;
            let names: Vec<&str> = endpoints.iter().map(|e| e.id.as_str()).collect();
            assert_eq!(names, ["e-1", "e-3"]);
        }
        Ok(())
    });
}

// Guards against a list or a watch that fails because of one value, and against a page that is taken
// for the last one because an object of it is missing.
#[test]
fn objects_are_read_beside_odd_ones() {
    run(async {
        let object = |key: &str, value: &[u8]| {
            let before = format!("{{\"key\":\"instances/{key}\",\"version\":3,\"value\":");
            [before.as_bytes(), value, b"}"].concat()
        };
        for odd in odd_values() {
            let objects = [object("a", b"1"), object("b", &odd), object("c", b"null")];
            let objects = objects.join(&b","[..]);
            let body = [&b"{\"revision\":7,\"objects\":["[..], &objects, b"]}"].concat();
            let platform = platform_with(body).await?;
            for changes in [
                platform.list("instances/").await?,
                platform.watch("instances/", 1, Duration::ZERO).await?,
            ] {
                let read: Vec<(&str, Option<i64>, bool)> = changes
                    .objects
                    .iter()
                    .map(|o| {
                        let value = o.value.as_ref();
                        (o.key.as_str(), value.and_then(serde_json::Value::as_i64), value.is_some())
                    })
                    .collect();
                let expected = [
                    ("instances/a", Some(1), true),
                    ("instances/b", None, true),
                    ("instances/c", None, false),
                ];
                assert_eq!(read, expected);
                assert_eq!(changes.revision, 7);
            }
        }
        Ok(())
    });
}
