//! Model check of the claim protocol: explores every interleaving of a few
//! requests with one key, with late and lost messages, crashes, pauses and
//! refusals at any time.

use pathfinding::directed::bfs::bfs_reach;
use rosemarypond_core::claim::{Claim, Ended, Read, Record, State, Step, Verdict, Version, Write};
use rosemarypond_core::outcome::{Outcome, Reason};

/// A fault in the protocol, to show that the search finds violations.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Flaw {
    None,
    /// The table ignores the expected version of a write.
    UnconditionalWrite,
    /// A refusal answers "not run" without closing the key.
    OpenRefusal,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    ReadRequest,
    WriteRequest { expected: Version, state: u8, nonce: u64 },
    ReadAnswer { version: Version, state: u8, nonce: u64 },
    WriteAnswer { version: Version },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Actor {
    claim: Claim,
    is_alive: bool,
    /// Whether it is to dispatch its request but has not sent the first byte yet.
    is_sending: bool,
    is_running: bool,
    in_flight: Vec<Message>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Model {
    flaw: Flaw,
    row: Option<(Version, Record)>,
    actors: Vec<Actor>,
    requests_left: u8,
    losses_left: u8,
    crashes_left: u8,
    runs: u8,
    answered_not_run: bool,
    answered_ran: bool,
}

const STATES: [State; 3] = [State::Dispatched, State::Done, State::Closed];

fn code(state: State) -> u8 {
    STATES.iter().position(|s| *s == state).expect("every state is listed") as u8
}

fn record(state: u8, nonce: u64) -> Record {
    Record { state: STATES[usize::from(state)], nonce, fingerprint: 0 }
}

impl Model {
    fn new(flaw: Flaw, requests: u8, losses: u8, crashes: u8) -> Self {
        Self {
            flaw,
            row: None,
            actors: Vec::new(),
            requests_left: requests,
            losses_left: losses,
            crashes_left: crashes,
            runs: 0,
            answered_not_run: false,
            answered_ran: false,
        }
    }

    fn violates_invariant(&self) -> bool {
        self.runs > 1
            || (self.runs > 0 && self.answered_not_run)
            || (self.runs == 0 && self.answered_ran)
    }

    fn perform(&mut self, actor_index: usize, step: Step) {
        match step {
            Step::Read => self.actors[actor_index].in_flight.push(Message::ReadRequest),
            Step::Write { expected, record } => {
                let (state, nonce) = (code(record.state), record.nonce);
                self.actors[actor_index].in_flight.push(Message::WriteRequest {
                    expected,
                    state,
                    nonce,
                });
            }
            Step::Dispatch => self.actors[actor_index].is_sending = true,
            Step::Answer(Verdict::Refuse(Outcome::NotRun, _)) => self.answered_not_run = true,
            Step::Answer(Verdict::Replay | Verdict::Deliver) => self.answered_ran = true,
            Step::Answer(Verdict::Refuse(..)) | Step::Queue | Step::Nothing => {}
        }
        self.actors[actor_index].in_flight.sort_unstable();
    }

    /// Applies a message to the table and returns the answer, if any.
    fn apply(&mut self, message: Message) -> Option<Message> {
        match message {
            Message::ReadRequest => Some(match self.row {
                None => Message::ReadAnswer { version: 0, state: 0, nonce: 0 },
                Some((version, r)) => {
                    Message::ReadAnswer { version, state: code(r.state), nonce: r.nonce }
                }
            }),
            Message::WriteRequest { expected, state, nonce } => {
                let current = self.row.map_or(0, |(version, _)| version);
                if current != expected && self.flaw != Flaw::UnconditionalWrite {
                    return Some(Message::WriteAnswer { version: 0 });
                }
                self.row = Some((current + 1, record(state, nonce)));
                Some(Message::WriteAnswer { version: current + 1 })
            }
            Message::ReadAnswer { .. } | Message::WriteAnswer { .. } => None,
        }
    }

    fn deliver(&mut self, actor_index: usize, message: Message) {
        let claim = &mut self.actors[actor_index].claim;
        let step = match message {
            Message::ReadAnswer { version: 0, .. } => claim.handle_read(Read::Found(None)),
            Message::ReadAnswer { version, state, nonce } => {
                claim.handle_read(Read::Found(Some((version, record(state, nonce)))))
            }
            Message::WriteAnswer { version: 0 } => claim.handle_write(Write::Conflict),
            Message::WriteAnswer { version } => claim.handle_write(Write::Done(version)),
            Message::ReadRequest | Message::WriteRequest { .. } => return,
        };
        self.perform(actor_index, step);
    }

    fn successors(&self) -> Vec<Model> {
        let mut next = Vec::new();
        self.arrivals(&mut next);
        for actor_index in 0..self.actors.len() {
            self.messages(actor_index, &mut next);
            if self.actors[actor_index].is_alive {
                self.decisions(actor_index, &mut next);
                self.runs(actor_index, &mut next);
                self.crash(actor_index, &mut next);
            }
        }
        next
    }

    fn arrivals(&self, next: &mut Vec<Model>) {
        if self.requests_left == 0 {
            return;
        }
        let mut successor = self.clone();
        successor.requests_left -= 1;
        let (claim, step) = Claim::start(self.actors.len() as u64 + 1, 0);
        let actor = Actor {
            claim,
            is_alive: true,
            is_sending: false,
            is_running: false,
            in_flight: Vec::new(),
        };
        successor.actors.push(actor);
        successor.perform(self.actors.len(), step);
        next.push(successor);
    }

    fn messages(&self, actor_index: usize, next: &mut Vec<Model>) {
        for (index, message) in self.actors[actor_index].in_flight.iter().enumerate() {
            let mut successor = self.clone();
            successor.actors[actor_index].in_flight.remove(index);
            match successor.apply(*message) {
                Some(answer) => {
                    if self.actors[actor_index].is_alive {
                        successor.actors[actor_index].in_flight.push(answer);
                        successor.actors[actor_index].in_flight.sort_unstable();
                    }
                }
                None => successor.deliver(actor_index, *message),
            }
            next.push(successor);
            self.loss(actor_index, index, *message, next);
        }
    }

    /// A read or write without an answer: it may be lost, may take effect
    /// later, or has taken effect already.
    fn loss(&self, actor_index: usize, index: usize, message: Message, next: &mut Vec<Model>) {
        if self.losses_left == 0 || !self.actors[actor_index].is_alive {
            return;
        }
        let mut successor = self.clone();
        successor.losses_left -= 1;
        let is_late_write = matches!(message, Message::WriteRequest { .. });
        if !is_late_write {
            successor.actors[actor_index].in_flight.remove(index);
        }
        let claim = &mut successor.actors[actor_index].claim;
        let step = match message {
            Message::ReadRequest | Message::ReadAnswer { .. } => claim.handle_read(Read::Lost),
            Message::WriteRequest { .. } | Message::WriteAnswer { .. } => {
                claim.handle_write(Write::Lost)
            }
        };
        if is_late_write {
            // A dead actor sends the late write, so that nobody receives its answer.
            let late = successor.actors[actor_index].in_flight.remove(index);
            let sender = Actor {
                is_alive: false,
                in_flight: vec![late],
                ..successor.actors[actor_index].clone()
            };
            successor.actors.push(Actor { is_sending: false, is_running: false, ..sender });
        }
        successor.perform(actor_index, step);
        next.push(successor);
    }

    fn decisions(&self, actor_index: usize, next: &mut Vec<Model>) {
        if !self.actors[actor_index].claim.is_queued() {
            return;
        }
        let mut assigned = self.clone();
        let step = assigned.actors[actor_index].claim.handle_assignment();
        assigned.perform(actor_index, step);
        next.push(assigned);

        let mut refused = self.clone();
        if self.flaw == Flaw::OpenRefusal {
            refused.actors[actor_index].claim.refuse_and_keep_key(Reason::Overload);
            refused.answered_not_run = true;
        } else {
            let step = refused.actors[actor_index].claim.refuse_and_close_key(Reason::Overload);
            refused.perform(actor_index, step);
        }
        next.push(refused);

        let mut key_kept = self.clone();
        let step = key_kept.actors[actor_index].claim.refuse_and_keep_key(Reason::Overload);
        key_kept.perform(actor_index, step);
        next.push(key_kept);
    }

    fn runs(&self, actor_index: usize, next: &mut Vec<Model>) {
        let actor = &self.actors[actor_index];
        if actor.is_sending {
            let mut sent = self.clone();
            sent.actors[actor_index].is_sending = false;
            sent.actors[actor_index].is_running = true;
            sent.runs += 1;
            next.push(sent);
            let mut refused = self.clone();
            refused.actors[actor_index].is_sending = false;
            let step = refused.actors[actor_index].claim.handle_end(Ended::NotDispatched);
            refused.perform(actor_index, step);
            next.push(refused);
        }
        if actor.is_running {
            for how in [Ended::Whole, Ended::Broken] {
                let mut ended = self.clone();
                ended.actors[actor_index].is_running = false;
                let step = ended.actors[actor_index].claim.handle_end(how);
                ended.perform(actor_index, step);
                let step = ended.actors[actor_index].claim.write_done();
                ended.perform(actor_index, step);
                next.push(ended);
            }
        }
    }

    /// A crash of the instance; the writes that it sent may still arrive.
    fn crash(&self, actor_index: usize, next: &mut Vec<Model>) {
        if self.crashes_left == 0 {
            return;
        }
        let mut successor = self.clone();
        successor.crashes_left -= 1;
        let actor = &mut successor.actors[actor_index];
        actor.is_alive = false;
        actor.is_sending = false;
        actor.is_running = false;
        actor.in_flight.retain(|m| matches!(m, Message::WriteRequest { .. }));
        next.push(successor);
    }
}

/// Returns the number of states that were explored, and the first one that
/// violates an invariant.
fn explore(start: Model) -> (usize, Option<Model>) {
    let mut count = 0;
    for state in bfs_reach(start, Model::successors) {
        count += 1;
        if state.violates_invariant() {
            return (count, Some(state));
        }
    }
    (count, None)
}

fn check_protocol(requests: u8, losses: u8, crashes: u8) {
    let (count, violation) = explore(Model::new(Flaw::None, requests, losses, crashes));
    println!("{count} states: {requests} requests, {losses} losses, {crashes} crashes");
    assert_eq!(violation, None);
}

fn finds_violation(flaw: Flaw) {
    let (_, violation) = explore(Model::new(flaw, 2, 1, 0));
    assert!(violation.is_some(), "the search does not find {flaw:?}");
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    two_requests_two_losses_one_crash => check_protocol(2, 2, 1);
    three_requests_one_loss => check_protocol(3, 1, 0);
    three_requests_one_loss_one_crash => check_protocol(3, 1, 1);
    two_requests_three_losses_two_crashes => check_protocol(2, 3, 2);
    finds_double_run_without_conditional_write => finds_violation(Flaw::UnconditionalWrite);
    finds_false_refusal_without_closing => finds_violation(Flaw::OpenRefusal);
}
