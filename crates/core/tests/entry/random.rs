//! Random runs, checked against the scheduler's invariants.

use proptest::prelude::*;
use rosemarypond_core::entry::call::{Call, Ended, Repeat};
use rosemarypond_core::entry::scheduler::{Action, Event};
use rosemarypond_core::entry::upstream::Registration;

use crate::site::{Site, WHOLE, ms, name, registration};

/// A step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Arrive { repeat: u8, attempts: u32, urgency: u8 },
    End { index: usize, how: u8 },
    Leave(usize),
    Register { upstream: u8, leaving: bool },
    Deregister(u8),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, 1..4u32, 0..3u8)
            .prop_map(|(repeat, attempts, urgency)| Step::Arrive { repeat, attempts, urgency }),
        6 => (0..40usize, 0..7u8).prop_map(|(index, how)| Step::End { index, how }),
        1 => (0..40usize).prop_map(Step::Leave),
        2 => (0..4u8, any::<bool>())
            .prop_map(|(upstream, leaving)| Step::Register { upstream, leaving }),
        1 => (0..4u8).prop_map(Step::Deregister),
        3 => (1..900u64).prop_map(Step::Advance),
    ]
}

/// What the test has observed of one request.
#[derive(Debug)]
struct Observed {
    repeat: Repeat,
    max_attempts: u32,
    sends: u32,
    may_have_run: bool,
    is_running: bool,
    has_ended: bool,
}

/// Checks each action against what was observed before.
fn check(actions: &[Action], observed: &mut [Observed], leaving: &[bool; 4]) {
    for action in actions {
        match action {
            Action::Send { request, upstream, .. } => {
                let request = &mut observed[request.0 as usize];
                assert!(!request.has_ended && !request.is_running);
                assert!(!request.may_have_run || request.repeat.may_run_again());
                request.sends += 1;
                request.is_running = true;
                assert!(request.sends <= request.max_attempts);
                let index: usize =
                    upstream.id.as_str()[1..].parse().expect("the name ends with a number");
                assert!(!leaving[index], "sent to {}, which is leaving", upstream.id);
            }
            Action::Refuse { request, .. } => {
                let request = &mut observed[request.0 as usize];
                assert!(!request.has_ended && !request.is_running);
                request.has_ended = true;
            }
            Action::Delegate { request, .. } => {
                panic!("{request} was delegated, and there is no peer");
            }
            Action::ReportQuarantine(_)
            | Action::Probe(_)
            | Action::ReadBaselines
            | Action::ReadStreams
            | Action::RecordStreams(_)
            | Action::ReportSpill(_)
            | Action::SetBaseline(_)
            | Action::ReadRollouts
            | Action::WriteRollout(_)
            | Action::ReportRollout { .. }
            | Action::ReportCondemned { .. }
            | Action::UpdateWatermark(_)
            | Action::SendGossip { .. } => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// For any sequence of events: no request is sent again that may have run
    /// and must run once, nor beyond its attempts, after its end, or to an
    /// upstream that is leaving.
    #[test]
    fn invariants_hold_in_random_runs(steps in prop::collection::vec(step(), 1..200)) {
        let mut site = Site::new();
        let mut observed: Vec<Observed> = Vec::new();
        let mut leaving = [true; 4];
        for step in steps {
            let actions = match step {
                Step::Arrive { repeat, attempts, urgency } => {
                    let repeat = [Repeat::Once, Repeat::Idempotent, Repeat::Resumable]
                        [usize::from(repeat)];
                    let id = observed.len() as u64;
                    observed.push(Observed { repeat, max_attempts: attempts, sends: 0,
                        may_have_run: false, is_running: false, has_ended: false });
                    let call = Call { repeat, max_attempts: attempts, urgency, ..site.call(id) };
                    site.arrive(call)
                }
                Step::End { index, how } => {
                    let mut running = observed.iter_mut().enumerate().filter(|(_, s)| s.is_running);
                    let Some((id, request)) = running.nth(index % 4) else { continue };
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
                    request.has_ended |= matches!(how, Ended::Whole { .. });
                    site.end(id as u64, how)
                }
                Step::Leave(index) => {
                    let Some(request) = observed.get_mut(index) else { continue };
                    if request.has_ended { continue }
                    request.has_ended = true;
                    request.is_running = false;
                    site.end(index as u64, Ended::Abandoned)
                }
                Step::Register { upstream, leaving: is_leaving } => {
                    leaving[usize::from(upstream)] = is_leaving;
                    let name = format!("e{upstream}");
                    site.handle(Event::Registered(Registration {
                        leaving: is_leaving,
                        ..registration(&name, 2)
                    }))
                }
                Step::Deregister(upstream) => {
                    leaving[usize::from(upstream)] = true;
                    site.handle(Event::Deregistered(name(&format!("e{upstream}"))))
                }
                Step::Advance(time) => site.advance(ms(time)),
            };
            check(&actions, &mut observed, &leaving);
        }
        // No request waits forever.
        for _ in 0..20 {
            let actions = site.advance(ms(500));
            check(&actions, &mut observed, &leaving);
        }
        prop_assert!(observed.iter().all(|s| s.has_ended || s.is_running));
    }
}
