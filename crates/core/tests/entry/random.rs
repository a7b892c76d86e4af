//! Random runs, checked against the promises.

use proptest::prelude::*;
use rosemarypond_core::entry::call::{Call, Ended, Repeat};
use rosemarypond_core::entry::scheduler::{Action, Event};
use rosemarypond_core::entry::upstream::Registration;

use crate::site::{Site, WHOLE, listed, ms, name};

/// A step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Arrive { repeat: u8, attempts: u32, urgency: u8 },
    End { place: usize, how: u8 },
    Leave(usize),
    List { upstream: u8, leaving: bool },
    Unlist(u8),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, 1..4u32, 0..3u8)
            .prop_map(|(repeat, attempts, urgency)| Step::Arrive { repeat, attempts, urgency }),
        6 => (0..40usize, 0..7u8).prop_map(|(place, how)| Step::End { place, how }),
        1 => (0..40usize).prop_map(Step::Leave),
        2 => (0..4u8, any::<bool>())
            .prop_map(|(upstream, leaving)| Step::List { upstream, leaving }),
        1 => (0..4u8).prop_map(Step::Unlist),
        3 => (1..900u64).prop_map(Step::Pass),
    ]
}

/// What is known from outside of one request.
#[derive(Debug)]
struct Seen {
    repeat: Repeat,
    max_attempts: u32,
    sends: u32,
    may_have_run: bool,
    is_running: bool,
    is_over: bool,
}

/// Checks each action against what was seen before.
fn check(actions: &[Action], seen: &mut [Seen], leaving: &[bool; 4]) {
    for action in actions {
        match action {
            Action::Send { request, upstream, .. } => {
                let request = &mut seen[request.0 as usize];
                assert!(!request.is_over && !request.is_running);
                assert!(!request.may_have_run || request.repeat.may_run_again());
                request.sends += 1;
                request.is_running = true;
                assert!(request.sends <= request.max_attempts);
                let place: usize = upstream.id.as_str()[1..].parse().expect("a number");
                assert!(!leaving[place], "sent to {}, which is leaving", upstream.id);
            }
            Action::Refuse { request, .. } => {
                let request = &mut seen[request.0 as usize];
                assert!(!request.is_over && !request.is_running);
                request.is_over = true;
            }
            Action::UpdateWatermark(_) | Action::SendGossip { .. } => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever happens in whatever order: nothing is sent twice that may have
    /// run once, beyond its attempts, after its end, or to who is leaving.
    #[test]
    fn promises_hold_in_random_runs(steps in prop::collection::vec(step(), 1..200)) {
        let mut site = Site::new();
        let mut seen: Vec<Seen> = Vec::new();
        let mut leaving = [true; 4];
        for step in steps {
            let actions = match step {
                Step::Arrive { repeat, attempts, urgency } => {
                    let repeat = [Repeat::Once, Repeat::Idempotent, Repeat::Resumable]
                        [usize::from(repeat)];
                    let id = seen.len() as u64;
                    seen.push(Seen { repeat, max_attempts: attempts, sends: 0,
                        may_have_run: false, is_running: false, is_over: false });
                    let call = Call { repeat, max_attempts: attempts, urgency, ..site.call(id) };
                    site.arrive(call)
                }
                Step::End { place, how } => {
                    let mut running = seen.iter_mut().enumerate().filter(|(_, s)| s.is_running);
                    let Some((id, request)) = running.nth(place % 4) else { continue };
                    request.is_running = false;
                    let how = match how {
                        0 => WHOLE,
                        1 => { request.sends -= 1; Ended::NotSent }
                        2 => Ended::NotRun { misdirected: false },
                        3 => Ended::NotRun { misdirected: true },
                        4 => Ended::Failed,
                        _ => Ended::Broken,
                    };
                    request.may_have_run |= matches!(how, Ended::Failed | Ended::Broken);
                    request.is_over |= matches!(how, Ended::Whole { .. });
                    site.end(id as u64, how)
                }
                Step::Leave(place) => {
                    let Some(request) = seen.get_mut(place) else { continue };
                    if request.is_over { continue }
                    request.is_over = true;
                    request.is_running = false;
                    site.end(place as u64, Ended::Abandoned)
                }
                Step::List { upstream, leaving: is_leaving } => {
                    leaving[usize::from(upstream)] = is_leaving;
                    let name = format!("e{upstream}");
                    site.handle(Event::Registered(Registration { leaving: is_leaving, ..listed(&name, 2) }))
                }
                Step::Unlist(upstream) => {
                    leaving[usize::from(upstream)] = true;
                    site.handle(Event::Deregistered(name(&format!("e{upstream}"))))
                }
                Step::Pass(time) => site.pass(ms(time)),
            };
            check(&actions, &mut seen, &leaving);
        }
        // Nothing waits for ever.
        for _ in 0..20 {
            let actions = site.pass(ms(500));
            check(&actions, &mut seen, &leaving);
        }
        prop_assert!(seen.iter().all(|s| s.is_over || s.is_running));
    }
}
