//! Calls of the first cell's owners to the owners of the sibling.

use rand::RngExt;
use tanager_jobs::DelegationRecord;
use tanager_schedule::CancelResult;
use tanager_schedule::delegated_jobs::DelegatedJob;
use tanager_schedule::delegated_jobs::Withdrawal;
use tanager_schedule::delegation_table::DelegationCall;
use tanager_schedule::delegation_table::DelegationRequest;
use tanager_schedule::delegation_table::DelegationResponse;

use super::owner::Stored;
use super::world::SIBLING;
use super::world::World;

/// Time for which the caller waits.
const CALL_TIMEOUT: u64 = 1_000;
/// Time for which the sibling's owner waits for its store.
const STORE_TIMEOUT: u64 = 1_500;

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// On its way to the sibling.
    Sent { arrives_at: u64 },
    /// The owner of the sibling waits for its store.
    Storing { owner: usize, until: u64 },
    /// The response is on its way.
    Answered {
        response: DelegationResponse,
        arrives_at: u64,
    },
    /// Nothing more happens.
    Lost,
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    caller: usize,
    record: DelegationRecord,
    pub(crate) kind: DelegationCall,
    sent_at: u64,
    /// Whether the caller still waits.
    pub(crate) is_awaited: bool,
    pub(crate) stage: Stage,
}

impl World {
    pub(crate) fn send_call(&mut self, caller: usize, request: DelegationRequest) {
        let id = request.record.job.id;
        self.trace(|| format!("owner {caller} calls {:?} of {id}", request.call));
        // Calls may be delivered long after the caller gave up, also after its death.
        let delay = match self.fault(0.05) {
            true => self.random.random_range(100..6_000),
            false => self.random.random_range(1..5),
        };
        let stage = match self.fault(0.05) {
            true => Stage::Lost,
            false => Stage::Sent {
                arrives_at: self.now + delay,
            },
        };
        // One call arrives at most once: the owners are connected directly, and the connection pool
        // sends a request again only if it was not sent.
        self.calls.push(Call {
            caller,
            record: request.record,
            kind: request.call,
            sent_at: self.now,
            is_awaited: true,
            stage,
        });
    }

    pub(crate) fn step_calls(&mut self) {
        let mut calls = std::mem::take(&mut self.calls);
        for call in &mut calls {
            self.step_call(call);
        }
        calls.retain(|call| call.is_awaited || call.stage != Stage::Lost);
        self.calls = calls;
    }

    fn step_call(&mut self, call: &mut Call) {
        let id = call.record.job.id;
        match call.stage {
            Stage::Sent { arrives_at } if self.now >= arrives_at => {
                call.stage = match self.find_owner(SIBLING) {
                    None => self.answer(DelegationResponse::Refused),
                    Some(owner) if !self.is_active(owner) => Stage::Sent { arrives_at },
                    Some(owner) => self.receive(owner, call),
                };
            }
            Stage::Storing { owner, until } if self.is_active(owner) => {
                if let Some(response) = self.stored_response(owner, call) {
                    call.stage = self.answer(response);
                } else if self.now >= until {
                    call.stage = self.answer(DelegationResponse::Uncertain);
                }
            }
            Stage::Storing { owner, .. } if !self.owners[owner].is_alive => {
                call.stage = match self.chance(0.5) {
                    true => Stage::Lost,
                    false => self.answer(DelegationResponse::Uncertain),
                };
            }
            Stage::Answered {
                response,
                arrives_at,
            } if self.now >= arrives_at => {
                call.stage = Stage::Lost;
                self.deliver(call, response);
            }
            _ => {}
        }
        if call.is_awaited && self.now >= call.sent_at + CALL_TIMEOUT {
            self.trace(|| format!("{:?} of {id} gets no response", call.kind));
            self.deliver(call, DelegationResponse::Uncertain);
        }
    }

    fn answer(&mut self, response: DelegationResponse) -> Stage {
        match self.fault(0.05) {
            true => Stage::Lost,
            false => Stage::Answered {
                response,
                arrives_at: self.now + 2,
            },
        }
    }

    /// Gives the caller a response, if it still waits.
    fn deliver(&mut self, call: &mut Call, response: DelegationResponse) {
        if !std::mem::take(&mut call.is_awaited) || !self.owners[call.caller].is_alive {
            return;
        }
        let id = call.record.job.id;
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        self.trace(|| {
            format!(
                "owner {} got {response:?} to {:?} of {id}",
                call.caller, call.kind
            )
        });
        let core = &mut self.owners[call.caller].core;
        core.delegations
            .apply_response(id, call.kind, response, now, wall_ms);
    }

    /// Handles a call at an owner of the sibling, as `delegated_jobs.rs` of the service does.
    fn receive(&mut self, owner: usize, call: &Call) -> Stage {
        let job = &call.record.job;
        let id = job.id;
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let is_current = self.is_current(owner);
        let is_refusing = self.random.random_bool(0.15) || self.fault(0.1);
        let is_storing = self.owners[owner].storing.contains(&id);
        let core = &mut self.owners[owner].core;
        let response = match call.kind {
            DelegationCall::Submit => match core.receive_delegated(job, wall_ms) {
                DelegatedJob::Known => Some(DelegationResponse::Stored),
                DelegatedJob::Cancelled => Some(DelegationResponse::Cancelled),
                DelegatedJob::Expired => Some(DelegationResponse::Expired),
                DelegatedJob::New if is_storing => None,
                DelegatedJob::New if is_refusing => Some(DelegationResponse::Refused),
                DelegatedJob::New => {
                    self.owners[owner].insert(job.clone());
                    None
                }
            },
            DelegationCall::Withdraw if is_storing => {
                // The withdrawal begins once the transaction is known.
                return Stage::Sent {
                    arrives_at: self.now,
                };
            }
            DelegationCall::Withdraw => match core.withdraw(id, job.accepted_ms, now, wall_ms) {
                Withdrawal::Expired => Some(DelegationResponse::Expired),
                Withdrawal::Known => Some(DelegationResponse::Stored),
                Withdrawal::Refused => Some(DelegationResponse::Uncertain),
                Withdrawal::Pending => None,
            },
            DelegationCall::Cancel => match core.cancel(id, now, wall_ms) {
                CancelResult::Ended => Some(DelegationResponse::Stored),
                CancelResult::Refused => Some(DelegationResponse::Uncertain),
                CancelResult::Pending | CancelResult::Unknown => None,
            },
            DelegationCall::Check => Some(match core.record(id) {
                Some(_) => DelegationResponse::Stored,
                None if core.is_cancelled_early(id) => DelegationResponse::Cancelled,
                // A successor may have accepted the job.
                None if !is_current || is_storing => DelegationResponse::Uncertain,
                None => DelegationResponse::Unknown,
            }),
        };
        match response {
            Some(response) => self.answer(response),
            None => Stage::Storing {
                owner,
                until: self.now + STORE_TIMEOUT,
            },
        }
    }

    /// Returns the response to a call that waits for the sibling's store.
    fn stored_response(&self, owner: usize, call: &Call) -> Option<DelegationResponse> {
        let job = &call.record.job;
        let owner = &self.owners[owner];
        match call.kind {
            DelegationCall::Submit if owner.storing.contains(&job.id) => None,
            DelegationCall::Submit => Some(match owner.stored.get(&job.id) {
                Some(Stored::Yes) => match owner.core.receive_delegated(job, self.wall_ms()) {
                    DelegatedJob::Cancelled => DelegationResponse::Cancelled,
                    _ => DelegationResponse::Stored,
                },
                _ => DelegationResponse::Refused,
            }),
            _ if !owner.core.is_stored(job.id) => None,
            DelegationCall::Cancel if owner.core.record(job.id).is_some() => {
                Some(DelegationResponse::Stored)
            }
            _ => Some(DelegationResponse::Unknown),
        }
    }
}
