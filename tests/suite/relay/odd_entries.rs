//! Entries of the store that another program wrote and that can't be decoded.

use nutmeggrade_core::peer::EndpointsReply;
use nutmeggrade_fakes::site::{Behaviour, Entry, RawPart, RoutingPlan, Store};
use nutmeggrade_relay::Instance;

use super::ask;
use super::members::{start_member, until_all_have};
use super::site::{Site, get, get_answer, get_bytes, metric, start_instance};
use crate::support::{run, until};

/// Levels of an array that no decoder without recursion limit survives.
const DEEP: usize = 100_000;

fn nested(levels: usize) -> Vec<u8> {
    [b"[".repeat(levels), b"]".repeat(levels)].concat()
}

/// Returns an entry in which one field has another value.
fn entry_with(field: &str, value: &[u8]) -> Vec<u8> {
    let before = "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"zone\":\"veluwe\",\"slots\":4,\
                  \"state\":\"ready\"";
    [before.as_bytes(), b",\"", field.as_bytes(), b"\":", value, b"}"].concat()
}

/// Returns an object with this metadata and the specification of an endpoint.
fn object_with(metadata: &[u8]) -> Vec<u8> {
    let specification = entry_with("sequence", b"1");
    [b"{\"metadata\":", metadata, b",\"specification\":", &specification, b"}"].concat()
}

/// Puts an odd entry between the names of the sound ones.
fn put_odd(store: &Store, part: RawPart, text: &[u8]) {
    store.put_raw("servers", "e-m", part, text);
}

/// Returns how many unreadable objects of a kind an instance has counted.
async fn unreadable(instance: &Instance, kind: &str) -> anyhow::Result<u64> {
    let name = format!("unreadable_objects_total{{kind=\"{kind}\"}}");
    metric(instance.addresses().metrics, &name).await
}

async fn until_ready(instance: &Instance) -> anyhow::Result<()> {
    let address = instance.addresses().ready;
    until("the instance is ready", async || {
        Ok(get_answer(address, "/nutmeggrade/readiness").await?.0 == 200)
    })
    .await
}

/// An odd entry comes while an instance runs; then another endpoint joins, and a further instance
/// starts.
fn others_hold_beside(part: RawPart, text: &[u8]) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-a", Behaviour::Answer).await?;
        put_odd(&site.store, part, text);
        site.add_endpoint("writers", "e-z", Behaviour::Answer).await?;
        assert_eq!(ask(&site, "once", "a1").await?.status, 200);
        let started = start_instance("i-2", &site.store_listener, "").await?;
        until_all_have([&started], "endpoints", 2).await?;
        until_all_have([&started], "config_version", 1).await?;
        until_ready(&started).await?;
        for instance in [&site.instance, &started] {
            until("the object is counted", async || {
                Ok(unreadable(instance, "endpoints").await? == 1)
            })
            .await?;
        }
        Ok(())
    });
}

// Guards against instances that stop following the endpoints, or don't become ready, because one
// entry can't be decoded.
cases! {others_hold_beside {
    levels_300: RawPart::Specification, &nested(300);
    levels_100_000: RawPart::Specification, &nested(DEEP);
    levels_200_in_a_further_field: RawPart::Specification, &entry_with("note", &nested(200));
    number_1e999: RawPart::Specification, &entry_with("sequence", b"1e999");
    number_of_400_digits: RawPart::Specification, &entry_with("sequence", &b"9".repeat(400));
    no_utf8: RawPart::Specification, &entry_with("version", b"\"\xff\"");
    lone_surrogate: RawPart::Specification, &entry_with("version", br#""\ud800""#);
    escape_that_is_not_allowed: RawPart::Specification, &entry_with("version", br#""\x41""#);
    control_character: RawPart::Specification, &entry_with("version", b"\"\x01\"");
    not_a_number: RawPart::Specification, &entry_with("sequence", b"NaN");
    port_out_of_range: RawPart::Specification, &entry_with("address", b"\"127.0.0.1:70000\"");
    port_negative: RawPart::Specification, &entry_with("address", b"\"127.0.0.1:-1\"");
    slots_negative: RawPart::Specification, &entry_with("slots", b"-1");
    born_fraction: RawPart::Specification, &entry_with("born", b"1.5");
    cold_time_negative: RawPart::Specification, &entry_with("cold_remaining_ms", b"-1");
    unknown_state: RawPart::Specification, &entry_with("state", b"\"resting\"");
    number_as_specification: RawPart::Specification, b"7";
    null_as_specification: RawPart::Specification, b"null";
    no_object: RawPart::Object, b"7";
    no_metadata: RawPart::Object, b"{}";
    metadata_of_another_type: RawPart::Object, &object_with(b"[]");
    no_name: RawPart::Object, &object_with(br#"{"revision":5,"created":5}"#);
    name_that_is_no_text: RawPart::Object, &object_with(b"{\"name\":\"e-\xff\",\"revision\":5}");
    name_with_a_lone_surrogate: RawPart::Object, &object_with(br#"{"name":"e-\ud800"}"#);
    name_of_another_type: RawPart::Object, &object_with(br#"{"name":7,"revision":5}"#);
    revision_out_of_range: RawPart::Object, &object_with(br#"{"name":"e-m","revision":1e999}"#);
    created_of_another_type: RawPart::Object, &object_with(br#"{"name":"e-m","created":"now"}"#);
    metadata_without_end: RawPart::Object,
        &object_with(&[b"{\"name\":\"e-m\",\"note\":", nested(DEEP).as_slice(), b",\"revision\":-1}"].concat());
}}

// Guards against an endpoint that is lost because another program wrote a status that can't be
// decoded, which no endpoint has.
#[test]
fn endpoint_with_an_unreadable_status_is_used() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let endpoint = site.add_endpoint("desk", "e-m", Behaviour::Answer).await?;
        put_odd(&site.store, RawPart::Status, &nested(DEEP));
        until("the status is counted", async || {
            Ok(unreadable(&site.instance, "endpoints").await? == 1)
        })
        .await?;
        let started = start_instance("i-2", &site.store_listener, "").await?;
        until_all_have([&site.instance, &started], "endpoints", 1).await?;
        assert_eq!(ask(&site, "once", "a1").await?.status, 200);
        assert_eq!(endpoint.runs("a1"), 1);
        Ok(())
    });
}

// Guards against requests to an endpoint whose entry was replaced by one that names no endpoint.
#[test]
fn endpoint_whose_entry_becomes_unreadable_is_not_used() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-a", Behaviour::Answer).await?;
        let replaced = site.add_endpoint("desk", "e-m", Behaviour::Answer).await?;
        put_odd(&site.store, RawPart::Specification, &nested(DEEP));
        site.until_metric("endpoints", 1).await?;
        for number in 0..8 {
            assert_eq!(ask(&site, "once", &format!("a{number}")).await?.status, 200);
        }
        assert!(replaced.seen().is_empty());
        let content = Entry::new("desk", replaced.address).content();
        site.store.put("servers", "e-m", content);
        site.until_metric("endpoints", 2).await
    });
}

/// The last object of a page has a name that has to be escaped, and more objects follow.
fn listing_continues_behind(name: &str) {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let entry = |n: u16| {
            let address = format!("127.0.0.1:{}", 20_000 + n).parse().expect("an address");
            Entry::new("desk", address).content()
        };
        // The fake store has three objects on a page.
        store.put("servers", "a-1", entry(1));
        store.put("servers", "a-2", entry(2));
        store.put("servers", name, entry(3));
        store.put("servers", "\u{10000}-4", entry(4));
        let text = object_with(br#"{"name":"z-5","revision":5,"created":5}"#);
        store.put_raw("servers", "\u{10ffff}", RawPart::Object, &text);
        let instance = start_instance("i-1", &store.open_listener().await?, "").await?;
        until_all_have([&instance], "endpoints", 3).await
    });
}

// Guards against a listing that ends, fails or begins anew behind a name that is no part of a query.
cases! {listing_continues_behind {
    space: "b c";
    slash: "b/c";
    percent_sign: "b%c";
    escaped_character: "b%41";
    quote: "b\"c";
    backslash: "b\\c";
    ampersand: "b&after=z";
    number_sign: "b#c";
    letters_that_are_not_ascii: "b\u{e9}\u{4e2d}\u{1f600}";
    line_break: "b\r\nc";
}}

/// The last object of a page can't be decoded, and more objects follow.
fn listing_continues_behind_unreadable(text: &[u8]) {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        let address = "127.0.0.1:9".parse()?;
        for name in ["e-a", "e-b", "e-x", "e-y", "e-z"] {
            store.put("servers", name, Entry::new("desk", address).content());
        }
        put_odd(&store, RawPart::Object, text);
        let instance = start_instance("i-1", &store.open_listener().await?, "").await?;
        until_all_have([&instance], "endpoints", 5).await
    });
}

// Guards against a listing that ends at an object that can't be decoded.
cases! {listing_continues_behind_unreadable {
    name_that_is_no_text: &object_with(b"{\"name\":\"e-m\xff\"}");
    name_with_a_lone_surrogate: &object_with(br#"{"name":"e-m\ud800"}"#);
    specification_without_end: &[b"{\"metadata\":{\"name\":\"e-m\"},\"specification\":", nested(DEEP).as_slice(), b"}"].concat();
    no_name: b"{}";
    no_object: b"NaN";
}}

// Guards against a listing that never ends, or fails, where no object of a page has a name.
#[test]
fn listing_ends_at_a_page_without_names() {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        for name in ["e-1", "e-2", "e-3", "e-4"] {
            store.put_raw("servers", name, RawPart::Object, b"{}");
        }
        let instance = start_instance("i-1", &store.open_listener().await?, "").await?;
        until_all_have([&instance], "config_version", 1).await?;
        until_ready(&instance).await
    });
}

// Guards against a log that repeats an unreadable object at each read, and a count that grows with
// the reads.
#[test]
fn unreadable_object_is_counted_once_per_revision() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        let counted = async || unreadable(&site.instance, "endpoints").await;
        put_odd(&site.store, RawPart::Specification, &nested(DEEP));
        until("the object is counted", async || Ok(counted().await? == 1)).await?;
        site.store.drop_history();
        site.add_endpoint("desk", "e-a", Behaviour::Answer).await?;
        assert_eq!(counted().await?, 1);
        put_odd(&site.store, RawPart::Specification, &nested(DEEP));
        until("the next revision is counted", async || Ok(counted().await? == 2)).await
    });
}

/// A peer hands on the endpoints that it has read beside this value of a field.
fn peer_hands_on(field: &str, value: &[u8]) {
    run(async {
        let store = Store::new();
        store.put("config", "main", RoutingPlan::default().content());
        for number in 0..6 {
            let address = format!("127.0.0.1:{}", 20_000 + number).parse()?;
            store.put("servers", &format!("e-{number}"), Entry::new("desk", address).content());
        }
        let store_listener = store.open_listener().await?;
        let first = start_instance("i-1", &store_listener, "").await?;
        until_all_have([&first], "endpoints", 6).await?;
        put_odd(&store, RawPart::Specification, &entry_with(field, value));
        let address = "127.0.0.1:9".parse()?;
        store.put("servers", "e-z", Entry::new("writers", address).content());
        until("the endpoint is listed", async || {
            Ok(metric(first.addresses().metrics, "endpoints").await? >= 7)
        })
        .await?;
        let path = "/known/endpoints?since=0";
        let body = get_bytes(first.addresses().control, path).await?;
        assert!(EndpointsReply::decode(&body).is_ok(), "{} bytes", body.len());
        let calls = store.calls();
        let member = start_member(&first, 2, &store_listener).await?;
        let expected = metric(first.addresses().metrics, "endpoints").await?;
        until_all_have([&member], "endpoints", expected).await?;
        assert!(store.calls() - calls < 30, "{} calls", store.calls() - calls);
        Ok(())
    });
}

// Guards against a peer that can't hand on any endpoint because one number is too large to send.
cases! {peer_hands_on {
    cold_time_1e19: "cold_remaining_ms", b"1e19";
    cold_time_1e21: "cold_remaining_ms", b"1e21";
    cold_time_1e300: "cold_remaining_ms", b"1e300";
    cold_time_of_20_digits: "cold_remaining_ms", b"18446744073709551615";
    born_of_20_digits: "born", b"18446744073709551615";
    slots_of_10_digits: "slots", b"4294967295";
}}

/// Evacuations of domains are read beside an odd one.
fn evacuation_holds_beside(part: RawPart, text: &[u8]) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-a", Behaviour::Answer).await?;
        site.store.put_raw("evacuations", "rhenen", part, text);
        site.store.put("evacuations", "veluwe", serde_json::json!({}));
        site.until_metric("endpoints", 0).await?;
        let started = start_instance("i-2", &site.store_listener, "").await?;
        until_all_have([&started], "config_version", 1).await?;
        until("the evacuation is counted", async || {
            Ok(unreadable(&started, "evacuations").await? == 1)
        })
        .await?;
        assert_eq!(metric(started.addresses().metrics, "endpoints").await?, 0);
        site.store.remove("evacuations", "veluwe");
        site.until_metric("endpoints", 1).await
    });
}

// Guards against work for a failure domain that is out because another entry can't be decoded.
cases! {evacuation_holds_beside {
    without_end: RawPart::Specification, &nested(DEEP);
    lone_surrogate: RawPart::Specification, br#""\ud800""#;
    number_out_of_range: RawPart::Specification, b"1e999";
    no_name: RawPart::Object, b"{}";
    name_that_is_no_text: RawPart::Object, &object_with(b"{\"name\":\"\xff\"}");
}}

// Guards against an evacuation that doesn't count because what it says besides its name can't be
// decoded.
#[test]
fn evacuation_needs_only_its_name() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-a", Behaviour::Answer).await?;
        site.store.put_raw("evacuations", "veluwe", RawPart::Specification, &nested(DEEP));
        site.until_metric("endpoints", 0).await?;
        site.store.remove("evacuations", "veluwe");
        site.until_metric("endpoints", 1).await
    });
}

/// The configuration is replaced by one that can't be decoded.
fn configuration_stays_in_force(part: RawPart, text: &[u8]) {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-a", Behaviour::Answer).await?;
        site.store.put_raw("config", "main", part, text);
        until("the configuration is counted", async || {
            Ok(unreadable(&site.instance, "config").await? == 1)
        })
        .await?;
        assert_eq!(ask(&site, "once", "a1").await?.status, 200);
        site.until_metric("config_version", 1).await?;
        site.store.put(
            "config",
            "main",
            RoutingPlan { version: 3, ..Default::default() }.content(),
        );
        site.until_metric("config_version", 3).await
    });
}

// Guards against an instance that stops following the configuration, or drops it, because a version
// can't be decoded.
cases! {configuration_stays_in_force {
    without_end: RawPart::Specification, &nested(DEEP);
    no_utf8: RawPart::Specification, b"{\"version\":2,\"routes\":\"\xff\"}";
    lone_surrogate: RawPart::Specification, br#"{"version":2,"routes":"\ud800"}"#;
    number_out_of_range: RawPart::Specification, br#"{"version":1e999}"#;
    another_type: RawPart::Specification, br#"{"version":2,"routes":7}"#;
    null: RawPart::Specification, b"null";
    no_object: RawPart::Object, b"NaN";
    no_metadata: RawPart::Object, br#"{"specification":{}}"#;
}}

// Guards against an order for a rollout that is never begun because another one can't be decoded.
#[test]
fn rollout_is_read_beside_an_unreadable_one() {
    run(async {
        let site = Site::start_rolling(&RoutingPlan::default()).await?;
        site.store.put_raw("rollouts", "a", RawPart::Specification, &nested(DEEP));
        site.store.put_raw("rollouts", "b", RawPart::Object, br#"{"metadata":{"name":"b\ud800"}}"#);
        let order = serde_json::json!({ "service": "desk", "to": "v2", "duration_s": 5 });
        site.store.put("rollouts", "desk", order);
        let metrics = site.instance.addresses().metrics;
        until("the rollout is known", async || {
            Ok(get(metrics, "/metrics").await?.contains("rollout_phase{service=\"desk\"}"))
        })
        .await?;
        until("both are counted", async || Ok(unreadable(&site.instance, "rollouts").await? == 2))
            .await
    });
}

// Guards against instances that don't serve after a start, because the configuration can't be decoded,
// beside others that have the last one in force.
#[test]
fn start_beside_peers_gets_the_configuration_in_force() {
    run(async {
        let site = Site::start(&RoutingPlan::default()).await?;
        site.add_endpoint("desk", "e-a", Behaviour::Answer).await?;
        site.store.put_raw("config", "main", RawPart::Specification, &nested(DEEP));
        until("the configuration is counted", async || {
            Ok(unreadable(&site.instance, "config").await? == 1)
        })
        .await?;
        let member = start_member(&site.instance, 2, &site.store_listener).await?;
        until_all_have([&member], "config_version", 1).await?;
        until_ready(&member).await?;
        let newest = RoutingPlan { version: 3, ..RoutingPlan::default() };
        site.store.put("config", "main", newest.content());
        until_all_have([&site.instance, &member], "config_version", 3).await
    });
}
