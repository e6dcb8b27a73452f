//! Case 6: streams that must not be repeated, sent to instances that are stopped in turn.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::{Record, Signal, Site, Verdict, exchange, has_trouble, read_answer};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"ficu95.example","path_prefix":"/lohu930/","route_kind":"streaming","timeout_ms":39000,"target_latency_ms":1800,"priority":1,"service":"schrijvers","max_attempts":1,"public":true,"sticky":true,"resumable":false,"gap_aim_ms":180},{"name":"r-notes","host":"ficu95.example","path_prefix":"/pule252/","route_kind":"streaming","timeout_ms":39000,"target_latency_ms":1800,"priority":1,"service":"notities","max_attempts":1,"public":true,"sticky":false,"resumable":false,"gap_aim_ms":180}],"services":[{"name":"schrijvers","health_path":"/health","connection_limit":222,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"inference_engine":{"slots":24,"kv_cache_tokens":34206,"token_kv_bytes":163840,"link_mbps":24000.0,"migrations":false,"backups":false,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"cache_handle_s":5.0,"model_list":[{"name":"m"}]}},{"name":"notities","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
/// Requests of each kind.
const REQUESTS: u32 = 4;
/// Time between the two stops, as in `roll_term` with `gap_s` 1.0.
const GAP: Duration = Duration::from_secs(1);
/// Time after the first SIGTERM at which the requests are sent.
const SENT_AFTER: Duration = Duration::from_millis(3_150);

pub fn run(site: &mut Site) -> Verdict {
    site.put_config(CONFIG);
    for id in ["i-0001", "i-0002"] {
        site.start_server(id, "schrijvers", "preempted", 24);
    }
    for id in ["i-0003", "i-0004"] {
        site.start_server(id, "notities", "notes", 24);
    }
    site.start_instances(2);
    if !site.await_ready() {
        return Verdict::NotRun("the instances didn't become ready".to_owned());
    }
    sleep(Duration::from_secs(4));
    let start = Instant::now();
    if has_trouble() {
        site.signal(0, Signal::Term);
    }
    sleep(GAP);
    if has_trouble() {
        site.signal(1, Signal::Term);
    }
    sleep(SENT_AFTER - Duration::from_millis(50) - start.elapsed());
    // The requesters ask the directory anew, at the nearest of its instances.
    let address = match resolve(site.instances[0].directory) {
        Ok(address) => address,
        Err(error) => return Verdict::NotRun(format!("the directory didn't answer: {error}")),
    };
    site.note(&format!("the directory of {} names {address}", site.instances[0].name));
    if has_trouble() && address != site.instances[0].client {
        return Verdict::NotRun("the directory names another instance".to_owned());
    }
    sleep(SENT_AFTER.saturating_sub(start.elapsed()));
    let (sender, receiver) = mpsc::channel();
    for number in 0..2 * REQUESTS {
        let (sender, record) = (sender.clone(), site.record.clone());
        thread::spawn(move || {
            let ms = start.elapsed().as_millis();
            let (attempt, end) = request(address, number, &record);
            let _ = sender.send((attempt, ms, end));
        });
    }
    drop(sender);
    let (mut cut, mut refused, mut whole, mut other) = (Vec::new(), 0, 0, Vec::new());
    for (attempt, ms, end) in receiver {
        match end {
            Ok(answer) if answer.status == 503 => refused += 1,
            Ok(answer) if answer.status == 200 && answer.is_complete => whole += 1,
            Ok(answer) if answer.status == 200 => {
                let events = String::from_utf8_lossy(&answer.message.body).matches("data:").count();
                cut.push(format!(
                    "{attempt}, sent {ms} ms after the SIGTERM, after {events} events"
                ));
            }
            Ok(answer) => other.push(format!("{attempt}: {}", answer.status)),
            Err(error) => cut.push(format!("{attempt}, sent {ms} ms after the SIGTERM: {error}")),
        }
    }
    let runs = |attempt: &str| {
        let servers = site.servers.iter();
        servers.filter(|s| s.lines.lock().unwrap().iter().any(|l| l.contains(attempt))).count()
    };
    cut.retain(|text| runs(&text[..16]) > 0);
    let counts = format!("{whole} whole streams, {refused} refused with 503, others {other:?}");
    if cut.is_empty() {
        return Verdict::Held(counts);
    }
    Verdict::Broken(format!(
        "{} streams that a server ran were cut: {}; {counts}",
        cut.len(),
        cut.join("; ")
    ))
}

/// Asks a directory where to connect.
fn resolve(directory: SocketAddr) -> std::io::Result<SocketAddr> {
    let request = "GET /nutmeggrade/resolution?name=ficu95.example&region=r1&zone=z1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = exchange(directory, request.as_bytes(), Duration::from_secs(1))?;
    let text = String::from_utf8_lossy(&answer.message.body).into_owned();
    let first = text.split('"').find_map(|word| word.parse().ok());
    first.ok_or_else(|| std::io::Error::other(text))
}

/// Sends a request and reads its stream.
fn request(
    address: SocketAddr,
    number: u32,
    record: &Record,
) -> (String, std::io::Result<crate::Answer>) {
    let attempt = format!("9c41d07be2a6{number:04x}");
    let (path, prompt) = if number < REQUESTS {
        (
            "/lohu930/2f",
            "X-Nutmeggrade-Model-Name: m\r\nX-Nutmeggrade-Token-Count: 300,120\r\nX-Nutmeggrade-Prompt-Prefix: 5c1e07a2:80,e4402b7d:220\r\n",
        )
    } else {
        ("/pule252/2f", "")
    };
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Nutmeggrade-Attempt-Id: {attempt}\r\nX-Nutmeggrade-Deadline-Ms: 39000\r\n{prompt}Content-Length: 2\r\n\r\n{{}}"
    );
    record.note(&format!("requester sends {attempt} to {address}"));
    let answer = send(address, text.as_bytes());
    record.note(&match &answer {
        Ok(a) => format!(
            "requester gets {attempt}: {}, {} bytes, complete: {} {}",
            a.status,
            a.message.body.len(),
            a.is_complete,
            a.end
        ),
        Err(error) => format!("requester gets no answer to {attempt}: {error}"),
    });
    (attempt, answer)
}

fn send(address: SocketAddr, text: &[u8]) -> std::io::Result<crate::Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(39)))?;
    stream.write_all(text)?;
    read_answer(&mut BufReader::new(stream))
}
