//! Queries over one instance, a zone or all reachable instances.

use std::cmp::Ordering;

use futures_util::future::join_all;
use rosemarypond_core::instance::{Instance, Stage};
use rosemarypond_core::language::{Comparison, Filter, Query, Scope, Table};
use rosemarypond_core::timeline::Stamp;
use serde_json::{Map, Value, json};

use super::{Api, ONLY_HERE, Operator, QUERY_PATH, Response};
use crate::platform::Listed;

/// The most rows that one instance returns.
pub const MAX_ROWS: usize = 10_000;

type Row = Map<String, Value>;

fn columns(table: Table) -> &'static [&'static str] {
    match table {
        Table::Requests | Table::Waiting | Table::Running => &[
            "instance", "zone", "request", "stage", "tier", "team", "service", "upstream", "age_ms",
        ],
        Table::Refused => &["instance", "zone", "tier", "outcome", "reason", "count"],
        Table::Tiers => &["instance", "zone", "tier", "offered", "good", "late"],
        Table::Upstreams => &[
            "instance", "zone", "upstream", "service", "state", "running", "limit", "lent",
            "borrowed",
        ],
        Table::Members => {
            &["instance", "zone", "member", "member_zone", "config", "draining", "heard_ms"]
        }
        Table::Config => &["instance", "zone", "version", "draining"],
        Table::Timeline => &["stamp", "instance", "zone", "subject", "event"],
    }
}

impl Api {
    pub(super) async fn query(
        &self,
        operator: &Operator,
        sentence: &str,
        query: Query,
        only_here: bool,
    ) -> Response {
        let columns = columns(query.table);
        let fields =
            query.filters.iter().map(|f| &f.field).chain(query.order.iter().map(|o| &o.field));
        if let Some(unknown) = { fields }.find(|field| !columns.contains(&field.as_str())) {
            let message =
                format!("There is no field '{unknown}'; expected one of {}.", columns.join(", "));
            return Response::error(400, message);
        }
        let mut rows = self.own_rows(&query);
        let mut silent = Vec::new();
        if !only_here && query.scope != Scope::Instance {
            let (more, missing) = self.rows_of_others(operator, sentence, query.scope).await;
            rows.extend(more);
            silent = missing;
        }
        if only_here {
            return Response::ok(json!({ "rows": rows }));
        }
        let rows = refine(rows, &query);
        let count = rows.len();
        let rows = if query.count { Vec::new() } else { rows };
        Response::ok(json!({ "columns": columns, "rows": rows, "count": count, "silent": silent }))
    }

    fn own_rows(&self, query: &Query) -> Vec<Row> {
        let rows = self.handle.ask(|instance, now| rows_of(instance, now, query.table, &self.own));
        rows.unwrap_or_default()
    }

    async fn rows_of_others(
        &self,
        operator: &Operator,
        sentence: &str,
        scope: Scope,
    ) -> (Vec<Row>, Vec<String>) {
        let in_scope = |l: &Listed| scope == Scope::All || l.zone == self.own.zone;
        let others: Vec<_> = self.others().into_iter().filter(in_scope).collect();
        let path = format!("{QUERY_PATH}?{ONLY_HERE}");
        let fetch_rows = async |to: &Listed| {
            let response = self.forward(operator, to, &path, sentence).await?;
            let rows = response.body.get("rows")?.clone();
            serde_json::from_value::<Vec<Row>>(rows).ok()
        };
        let answers = join_all(others.iter().map(fetch_rows)).await;
        let mut rows = Vec::new();
        let mut silent = Vec::new();
        for (to, answer) in others.iter().zip(answers) {
            match answer {
                Some(more) => rows.extend(more),
                None => silent.push(to.instance.to_string()),
            }
        }
        (rows, silent)
    }
}

fn rows_of(instance: &Instance, now: std::time::Instant, table: Table, own: &Listed) -> Vec<Row> {
    let rows = match table {
        Table::Requests => request_rows(instance, now, None),
        Table::Waiting => request_rows(instance, now, Some(Stage::Waiting)),
        Table::Running => request_rows(instance, now, Some(Stage::Running)),
        Table::Refused => refused_rows(instance),
        Table::Tiers => tier_rows(instance),
        Table::Upstreams => upstream_rows(instance, now),
        Table::Members => member_rows(instance, now),
        Table::Config => {
            vec![json!({ "version": instance.config().0, "draining": instance.is_draining() })]
        }
        Table::Timeline => timeline_rows(instance),
    };
    let add_origin = |mut row: Value| {
        row["instance"] = json!(own.instance);
        row["zone"] = json!(own.zone);
        row.as_object().cloned().unwrap_or_default()
    };
    rows.into_iter().take(MAX_ROWS).map(add_origin).collect()
}

fn tier_name(instance: &Instance, rank: u8) -> String {
    let (_, document) = instance.config();
    let tier = document.tiers.get(usize::from(rank));
    tier.map_or_else(|| format!("rank-{rank}"), |t| t.id.to_string())
}

fn request_rows(instance: &Instance, now: std::time::Instant, stage: Option<Stage>) -> Vec<Value> {
    let rows = instance.rows(now).into_iter();
    let selected = rows.filter(|row| stage.is_none_or(|s| s == row.stage));
    selected
        .map(|row| {
            json!({
                "request": row.request.to_string(),
                "stage": stage_name(row.stage),
                "tier": tier_name(instance, row.rank),
                "team": row.team,
                "service": row.service,
                "upstream": row.upstream,
                "age_ms": row.age.as_millis() as u64,
            })
        })
        .collect()
}

fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Waiting => "waiting",
        Stage::Running => "running",
        Stage::Ending => "ending",
    }
}

fn refused_rows(instance: &Instance) -> Vec<Value> {
    let refused = instance.counters().refused.iter();
    refused
        .map(|((rank, outcome, reason), count)| {
            json!({
                "tier": tier_name(instance, *rank),
                "outcome": outcome.as_str(),
                "reason": reason.as_str(),
                "count": count,
            })
        })
        .collect()
}

fn tier_rows(instance: &Instance) -> Vec<Value> {
    let counters = instance.counters();
    let count = |counts: &std::collections::BTreeMap<u8, u64>, rank| {
        counts.get(&rank).copied().unwrap_or(0)
    };
    let ranks = counters.offered.keys().copied();
    ranks
        .map(|rank| {
            json!({
                "tier": tier_name(instance, rank),
                "offered": count(&counters.offered, rank),
                "good": count(&counters.good, rank),
                "late": count(&counters.late, rank),
            })
        })
        .collect()
}

fn upstream_rows(instance: &Instance, now: std::time::Instant) -> Vec<Value> {
    let state = |e: &rosemarypond_core::engine::Engine| match (
        e.leaving || e.entry.leaving,
        e.is_open(now),
    ) {
        (true, _) => "leaving",
        (false, true) => "open",
        (false, false) => "paused",
    };
    instance
        .engines()
        .map(|e| {
            json!({
                "upstream": e.entry.id,
                "service": e.entry.service,
                "state": state(e),
                "running": e.running,
                "limit": e.limit(),
                "lent": e.lent,
                "borrowed": e.borrowed,
            })
        })
        .collect()
}

fn member_rows(instance: &Instance, now: std::time::Instant) -> Vec<Value> {
    let peers = instance.members().iter();
    peers
        .map(|(id, peer)| {
            json!({
                "member": id,
                "member_zone": peer.zone,
                "config": peer.heartbeat.config,
                "draining": peer.heartbeat.draining,
                "heard_ms": now.saturating_duration_since(peer.last_received).as_millis() as u64,
            })
        })
        .collect()
}

fn timeline_rows(instance: &Instance) -> Vec<Value> {
    let ring = instance.ring();
    let row = |event: &rosemarypond_core::timeline::Event| {
        json!({
            "stamp": event.stamp.to_string(),
            "subject": event.subject.to_string(),
            "event": event.description,
        })
    };
    let first = ring.iter().next().map(|event| event.stamp.to_string());
    let gap = (ring.dropped() > 0).then(|| {
        let description = format!("{} earlier events were dropped", ring.dropped());
        json!({ "stamp": first, "subject": "gap", "event": description })
    });
    gap.into_iter().chain(ring.iter().map(row)).collect()
}

/// Applies the filters, the order and the limit of a query.
fn refine(mut rows: Vec<Row>, query: &Query) -> Vec<Row> {
    rows.retain(|row| query.filters.iter().all(|filter| matches(row, filter)));
    if let Some(order) = &query.order {
        rows.sort_by(|a, b| compare(a.get(&order.field), b.get(&order.field)));
        if order.descending {
            rows.reverse();
        }
    } else if query.table == Table::Timeline {
        rows.sort_by_key(timeline_order);
    }
    rows.truncate(query.limit.unwrap_or(usize::MAX));
    rows
}

/// Events of instances that had not heard of each other may have the same timestamp; the
/// name of the instance orders these.
fn timeline_order(row: &Row) -> (Stamp, String) {
    let text = |key| row.get(key).and_then(Value::as_str).unwrap_or_default();
    (text("stamp").parse().unwrap_or_default(), text("instance").to_owned())
}

fn matches(row: &Row, filter: &Filter) -> bool {
    let found = row.get(&filter.field);
    let text = match found {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    };
    let numbers = || Some((text.parse::<f64>().ok()?, filter.value.parse::<f64>().ok()?));
    match filter.comparison {
        Comparison::Is => text == filter.value,
        Comparison::IsNot => text != filter.value,
        Comparison::Above => numbers().is_some_and(|(found, value)| found > value),
        Comparison::Below => numbers().is_some_and(|(found, value)| found < value),
    }
}

fn compare(a: Option<&Value>, b: Option<&Value>) -> Ordering {
    let number = |value: Option<&Value>| value.and_then(Value::as_f64);
    match (number(a), number(b)) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        _ => a.map(Value::to_string).cmp(&b.map(Value::to_string)),
    }
}
