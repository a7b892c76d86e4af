//! Single requests end to end through real processes.

mod support;

use support::{OTHER_TEAM, Site, TEAM, complete, get, prompt, send};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

fn streams_a_whole_answer() {
    let site = Site::start(&["accra-a"]);
    let answer = complete(site.daemons[0].http, TEAM, &prompt("In memory of Efua", 8, true));
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.matches("data: {").count(), 8);
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
    assert!(answer.header("x-request-id").is_some());
}

fn forwards_an_unstreamed_answer() {
    let site = Site::start(&["accra-b"]);
    let answer = complete(site.daemons[0].http, TEAM, &prompt("In memory of Efua", 4, false));
    let answer = answer.expect("an answer");
    assert_eq!(answer.json()["choices"][0]["message"]["content"], "In memory of Efua");
}

fn runs_a_keyed_order_once_over_two_zones() {
    let site = Site::start(&["accra-a", "accra-b"]);
    let first = site.order(0, "order-1").expect("an answer");
    assert_eq!(first.status, 200);
    site.wait_until("the retry gets the stored answer", |site| {
        site.order(1, "order-1").is_some_and(|a| a.status == 200 && a.body == first.body)
    });
    assert_eq!(site.runs("order-1"), 1);
}

/// A keyed answer stays in memory only until it is written to the table.
fn frees_stored_answers() {
    let site = Site::start(&["accra-a"]);
    for key in ["order-4", "order-5"] {
        assert_eq!(site.order(0, key).expect("an answer").status, 200);
    }
    site.wait_until("no answer is left in memory", |site| {
        let metrics = get(site.daemons[0].http, "/metrics", None).expect("an answer").body;
        metrics.contains("rosemarypond_kept_answers 0")
    });
}

fn refuses_a_key_with_another_body() {
    let site = Site::start(&["accra-a"]);
    assert_eq!(site.order(0, "order-2").expect("an answer").status, 200);
    let bearer = format!("Bearer {TEAM}");
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", "order-2")];
    let other = send("POST", site.daemons[0].http, "/orders/new", &headers, "{}");
    let other = other.expect("an answer");
    assert_eq!((other.status, other.outcome().as_str()), (422, "unknown"));
    assert_eq!(site.runs("order-2"), 1);
}

fn keeps_the_keys_of_teams_apart() {
    let site = Site::start(&["accra-a"]);
    assert_eq!(site.order(0, "order-3").expect("an answer").status, 200);
    let bearer = format!("Bearer {OTHER_TEAM}");
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", "order-3")];
    let other = send("POST", site.daemons[0].http, "/orders/new", &headers, "{}");
    assert_eq!(other.expect("an answer").status, 200);
    assert_eq!(site.runs("order-3"), 2);
}

fn refuses_unknown_credentials_and_paths() {
    let site = Site::start(&["accra-a"]);
    let to = site.daemons[0].http;
    assert_eq!(get(to, "/orders/1", Some("guess")).expect("an answer").status, 401);
    let unrouted = get(to, "/nowhere", Some(TEAM)).expect("an answer");
    assert_eq!((unrouted.status, unrouted.outcome().as_str()), (404, "not-run"));
    let wrong = complete(to, TEAM, "{").expect("an answer");
    assert_eq!((wrong.status, wrong.outcome().as_str()), (400, "not-run"));
}

fn answers_operators_and_monitors() {
    let site = Site::start(&["accra-a", "accra-b"]);
    let counted = |site: &Site| site.operate(0, "/operator/query", "count config").json();
    site.wait_until("both instances answer", |site| counted(site)["count"] == 2);
    let wrong = site.operate(0, "/operator/query", "show widows");
    assert_eq!(wrong.status, 400);
    assert!(wrong.body.contains("column 6"), "{}", wrong.body);
    let metrics = get(site.daemons[0].http, "/metrics", None).expect("an answer").body;
    assert!(metrics.contains("rosemarypond_config_version 1"), "{metrics}");
}

cases! {
    answer_is_streamed_whole => streams_a_whole_answer();
    unstreamed_answer_is_forwarded => forwards_an_unstreamed_answer();
    keyed_order_runs_once_across_zones => runs_a_keyed_order_once_over_two_zones();
    stored_answers_are_freed => frees_stored_answers();
    key_with_another_body_is_refused => refuses_a_key_with_another_body();
    teams_have_separate_keys => keeps_the_keys_of_teams_apart();
    bad_requests_are_refused => refuses_unknown_credentials_and_paths();
    operators_and_monitors_are_answered => answers_operators_and_monitors();
}
