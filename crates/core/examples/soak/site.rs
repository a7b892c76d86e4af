//! The simulated site: three zones with two instances, two engines and a plain
//! service each.

use rosemarypond_core::config::{Document, Kind, Tier, Upstream};
use rosemarypond_core::id;

use crate::support::engine::Speed;
use crate::support::world::World;

pub const ZONES: [&str; 3] = ["accra-a", "accra-b", "accra-c"];
pub const MODELS: &str = "scribe-llm";
pub const ORDERS: &str = "orders-app";

fn parse<T: std::str::FromStr<Err = id::Error>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("a valid id")
}

fn upstreams() -> Vec<(Upstream, Speed)> {
    let fast = Speed { prefill_per_s: 8_000.0, token_ms: 15.0, slots: 6, cached_blocks: 200 };
    let slow = Speed { prefill_per_s: 3_000.0, token_ms: 40.0, slots: 4, cached_blocks: 100 };
    let plain = Speed { prefill_per_s: 1e6, token_ms: 5.0, slots: 4, cached_blocks: 0 };
    let kinds = [("fast", fast, MODELS), ("slow", slow, MODELS), ("orders", plain, ORDERS)];
    let of_zone = |zone: &str| {
        kinds.map(|(name, speed, service)| {
            let entry = Upstream {
                id: parse(format!("{zone}-{name}")),
                service: parse(service),
                zone: parse(zone),
                address: "127.0.0.1:1".parse().expect("an address"),
                kind: if service == MODELS { Kind::Engine } else { Kind::Plain },
                slots: speed.slots as u32,
                leaving: false,
            };
            (entry, speed)
        })
    };
    ZONES.iter().flat_map(|zone| of_zone(zone)).collect()
}

pub fn document() -> Document {
    let tier = |(name, deadline_ms): (&str, u64)| Tier { id: parse(name), deadline_ms };
    Document {
        tiers: [("proof", 20_000), ("draft", 30_000), ("status", 30_000)].map(tier).to_vec(),
        upstreams: upstreams().into_iter().map(|(entry, _)| entry).collect(),
        ..Document::default()
    }
}

pub fn build(world: &mut World) {
    for (entry, speed) in upstreams() {
        world.add_engine(&entry, speed);
    }
    world.put_config(document());
    for zone in ZONES {
        for index in 0..2 {
            world.add_node(&format!("{zone}-{index}"), &parse(zone));
        }
    }
}
