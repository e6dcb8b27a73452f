//! Holds what clients and endpoints saw against the promises.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context;
use tokio::time::{Duration, Instant};

use super::ledger::{Asked, Cause, Ledger, Outcome, Version};
use super::lives::{EVENTS, Life};
use super::plan::Plan;
use crate::site::{Answer, Seen};

/// Silence of a fault after which an instance is held to times again.
const CONTACT: Duration = Duration::from_secs(3);
/// Time within which an endpoint that leaves gets nothing new, with some for a busy machine.
const DRAIN: Duration = Duration::from_millis(2_500);
/// The same for a configuration.
const CONFIG: Duration = Duration::from_millis(2_500);
/// The same for a failure domain that was taken out.
const OUT: Duration = Duration::from_millis(5_500);
/// The window of the limit on second sends.
const WINDOW: Duration = Duration::from_secs(10);
/// Second sends allowed in it, beside a fifth of the requests.
const EXTRA: usize = 54;
/// Requests that a cold engine bears in a second: ten, half as many again, and five.
const COLD: usize = 20;
/// Time after a SIGTERM in which requests surely end within the grace.
const EARLY: Duration = Duration::from_millis(1_200);
/// Statuses that promise that the request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What a soak found.
#[derive(Debug)]
pub struct Verdict {
    /// Promises that were broken.
    pub breaks: Vec<String>,
    /// Requests, and those with a whole success.
    pub asked: (usize, usize),
    /// Outcomes by name.
    pub outcomes: BTreeMap<String, usize>,
    /// What was done, and when.
    pub acts: Vec<String>,
}

struct Judge<'a> {
    ledger: &'a Ledger,
    lives: &'a [Life],
    /// For each attempt the lives that it reached.
    seen: BTreeMap<String, Vec<(usize, Seen)>>,
    asked: BTreeMap<String, Asked>,
    breaks: Vec<String>,
}

/// Judges a soak.
pub fn judge(
    plan: &Plan,
    ledger: &Ledger,
    lives: &[Life],
    log: &Path,
    acts: Vec<String>,
) -> anyhow::Result<Verdict> {
    let mut seen: BTreeMap<String, Vec<(usize, Seen)>> = BTreeMap::new();
    for (n, life) in lives.iter().enumerate() {
        for one in life.endpoint.seen() {
            seen.entry(one.id().to_owned()).or_default().push((n, one));
        }
    }
    let all = ledger.all_asked();
    let asked = all.iter().map(|a| (a.id.clone(), a.clone())).collect();
    let mut judge = Judge { ledger, lives, seen, asked, breaks: ledger.breaks() };
    judge.runs();
    judge.answers();
    if plan.is_timed {
        judge.times();
        judge.resends();
        judge.cold();
    }
    let text = std::fs::read_to_string(log).context("read the log")?;
    let panics = text.lines().filter(|l| l.contains("panicked"));
    judge.breaks.extend(panics.map(|l| format!("a panic: {l}")));
    let mut outcomes = BTreeMap::new();
    for one in &all {
        *outcomes.entry(name(&one.outcome)).or_default() += 1;
    }
    let served = all.iter().filter(|a| a.outcome.is_served()).count();
    Ok(Verdict { breaks: judge.breaks, asked: (all.len(), served), outcomes, acts })
}

fn name(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answer(a) if a.is_whole => a.status.to_string(),
        Outcome::Answer(a) => format!("{} broken off", a.status),
        Outcome::Cut => "cut".to_owned(),
        Outcome::GaveUp => "no end".to_owned(),
        Outcome::Left => "client left".to_owned(),
    }
}

impl Judge<'_> {
    fn broken(&mut self, what: String) {
        self.breaks.push(what);
    }

    /// What endpoints ran: only what was asked, unchanged, and as often as allowed.
    fn runs(&mut self) {
        let mut breaks = Vec::new();
        for (id, runs) in &self.seen {
            let Some(asked) = self.asked.get(id) else {
                breaks.push(format!("{id} reached an endpoint and was asked by nobody"));
                continue;
            };
            let ran = runs.iter().filter(|(_, s)| s.ran && !s.is_continued()).count();
            if ran > 1 && matches!(asked.route, "once" | "draft") {
                breaks.push(format!("{id} on /{}/ ran {ran} times", asked.route));
            }
            for (_, one) in runs {
                breaks.extend(changed(asked, one).map(|what| format!("{id}: {what}")));
            }
            if ran > 0 && self.ledger.versions().iter().all(|v| !v.keys.contains(&asked.key)) {
                breaks.push(format!("{id} ran with a key that never was"));
            }
        }
        self.breaks.append(&mut breaks);
    }

    /// What clients got: whole answers of their own, and promises that are true.
    fn answers(&mut self) {
        let all: Vec<Asked> = self.asked.values().cloned().collect();
        for asked in all {
            let Outcome::Answer(answer) = &asked.outcome else { continue };
            let signed = answer.message.header("x-nutmeggrade-server-signature").is_some();
            let ran = self.seen.get(&asked.id).is_some_and(|all| all.iter().any(|(_, s)| s.ran));
            if PROMISES.contains(&answer.status) && ran && !signed {
                self.broken(format!("{} was told {} and ran", asked.id, answer.status));
            }
            if answer.status == 200 {
                if let Some(what) = wrong(&asked, answer) {
                    self.broken(format!("{} on /{}/: {what}", asked.id, asked.route));
                }
            } else if signed && answer.status != 500 {
                self.broken(format!("{}: {} with a signature", asked.id, answer.status));
            }
        }
    }

    /// Promises that name a time.
    fn times(&mut self) {
        let versions = self.ledger.versions();
        let all: Vec<Asked> = self.asked.values().cloned().collect();
        for asked in &all {
            self.leaving(asked);
            self.config(asked, &versions);
            self.lost(asked);
        }
    }

    /// Says whether an instance was in touch all the while.
    fn in_touch(&self, instance: usize, from: Instant, until: Instant) -> bool {
        !self.ledger.had_trouble(instance, (from - CONTACT, until), |_| true)
    }

    fn leaving(&mut self, asked: &Asked) {
        let mut breaks = Vec::new();
        for (n, seen) in self.seen.get(&asked.id).into_iter().flatten() {
            if seen.is_continued() {
                continue;
            }
            let life = &self.lives[*n];
            let is_sound = life.is_sound(seen.at - CONTACT, seen.at);
            if let Some(left) = life.left
                && seen.at > left + DRAIN
                && is_sound
                && self.in_touch(asked.instance, left, seen.at)
            {
                breaks.push(format!("{} reached an endpoint that had left", asked.id));
            }
            let was_out =
                self.ledger.absences().into_iter().find(|a| {
                    a.domain == life.domain && seen.at > a.from + OUT && seen.at < a.until
                });
            if let Some(out) = was_out
                && is_sound
                && self.in_touch(asked.instance, out.from, seen.at)
            {
                breaks.push(format!("{} reached a failure domain that was out", asked.id));
            }
        }
        self.breaks.append(&mut breaks);
    }

    fn config(&mut self, asked: &Asked, versions: &[Version]) {
        let Outcome::Answer(answer) = &asked.outcome else { return };
        let settled = versions.iter().rposition(|v| v.at + CONFIG <= asked.sent).unwrap_or(0);
        let possible = &versions[settled..];
        let since = possible[0].at.max(asked.sent - CONFIG);
        let possible: Vec<&Version> = possible.iter().filter(|v| v.at <= asked.ended).collect();
        let allows =
            |v: &Version| v.keys.contains(&asked.key) && (asked.route != "late" || v.has_late);
        let is_refused = matches!(answer.status, 401 | 404);
        let is_wrong = (is_refused && possible.iter().all(|v| allows(v)))
            || (answer.status == 200 && !possible.iter().any(|v| allows(v)));
        if is_wrong && self.in_touch(asked.instance, since, asked.ended) {
            let now: Vec<u64> = possible.iter().map(|v| v.number).collect();
            self.broken(format!(
                "{} on /{}/ with {} got {} while {now:?} could be in force",
                asked.id, asked.route, asked.key, answer.status
            ));
        }
    }

    /// A request that went to sound endpoints by a sound instance has a final, whole answer.
    fn lost(&mut self, asked: &Asked) {
        let is_lost = match &asked.outcome {
            Outcome::Cut | Outcome::GaveUp => true,
            Outcome::Answer(a) => !a.is_whole || matches!(a.status, 502 | 504),
            Outcome::Left => false,
        };
        let Some(seen) = self.seen.get(&asked.id).filter(|_| is_lost) else { return };
        let span = (asked.sent - CONTACT, asked.ended);
        let hurts = |c: Cause| c != Cause::Stop && c != Cause::Reload;
        let is_sound = seen.iter().all(|(n, _)| {
            let life = &self.lives[*n];
            life.is_sound(span.0, span.1) && life.left.is_none()
        });
        if !is_sound || self.ledger.had_trouble(asked.instance, span, hurts) {
            return;
        }
        let stop = (asked.sent - CONTACT - EARLY, asked.sent - EARLY);
        if !self.ledger.had_trouble(asked.instance, stop, |c| c == Cause::Stop) {
            let what = name(&asked.outcome);
            self.broken(format!("{} on /{}/ was lost: {what}", asked.id, asked.route));
        }
    }

    /// Second sends of all instances together.
    fn resends(&mut self) {
        for service in [&["once", "read", "late"][..], &["draft", "sort"]] {
            let is_of = |id: &str| self.asked.get(id).is_some_and(|a| service.contains(&a.route));
            let mut again: Vec<Instant> = Vec::new();
            for (_, all) in self.seen.iter().filter(|(id, _)| is_of(id)) {
                let mut times: Vec<Instant> =
                    all.iter().filter(|(_, s)| !s.is_continued()).map(|(_, s)| s.at).collect();
                times.sort();
                again.extend(times.iter().skip(1));
            }
            let asked: Vec<Instant> = self
                .asked
                .values()
                .filter(|a| service.contains(&a.route))
                .map(|a| a.sent)
                .collect();
            let count = |all: &[Instant], from: Instant| {
                all.iter().filter(|t| **t >= from && **t < from + WINDOW).count()
            };
            let worst = again.iter().map(|t| (count(&again, *t), count(&asked, *t))).max();
            if let Some((sends, requests)) = worst
                && sends > requests / 5 + EXTRA
            {
                self.broken(format!("{sends} second sends for {requests} requests on {service:?}"));
            }
        }
    }

    /// What cold engines got in any second.
    fn cold(&mut self) {
        let mut breaks = Vec::new();
        for life in self.lives {
            let Some(until) = life.cold_until else { continue };
            let mut times: Vec<Instant> = life
                .endpoint
                .seen()
                .iter()
                .filter(|s| s.ran && !s.is_continued() && s.at < until)
                .map(|s| s.at)
                .collect();
            times.sort();
            let within = |t: &Instant| {
                times.iter().filter(|o| **o >= *t && **o < *t + Duration::from_secs(1)).count()
            };
            let most = times.iter().map(within).max().unwrap_or(0);
            if most > COLD {
                breaks.push(format!("{} got {most} in a second while cold", life.endpoint.id()));
            }
        }
        self.breaks.append(&mut breaks);
    }
}

/// Says what of a request was changed on its way to an endpoint.
fn changed(asked: &Asked, seen: &Seen) -> Option<String> {
    let (method, target) = seen.message.request();
    if method != "POST" || target != format!("/{}/x", asked.route) || seen.message.body != b"body" {
        return Some(format!("arrived as {method} {target}"));
    }
    if seen.message.header("x-api-key").is_some() {
        return Some("its key was passed on".to_owned());
    }
    if seen.message.header("x-nutmeggrade-tenant-name") != Some("acme") {
        return Some("arrived for another workspace".to_owned());
    }
    let forged = ["x-nutmeggrade-pin-ms", "x-nutmeggrade-kv-replica"];
    if forged.iter().any(|h| seen.message.header(h) == Some("9"))
        || seen.message.header("kv-from") == Some("127.0.0.1:1/x")
    {
        return Some("arrived with headers that only the system sets".to_owned());
    }
    None
}

/// Says what is wrong with a success.
fn wrong(asked: &Asked, answer: &Answer) -> Option<String> {
    let header = |name| answer.message.header(name);
    if header("x-nutmeggrade-attempt-id") != Some(&asked.id) {
        return Some("another request's answer".to_owned());
    }
    let Some(signature) = header("x-nutmeggrade-server-signature") else {
        return Some("a success without a signature".to_owned());
    };
    let body = String::from_utf8_lossy(&answer.message.body);
    if matches!(asked.route, "draft" | "sort") && header("content-type").is_some() {
        return wrong_events(&asked.id, &body, answer.is_whole);
    }
    let by = signature.strip_prefix("by.").unwrap_or_default();
    let whole = format!("done {} by {by}", asked.id);
    (answer.is_whole && body != whole).then(|| format!("not the whole body: {body:?}"))
}

/// Says what is wrong with the events of a stream.
fn wrong_events(id: &str, body: &str, is_whole: bool) -> Option<String> {
    let mut next = 1;
    let mut rest = body;
    while let Some((event, after)) = rest.split_once("\n\n") {
        if event != format!("id: {next}\ndata: {id}.{next}") {
            return Some(format!("event {next} is {event:?}"));
        }
        next += 1;
        rest = after;
    }
    if is_whole && (next != EVENTS + 1 || !rest.is_empty()) {
        return Some(format!("looks complete after {} events", next - 1));
    }
    None
}
