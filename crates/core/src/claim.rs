//! The claim protocol for idempotency keys, kept in the platform's table.
//!
//! An instance writes a request's record just before it dispatches the
//! request, and only if the key has no record. Records never expire and are
//! never taken over, so an instance that resumes after a pause cannot run a
//! request twice, whether or not the upstream checks fencing tokens.

use crate::outcome::{Outcome, Reason};

/// The version of a record; 0 means that there is no record.
pub type Version = u64;

/// The most times that a record is written while the results are lost.
pub const MAX_WRITES: u8 = 4;

/// The state of a key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// A request was, or is about to be, dispatched.
    Dispatched,
    /// The request ran and its answer is stored.
    Done,
    /// The request did not run and never will under this key.
    Closed,
}

/// The record of one key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// The state of the key.
    pub state: State,
    /// A random number that identifies the claim that wrote the record.
    pub nonce: u64,
    /// A digest of the request that the key was used with.
    pub fingerprint: u64,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Read {
    /// The record and its version, if there is one.
    Found(Option<(Version, Record)>),
    /// No answer was received.
    Lost,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Write {
    /// It took effect; the record has this version now.
    Done(Version),
    /// The record does not have the expected version; nothing was written.
    Conflict,
    /// No answer was received; the write may have taken effect or may still do so.
    Lost,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Ended {
    /// The complete answer was received.
    Whole,
    /// The connection was refused before the first byte was sent.
    NotDispatched,
    /// The call failed after the first byte was sent.
    Broken,
}

/// The final answer to a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// The answer that is stored under the key.
    Replay,
    /// The answer that the upstream just sent.
    Deliver,
    /// A refusal.
    Refuse(Outcome, Reason),
}

/// The next step of the protocol.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// Read the record.
    Read,
    /// Put the request in the queue.
    Queue,
    /// Write the record if it still has the expected version.
    Write {
        /// The version that the record must have.
        expected: Version,
        /// The record.
        record: Record,
    },
    /// Send the request to its upstream, once.
    Dispatch,
    /// Give the caller its final answer.
    Answer(Verdict),
    /// Wait for the next result.
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

/// The claim of one request on its idempotency key.
///
/// ```
/// use rosemarypond_core::claim::{Claim, Read, Step, Write};
/// let (mut claim, first) = Claim::start(7, 1);
/// assert_eq!(first, Step::Read);
/// assert_eq!(claim.handle_read(Read::Found(None)), Step::Queue);
/// assert!(matches!(claim.handle_assignment(), Step::Write { expected: 0, .. }));
/// assert_eq!(claim.handle_write(Write::Done(1)), Step::Dispatch);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    nonce: u64,
    fingerprint: u64,
    writes: u8,
    phase: Phase,
}

impl Claim {
    /// Creates a claim with a unique nonce; returns it with its first step.
    pub fn start(nonce: u64, fingerprint: u64) -> (Self, Step) {
        (Self { nonce, fingerprint, writes: 0, phase: Phase::Reading }, Step::Read)
    }

    /// Whether the request waits for a slot and has not claimed its key.
    pub fn is_queued(&self) -> bool {
        self.phase == Phase::Queued
    }

    /// Whether this claim won the key and its request has not ended.
    pub fn is_acquired(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }

    /// Whether the caller has its answer and nothing remains to be written.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Handles the result of a read.
    pub fn handle_read(&mut self, result: Read) -> Step {
        match self.phase {
            Phase::Reading => self.handle_first_read(result),
            Phase::CheckingClaim => self.handle_claim_check(result),
            Phase::CheckingClose(reason) => self.handle_close_check(result, reason),
            _ => Step::Nothing,
        }
    }

    /// Claims the key, once the scheduler has assigned a slot to the request.
    pub fn handle_assignment(&mut self) -> Step {
        if self.phase != Phase::Queued {
            return Step::Nothing;
        }
        self.phase = Phase::Claiming;
        self.write(State::Dispatched, 0)
    }

    /// Handles the result of a write.
    pub fn handle_write(&mut self, result: Write) -> Step {
        match (self.phase, result) {
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

    /// Handles the end of the dispatched request.
    ///
    /// A complete answer goes to the caller at once; [`Claim::write_done`]
    /// writes the record afterwards.
    pub fn handle_end(&mut self, how: Ended) -> Step {
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

    /// Starts to write [`State::Done`], after a complete answer.
    pub fn write_done(&mut self) -> Step {
        let Phase::Recording(version) = self.phase else { return Step::Nothing };
        self.writes = 0;
        self.write(State::Done, version)
    }

    /// Refuses a queued request and closes its key, so that it never runs.
    pub fn refuse_and_close_key(&mut self, reason: Reason) -> Step {
        match self.phase {
            Phase::Queued => self.close(0, reason),
            Phase::Reading => self.refuse(Outcome::Unknown, reason),
            _ => Step::Nothing,
        }
    }

    /// Refuses a queued request and leaves its key open for a retry.
    pub fn refuse_and_keep_key(&mut self, reason: Reason) -> Step {
        match self.phase {
            Phase::Queued | Phase::Reading => self.refuse(Outcome::Unknown, reason),
            _ => Step::Nothing,
        }
    }

    fn handle_first_read(&mut self, result: Read) -> Step {
        match result {
            Read::Lost => self.refuse(Outcome::Unknown, Reason::PlatformDown),
            Read::Found(None) => {
                self.phase = Phase::Queued;
                Step::Queue
            }
            Read::Found(Some((_, record))) => self.answer_from_record(record),
        }
    }

    fn handle_claim_check(&mut self, result: Read) -> Step {
        match result {
            Read::Found(Some((version, record))) if self.is_own(record) => self.dispatch(version),
            Read::Found(Some((_, record))) => self.answer_from_record(record),
            Read::Found(None) if self.writes < MAX_WRITES => {
                self.phase = Phase::Claiming;
                self.write(State::Dispatched, 0)
            }
            Read::Found(None) => self.close(0, Reason::PlatformDown),
            Read::Lost => self.refuse(Outcome::Unknown, Reason::PlatformDown),
        }
    }

    fn handle_close_check(&mut self, result: Read, reason: Reason) -> Step {
        match result {
            Read::Found(Some((_, record))) if record.state == State::Closed => {
                self.refuse(Outcome::NotRun, reason)
            }
            // This claim's own record, of a request that was never dispatched.
            Read::Found(Some((version, record))) if self.is_own(record) => {
                self.write_closed(version, reason)
            }
            Read::Found(Some((_, record))) => self.answer_from_record(record),
            Read::Found(None) => self.write_closed(0, reason),
            Read::Lost => self.refuse(Outcome::Unknown, reason),
        }
    }

    fn close(&mut self, expected: Version, reason: Reason) -> Step {
        self.writes = 0;
        self.write_closed(expected, reason)
    }

    fn write_closed(&mut self, expected: Version, reason: Reason) -> Step {
        if self.writes >= MAX_WRITES {
            return self.refuse(Outcome::Unknown, reason);
        }
        self.phase = Phase::Closing(reason);
        self.write(State::Closed, expected)
    }

    /// Answers from a record that another request with the same key wrote.
    fn answer_from_record(&mut self, record: Record) -> Step {
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
