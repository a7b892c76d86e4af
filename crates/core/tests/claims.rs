//! Every interleaving of the claim protocol for a few tries of one key:
//! messages late or lost, tries that die or wake up late, refusals at any time.

use pathfinding::directed::bfs::bfs_reach;
use rosemarypond_core::claim::{Claim, Ended, Read, Record, State, Step, Verdict, Version, Write};
use rosemarypond_core::outcome::{Outcome, Reason};

/// What is taken out of the protocol to show that the search finds faults.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Flaw {
    None,
    /// The table writes without looking at the version.
    UnconditionalWrite,
    /// A refusal says "not run" without closing the key.
    OpenRefusal,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Wire {
    ReadRequest,
    WriteRequest { expected: Version, state: u8, nonce: u64 },
    ReadAnswer { version: Version, state: u8, nonce: u64 },
    WriteAnswer { version: Version },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Actor {
    claim: Claim,
    alive: bool,
    /// It decided to dispatch but has not sent the first byte yet.
    sending: bool,
    running: bool,
    wire: Vec<Wire>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    flaw: Flaw,
    row: Option<(Version, Record)>,
    actors: Vec<Actor>,
    tries_left: u8,
    losses_left: u8,
    deaths_left: u8,
    runs: u8,
    told_not_run: bool,
    told_ran: bool,
}

const STATES: [State; 3] = [State::Dispatched, State::Done, State::Closed];

fn code(state: State) -> u8 {
    STATES.iter().position(|s| *s == state).expect("every state is listed") as u8
}

fn record(state: u8, nonce: u64) -> Record {
    Record { state: STATES[usize::from(state)], nonce, fingerprint: 0 }
}

impl World {
    fn new(flaw: Flaw, tries: u8, losses: u8, deaths: u8) -> Self {
        Self {
            flaw,
            row: None,
            actors: Vec::new(),
            tries_left: tries,
            losses_left: losses,
            deaths_left: deaths,
            runs: 0,
            told_not_run: false,
            told_ran: false,
        }
    }

    fn is_wrong(&self) -> bool {
        self.runs > 1 || (self.runs > 0 && self.told_not_run) || (self.runs == 0 && self.told_ran)
    }

    fn take(&mut self, place: usize, step: Step) {
        match step {
            Step::Read => self.actors[place].wire.push(Wire::ReadRequest),
            Step::Write { expected, record } => {
                let (state, nonce) = (code(record.state), record.nonce);
                self.actors[place].wire.push(Wire::WriteRequest { expected, state, nonce });
            }
            Step::Dispatch => self.actors[place].sending = true,
            Step::Answer(Verdict::Refuse(Outcome::NotRun, _)) => self.told_not_run = true,
            Step::Answer(Verdict::Replay | Verdict::Deliver) => self.told_ran = true,
            Step::Answer(Verdict::Refuse(..)) | Step::Queue | Step::Nothing => {}
        }
        self.actors[place].wire.sort_unstable();
    }

    /// Applies a message at the table; gives the answer.
    fn apply(&mut self, message: Wire) -> Option<Wire> {
        match message {
            Wire::ReadRequest => Some(match self.row {
                None => Wire::ReadAnswer { version: 0, state: 0, nonce: 0 },
                Some((version, r)) => {
                    Wire::ReadAnswer { version, state: code(r.state), nonce: r.nonce }
                }
            }),
            Wire::WriteRequest { expected, state, nonce } => {
                let stands = self.row.map_or(0, |(version, _)| version);
                if stands != expected && self.flaw != Flaw::UnconditionalWrite {
                    return Some(Wire::WriteAnswer { version: 0 });
                }
                self.row = Some((stands + 1, record(state, nonce)));
                Some(Wire::WriteAnswer { version: stands + 1 })
            }
            Wire::ReadAnswer { .. } | Wire::WriteAnswer { .. } => None,
        }
    }

    fn deliver(&mut self, place: usize, message: Wire) {
        let claim = &mut self.actors[place].claim;
        let step = match message {
            Wire::ReadAnswer { version: 0, .. } => claim.handle_read(Read::Found(None)),
            Wire::ReadAnswer { version, state, nonce } => {
                claim.handle_read(Read::Found(Some((version, record(state, nonce)))))
            }
            Wire::WriteAnswer { version: 0 } => claim.handle_write(Write::Conflict),
            Wire::WriteAnswer { version } => claim.handle_write(Write::Done(version)),
            Wire::ReadRequest | Wire::WriteRequest { .. } => return,
        };
        self.take(place, step);
    }

    fn successors(&self) -> Vec<World> {
        let mut next = Vec::new();
        self.arrivals(&mut next);
        for place in 0..self.actors.len() {
            self.messages(place, &mut next);
            if self.actors[place].alive {
                self.decisions(place, &mut next);
                self.runs(place, &mut next);
                self.death(place, &mut next);
            }
        }
        next
    }

    fn arrivals(&self, next: &mut Vec<World>) {
        if self.tries_left == 0 {
            return;
        }
        let mut world = self.clone();
        world.tries_left -= 1;
        let (claim, step) = Claim::start(self.actors.len() as u64 + 1, 0);
        let actor = Actor { claim, alive: true, sending: false, running: false, wire: Vec::new() };
        world.actors.push(actor);
        world.take(self.actors.len(), step);
        next.push(world);
    }

    fn messages(&self, place: usize, next: &mut Vec<World>) {
        for (index, message) in self.actors[place].wire.iter().enumerate() {
            let mut world = self.clone();
            world.actors[place].wire.remove(index);
            match world.apply(*message) {
                Some(answer) => {
                    if self.actors[place].alive {
                        world.actors[place].wire.push(answer);
                        world.actors[place].wire.sort_unstable();
                    }
                }
                None => world.deliver(place, *message),
            }
            next.push(world);
            self.loss(place, index, *message, next);
        }
    }

    /// The answer does not come: the request may be lost, may take effect
    /// later, or has taken effect already.
    fn loss(&self, place: usize, index: usize, message: Wire, next: &mut Vec<World>) {
        if self.losses_left == 0 || !self.actors[place].alive {
            return;
        }
        let mut world = self.clone();
        world.losses_left -= 1;
        let is_late_write = matches!(message, Wire::WriteRequest { .. });
        if !is_late_write {
            world.actors[place].wire.remove(index);
        }
        let claim = &mut world.actors[place].claim;
        let step = match message {
            Wire::ReadRequest | Wire::ReadAnswer { .. } => claim.handle_read(Read::Lost),
            Wire::WriteRequest { .. } | Wire::WriteAnswer { .. } => claim.handle_write(Write::Lost),
        };
        if is_late_write {
            // The answer of the late write has nobody to go to any more.
            let late = world.actors[place].wire.remove(index);
            let ghost = Actor { alive: false, wire: vec![late], ..world.actors[place].clone() };
            world.actors.push(Actor { sending: false, running: false, ..ghost });
        }
        world.take(place, step);
        next.push(world);
    }

    fn decisions(&self, place: usize, next: &mut Vec<World>) {
        if !self.actors[place].claim.is_queued() {
            return;
        }
        let mut granted = self.clone();
        let step = granted.actors[place].claim.handle_grant();
        granted.take(place, step);
        next.push(granted);

        let mut refused = self.clone();
        if self.flaw == Flaw::OpenRefusal {
            refused.actors[place].claim.refuse_and_keep_key(Reason::Overload);
            refused.told_not_run = true;
        } else {
            let step = refused.actors[place].claim.refuse_and_close_key(Reason::Overload);
            refused.take(place, step);
        }
        next.push(refused);

        let mut gone = self.clone();
        let step = gone.actors[place].claim.refuse_and_keep_key(Reason::Overload);
        gone.take(place, step);
        next.push(gone);
    }

    fn runs(&self, place: usize, next: &mut Vec<World>) {
        let actor = &self.actors[place];
        if actor.sending {
            let mut sent = self.clone();
            sent.actors[place].sending = false;
            sent.actors[place].running = true;
            sent.runs += 1;
            next.push(sent);
            let mut refused = self.clone();
            refused.actors[place].sending = false;
            let step = refused.actors[place].claim.handle_end(Ended::NotDispatched);
            refused.take(place, step);
            next.push(refused);
        }
        if actor.running {
            for how in [Ended::Whole, Ended::Broken] {
                let mut ended = self.clone();
                ended.actors[place].running = false;
                let step = ended.actors[place].claim.handle_end(how);
                ended.take(place, step);
                let step = ended.actors[place].claim.write_done();
                ended.take(place, step);
                next.push(ended);
            }
        }
    }

    /// The instance dies; what it sent may still arrive.
    fn death(&self, place: usize, next: &mut Vec<World>) {
        if self.deaths_left == 0 {
            return;
        }
        let mut world = self.clone();
        world.deaths_left -= 1;
        let actor = &mut world.actors[place];
        actor.alive = false;
        actor.sending = false;
        actor.running = false;
        actor.wire.retain(|m| matches!(m, Wire::WriteRequest { .. }));
        next.push(world);
    }
}

/// The number of states that are reached, and the first wrong one.
fn explore(start: World) -> (usize, Option<World>) {
    let mut count = 0;
    for world in bfs_reach(start, World::successors) {
        count += 1;
        if world.is_wrong() {
            return (count, Some(world));
        }
    }
    (count, None)
}

fn holds(tries: u8, losses: u8, deaths: u8) {
    let (count, wrong) = explore(World::new(Flaw::None, tries, losses, deaths));
    println!("{count} states: {tries} tries, {losses} losses, {deaths} deaths");
    assert_eq!(wrong, None);
}

fn is_found(flaw: Flaw) {
    let (_, wrong) = explore(World::new(flaw, 2, 1, 0));
    assert!(wrong.is_some(), "the search does not find {flaw:?}");
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    two_tries_two_losses_one_death => holds(2, 2, 1);
    three_tries_one_loss => holds(3, 1, 0);
    three_tries_one_loss_one_death => holds(3, 1, 1);
    two_tries_three_losses_two_deaths => holds(2, 3, 2);
    double_run_without_conditional_write => is_found(Flaw::UnconditionalWrite);
    false_refusal_without_closing => is_found(Flaw::OpenRefusal);
}
