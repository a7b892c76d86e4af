//! Who asks the shared store, and what the others hear.

use std::time::Duration;

use rosemarypond_core::config::Version;
use rosemarypond_core::entry::gossip::Gossip;
use rosemarypond_core::entry::scheduler::{Action, Event};
use rosemarypond_core::entry::watermark::{POLLERS_PER_ZONE, Watermark};

use crate::site::{Site, cases, ms, name};

const INSTANCES: usize = 30;

fn instance(place: usize) -> String {
    format!("i{place}")
}

/// Lets an instance hear the peers at these places.
fn hear(site: &mut Site, places: impl IntoIterator<Item = usize>, sequence: u64) {
    for place in places {
        let gossip = site.gossip(&instance(place), sequence);
        site.handle(Event::Received(gossip));
    }
}

fn lookouts(sites: &[Site]) -> Vec<usize> {
    let is_poller = |place: &usize| sites[*place].scheduler.is_poller();
    (0..sites.len()).filter(is_poller).collect()
}

fn few_of_many_ask(_site: Site) {
    let mut sites: Vec<_> = (0..INSTANCES).map(|place| Site::named(&instance(place))).collect();
    for (place, site) in sites.iter_mut().enumerate() {
        hear(site, (0..INSTANCES).filter(|peer| *peer != place), 1);
    }
    let first = lookouts(&sites);
    assert_eq!(first.len(), POLLERS_PER_ZONE);
    // They fall silent: others take their place.
    for (place, site) in sites.iter_mut().enumerate() {
        site.pass(Duration::from_secs(2));
        hear(site, (0..INSTANCES).filter(|peer| *peer != place && !first.contains(peer)), 2);
        site.pass(ms(20));
    }
    let others: Vec<_> = lookouts(&sites).into_iter().filter(|p| !first.contains(p)).collect();
    assert_eq!(others.len(), POLLERS_PER_ZONE);
}

fn all_of_few_ask(mut site: Site) {
    hear(&mut site, 0..7, 1);
    assert!(site.scheduler.is_poller());
}

/// What an instance hears from one peer it tells the others at once.
fn news_are_passed_on(mut site: Site) {
    let news =
        Watermark { plan: Version(3), plan_at: ms(5_000), directory: 7, directory_at: ms(4_000) };
    let gossip = Gossip { watermark: news, ..site.gossip("a2", 1) };
    site.scheduler.handle(site.now, Event::Received(gossip.clone()));
    let noted = |actions: Vec<Action>| {
        let note = |action: &Action| match action {
            Action::UpdateWatermark(news) => Some(*news),
            _ => None,
        };
        actions.iter().find_map(note)
    };
    assert_eq!(noted(site.scheduler.take_actions()), Some(news));
    // An older message of another peer changes nothing.
    let old = Watermark { plan: Version(2), plan_at: ms(9_000), ..news };
    let gossip = Gossip { from: name("a3"), watermark: old, ..gossip };
    site.scheduler.handle(site.now, Event::Received(gossip));
    assert_eq!(noted(site.scheduler.take_actions()), None);
    site.now += ms(50);
    site.scheduler.handle(site.now, Event::Tick);
    let told = |action: &Action| matches!(action, Action::SendGossip { gossip, .. } if gossip.watermark == news);
    assert!(site.scheduler.take_actions().iter().any(told));
}

cases! {
    few_of_many_instances_ask_the_store => few_of_many_ask;
    all_of_few_instances_ask_the_store => all_of_few_ask;
    news_of_one_peer_reach_the_others => news_are_passed_on;
}
