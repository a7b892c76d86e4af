//! Which instances poll the shared store, and how its watermark is passed on.

use std::time::Duration;

use rosemarypond_core::config::Version;
use rosemarypond_core::entry::gossip::Gossip;
use rosemarypond_core::entry::scheduler::{Action, Event};
use rosemarypond_core::entry::watermark::{Era, POLLERS_PER_ZONE, Watermark};

use crate::site::{Site, cases, ms, name};

const INSTANCES: usize = 30;

fn instance(index: usize) -> String {
    format!("i{index}")
}

/// Lets an instance receive gossip of the peers with these indices.
fn receive(site: &mut Site, indices: impl IntoIterator<Item = usize>, sequence: u64) {
    for index in indices {
        let gossip = site.gossip(&instance(index), sequence);
        site.handle(Event::Received(Box::new(gossip)));
    }
}

fn pollers(sites: &[Site]) -> Vec<usize> {
    let is_poller = |index: &usize| sites[*index].scheduler.is_poller();
    (0..sites.len()).filter(is_poller).collect()
}

fn few_of_many_poll(_site: Site) {
    let mut sites: Vec<_> = (0..INSTANCES).map(|index| Site::named(&instance(index))).collect();
    for (index, site) in sites.iter_mut().enumerate() {
        receive(site, (0..INSTANCES).filter(|peer| *peer != index), 1);
    }
    let first = pollers(&sites);
    assert_eq!(first.len(), POLLERS_PER_ZONE);
    // The pollers fall silent: others replace them.
    for (index, site) in sites.iter_mut().enumerate() {
        site.advance(Duration::from_secs(2));
        receive(site, (0..INSTANCES).filter(|peer| *peer != index && !first.contains(peer)), 2);
        site.advance(ms(20));
    }
    let others: Vec<_> = pollers(&sites).into_iter().filter(|p| !first.contains(p)).collect();
    assert_eq!(others.len(), POLLERS_PER_ZONE);
}

fn all_of_few_poll(mut site: Site) {
    receive(&mut site, 0..7, 1);
    assert!(site.scheduler.is_poller());
}

/// A watermark received from one peer is sent to the others with the next message.
fn watermark_is_passed_on(mut site: Site) {
    let watermark = Watermark {
        era: Era(1),
        plan: Version(3),
        plan_at: ms(5_000),
        directory: 7,
        directory_at: ms(4_000),
    };
    let gossip = Gossip { watermark, ..site.gossip("a2", 1) };
    site.scheduler.handle(site.now, Event::Received(Box::new(gossip.clone())));
    let updated = |actions: Vec<Action>| {
        let update = |action: &Action| match action {
            Action::UpdateWatermark(watermark) => Some(*watermark),
            _ => None,
        };
        actions.iter().find_map(update)
    };
    assert_eq!(updated(site.scheduler.take_actions()), Some(watermark));
    // An older version from another peer changes nothing.
    let old = Watermark { plan: Version(2), plan_at: ms(9_000), ..watermark };
    let gossip = Gossip { from: name("a3"), watermark: old, ..gossip };
    site.scheduler.handle(site.now, Event::Received(Box::new(gossip)));
    assert_eq!(updated(site.scheduler.take_actions()), None);
    site.now += ms(50);
    site.scheduler.handle(site.now, Event::Tick);
    let is_sent = |action: &Action| {
        matches!(action,
            Action::SendGossip { gossip, .. } if gossip.watermark == watermark)
    };
    assert!(site.scheduler.take_actions().iter().any(is_sent));
}

/// The store came back from an older copy: the newest plan stays known, but no time
/// and no version of the directory of the era before counts.
fn new_era(mut site: Site) {
    let old = Watermark {
        era: Era(1),
        plan: Version(9),
        plan_at: ms(5_000),
        directory: 70,
        directory_at: ms(5_000),
    };
    site.handle(Event::StoreRead(old));
    // Learnt from a peer first.
    let copy = Watermark {
        era: Era(2),
        plan: Version(8),
        plan_at: ms(200),
        directory: 40,
        directory_at: ms(200),
    };
    let gossip = Gossip { watermark: copy, ..site.gossip("a2", 1) };
    site.handle(Event::Received(Box::new(gossip)));
    let known = Watermark { plan: Version(9), plan_at: ms(0), ..copy };
    assert_eq!(site.scheduler.watermark(), known);
    // What a peer still knows of the era before changes nothing, but for a newer
    // plan that it read there.
    let late = Watermark { plan: Version(10), plan_at: ms(9_000), directory: 90, ..old };
    let gossip = Gossip { watermark: late, ..site.gossip("a3", 1) };
    site.handle(Event::Received(Box::new(gossip)));
    let known = Watermark { plan: Version(10), ..known };
    assert_eq!(site.scheduler.watermark(), known);
    // A peer of an older build states no era.
    let unknown = Watermark { era: Era(0), plan: Version(3), ..late };
    let gossip = Gossip { watermark: unknown, ..site.gossip("a4", 1) };
    site.handle(Event::Received(Box::new(gossip)));
    assert_eq!(site.scheduler.watermark(), known);
    // Twice in a row.
    site.handle(Event::StoreRead(Watermark { era: Era(3), ..copy }));
    assert_eq!(
        (site.scheduler.watermark().era, site.scheduler.watermark().directory),
        (Era(3), 40)
    );
    assert_eq!(site.scheduler.watermark().plan, Version(10));
}

cases! {
    watermark_of_an_era_before_does_not_count => new_era;
    few_of_many_instances_poll_the_store => few_of_many_poll;
    all_of_few_instances_poll_the_store => all_of_few_poll;
    watermark_of_a_peer_is_passed_on => watermark_is_passed_on;
}
