//! The claim on an idempotency key, taken in the platform's table.
//!
//! A try writes its record at the last moment, just before it is dispatched,
//! and only where no record stands. A record never lapses and is never taken
//! over, so a paused instance that wakes up cannot run a request twice, on
//! upstreams that check fencing numbers and on those that ignore them.

use crate::outcome::{Outcome, Reason};

/// A version of one record; 0 is the version of a record that is not there.
pub type Version = u64;

/// How often a write whose answer was lost is tried again.
pub const MAX_WRITES: u8 = 4;

/// What a record says of its key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// A try was, or is about to be, dispatched.
    Dispatched,
    /// The request ran and its answer is kept.
    Done,
    /// The request did not run and never will under this key.
    Closed,
}

/// The record of one key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// What it says.
    pub state: State,
    /// A number that only the try that wrote it knows.
    pub nonce: u64,
    /// A digest of the request that the key stands for.
    pub fingerprint: u64,
}

/// The answer to a read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Read {
    /// What stands in the table.
    Found(Option<(Version, Record)>),
    /// No answer came.
    Lost,
}

/// The answer to a conditional write.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Write {
    /// It took effect.
    Done(Version),
    /// Another version stands; it took no effect.
    Conflict,
    /// No answer came; it may have taken effect or may still do so.
    Lost,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Ended {
    /// Its whole answer came.
    Whole,
    /// The connection was refused before the first byte: it was not dispatched.
    NotDispatched,
    /// It broke off after the first byte.
    Broken,
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// The answer that is kept under the key.
    Replay,
    /// The answer that the upstream just gave.
    Deliver,
    /// A refusal.
    Refuse(Outcome, Reason),
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// Read the record.
    Read,
    /// Put the request in the queue.
    Queue,
    /// Write the record where the table holds the expected version.
    Write {
        /// The version that the table must hold.
        expected: Version,
        /// The record.
        record: Record,
    },
    /// Send the request to its upstream, once.
    Dispatch,
    /// Give the caller its final answer.
    Answer(Verdict),
    /// Nothing, until the next answer comes.
    Nothing,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Reading,
    Queued,
    Claiming,
    CheckingClaim,
    Running(Version),
    Closing(Reason),
    CheckingClose(Reason),
    Recording(Version),
    Ended,
}

/// One try of a keyed request.
///
/// ```
/// use rosemarypond_core::claim::{Read, Step, Claim, Write};
/// let (mut claim, first) = Claim::start(7, 1);
/// assert_eq!(first, Step::Read);
/// assert_eq!(claim.read(Read::Found(None)), Step::Queue);
/// assert!(matches!(claim.granted(), Step::Write { expected: 0, .. }));
/// assert_eq!(claim.written(Write::Done(1)), Step::Dispatch);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    nonce: u64,
    fingerprint: u64,
    writes: u8,
    phase: Phase,
}

impl Claim {
    /// Begins a try with a nonce of its own.
    pub fn start(nonce: u64, fingerprint: u64) -> (Self, Step) {
        (Self { nonce, fingerprint, writes: 0, phase: Phase::Reading }, Step::Read)
    }

    /// Whether the try may still be refused as not dispatched.
    pub fn is_queued(&self) -> bool {
        self.phase == Phase::Queued
    }

    /// Whether the record says that this try is the one to be dispatched.
    pub fn is_acquired(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }

    /// Whether the caller has its answer and nothing is left to write.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Takes the answer to a read.
    pub fn read(&mut self, answer: Read) -> Step {
        match self.phase {
            Phase::Reading => self.first_read(answer),
            Phase::CheckingClaim => self.check_claim(answer),
            Phase::CheckingClose(reason) => self.check_close(answer, reason),
            _ => Step::Nothing,
        }
    }

    /// Takes the scheduler's word that an upstream has room.
    pub fn granted(&mut self) -> Step {
        if self.phase != Phase::Queued {
            return Step::Nothing;
        }
        self.phase = Phase::Claiming;
        self.write(State::Dispatched, 0)
    }

    /// Takes the answer to a write.
    pub fn written(&mut self, answer: Write) -> Step {
        match (self.phase, answer) {
            (Phase::Claiming, Write::Done(version)) => self.dispatch(version),
            (Phase::Claiming, _) => self.recheck(Phase::CheckingClaim),
            (Phase::Closing(reason), Write::Done(_)) => self.refuse(Outcome::NotRun, reason),
            (Phase::Closing(reason), _) => self.recheck(Phase::CheckingClose(reason)),
            (Phase::Recording(version), Write::Lost) if self.writes < MAX_WRITES => {
                self.write(State::Done, version)
            }
            (Phase::Recording(_), _) => self.end(),
            _ => Step::Nothing,
        }
    }

    /// Takes the end of the dispatched request.
    ///
    /// A whole answer goes to the caller at once; the record that
    /// [`Claim::record`] writes follows it.
    pub fn ended(&mut self, how: Ended) -> Step {
        let Phase::Running(version) = self.phase else { return Step::Nothing };
        match how {
            Ended::Whole => {
                self.phase = Phase::Recording(version);
                Step::Answer(Verdict::Deliver)
            }
            Ended::NotDispatched => self.close(version, Reason::NoUpstream),
            Ended::Broken => self.refuse(Outcome::Unknown, Reason::UpstreamFailed),
        }
    }

    /// Begins to write that the request ran, after a whole answer.
    pub fn record(&mut self) -> Step {
        let Phase::Recording(version) = self.phase else { return Step::Nothing };
        self.writes = 0;
        self.write(State::Done, version)
    }

    /// Gives up on a queued request and closes its key, so that it never runs.
    pub fn refuse_and_close_key(&mut self, reason: Reason) -> Step {
        match self.phase {
            Phase::Queued => self.close(0, reason),
            Phase::Reading => self.refuse(Outcome::Unknown, reason),
            _ => Step::Nothing,
        }
    }

    /// Gives up on a queued request and leaves its key open for a retry.
    pub fn refuse_and_keep_key(&mut self, reason: Reason) -> Step {
        match self.phase {
            Phase::Queued | Phase::Reading => self.refuse(Outcome::Unknown, reason),
            _ => Step::Nothing,
        }
    }

    fn first_read(&mut self, answer: Read) -> Step {
        match answer {
            Read::Lost => self.refuse(Outcome::Unknown, Reason::PlatformDown),
            Read::Found(None) => {
                self.phase = Phase::Queued;
                Step::Queue
            }
            Read::Found(Some((_, record))) => self.follow(record),
        }
    }

    fn check_claim(&mut self, answer: Read) -> Step {
        match answer {
            Read::Found(Some((version, record))) if self.is_own(record) => self.dispatch(version),
            Read::Found(Some((_, record))) => self.follow(record),
            Read::Found(None) if self.writes < MAX_WRITES => {
                self.phase = Phase::Claiming;
                self.write(State::Dispatched, 0)
            }
            Read::Found(None) => self.close(0, Reason::PlatformDown),
            Read::Lost => self.refuse(Outcome::Unknown, Reason::PlatformDown),
        }
    }

    fn check_close(&mut self, answer: Read, reason: Reason) -> Step {
        match answer {
            Read::Found(Some((_, record))) if record.state == State::Closed => {
                self.refuse(Outcome::NotRun, reason)
            }
            // A claim of ours that is still there was never acted on.
            Read::Found(Some((version, record))) if self.is_own(record) => {
                self.close_again(version, reason)
            }
            Read::Found(Some((_, record))) => self.follow(record),
            Read::Found(None) => self.close_again(0, reason),
            Read::Lost => self.refuse(Outcome::Unknown, reason),
        }
    }

    fn close(&mut self, expected: Version, reason: Reason) -> Step {
        self.writes = 0;
        self.close_again(expected, reason)
    }

    fn close_again(&mut self, expected: Version, reason: Reason) -> Step {
        if self.writes >= MAX_WRITES {
            return self.refuse(Outcome::Unknown, reason);
        }
        self.phase = Phase::Closing(reason);
        self.write(State::Closed, expected)
    }

    /// Answers by a record that another try wrote.
    fn follow(&mut self, record: Record) -> Step {
        if record.fingerprint != self.fingerprint {
            return self.refuse(Outcome::Unknown, Reason::KeyReused);
        }
        match record.state {
            State::Dispatched => self.refuse(Outcome::Unknown, Reason::KeyInUse),
            State::Closed => self.refuse(Outcome::NotRun, Reason::KeyClosed),
            State::Done => {
                self.phase = Phase::Ended;
                Step::Answer(Verdict::Replay)
            }
        }
    }

    fn is_own(&self, record: Record) -> bool {
        record.state == State::Dispatched && record.nonce == self.nonce
    }

    fn dispatch(&mut self, version: Version) -> Step {
        self.phase = Phase::Running(version);
        Step::Dispatch
    }

    fn recheck(&mut self, phase: Phase) -> Step {
        self.phase = phase;
        Step::Read
    }

    fn refuse(&mut self, outcome: Outcome, reason: Reason) -> Step {
        self.phase = Phase::Ended;
        Step::Answer(Verdict::Refuse(outcome, reason))
    }

    fn end(&mut self) -> Step {
        self.phase = Phase::Ended;
        Step::Nothing
    }

    fn write(&mut self, state: State, expected: Version) -> Step {
        self.writes += 1;
        let record = Record { state, nonce: self.nonce, fingerprint: self.fingerprint };
        Step::Write { expected, record }
    }
}
