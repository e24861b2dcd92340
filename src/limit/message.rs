//! Peer messages of kind `limit`.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::amount::{Amount, Part};
use super::ledger::Ledger;
use super::loan::{Loan, LoanId, LoanRequest, MAX_TERM, Return};
use crate::id::{InstanceId, OrganisationId};
use crate::peer::{PeerError, decode, encode};
use crate::refusal::Refusal;
use crate::store::StoreRevision;

/// Message kind under which peers route these messages.
pub const KIND: &str = "limit";

/// A message from one instance's limiter to another's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Requests a loan.
    Borrow(OrganisationId, LoanRequest),
    /// Requests to prolong loans.
    Prolong(Vec<(OrganisationId, LoanId)>),
    /// Returns loans or parts of them.
    Return(Vec<(OrganisationId, Return)>),
    /// Requests a copy of the ledger.
    Copy,
    /// Announces that the earlier incarnations of this instance have ended, and what they lent with
    /// them.
    Ended(InstanceId),
    /// Announces that loans to these incarnations of an instance have ended; sent when all who may
    /// use what the incarnations lent on have confirmed [`Message::Ended`].
    EndedBorrower(InstanceId, Vec<u64>),
    /// Requests to charge a request of an instance that holds no part.
    Charge {
        /// The organisation to charge.
        organisation: OrganisationId,
        /// The tokens to charge.
        tokens: u64,
        /// The time until the request's deadline.
        time_left: Duration,
    },
    /// Settles charges: the id of each hold, and the tokens used.
    Settle(Vec<(u64, u64)>),
}

/// The answer of the receiving limiter to a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A loan, if the answering instance can lend, and returns of loans that the requester had
    /// granted.
    Loan(Option<Loan>, Vec<Return>),
    /// The loans that have been prolonged to the maximum term.
    Prolonged(Vec<(OrganisationId, LoanId)>),
    /// Acknowledges the message.
    Noted,
    /// What the ended incarnations lent has been dropped.
    Ended {
        /// Whether the answering instance had borrowed from the ended incarnations.
        had_loans: bool,
    },
    /// The ledger as last read, with its revision.
    Copy(Option<(StoreRevision, Ledger)>),
    /// The request has been charged; the id of its hold.
    Charged(u64),
    /// The request has not been charged.
    Refused(Refusal),
}

#[derive(Debug, Serialize, Deserialize)]
enum WireMessage {
    Borrow(OrganisationId, WireLoanRequest),
    Prolong(Vec<(OrganisationId, WireId)>),
    Return(Vec<(OrganisationId, WireReturn)>),
    Copy,
    Ended(InstanceId),
    Charge(OrganisationId, u64, u64),
    Settle(Vec<(u64, u64)>),
    EndedBorrower(InstanceId, Vec<u64>),
}

#[derive(Debug, Serialize, Deserialize)]
enum WireAnswer {
    Loan(Option<WireLoan>, Vec<WireReturn>),
    Prolonged(Vec<(OrganisationId, WireId)>),
    Noted,
    Copy(Option<(StoreRevision, Vec<u8>)>),
    Ended { had_loans: bool },
    Charged(u64),
    Refused(Refusal),
}

type WireId = (u64, u64);

#[derive(Debug, Serialize, Deserialize)]
struct WireLoanRequest {
    id: WireId,
    from: InstanceId,
    tokens: Amount,
    need: Part,
    want: Part,
    term_ms: u32,
    least_term_ms: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLoan {
    id: WireId,
    part: Part,
    tokens: Amount,
    term_ms: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireReturn {
    id: WireId,
    left: Part,
    tokens: Amount,
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// [`PeerError::Malformed`] if encoding fails.
    pub fn to_bytes(&self) -> Result<Bytes, PeerError> {
        encode(&WireMessage::from(self))
    }

    /// Decodes and validates a message.
    ///
    /// # Errors
    ///
    /// [`PeerError::Malformed`] if the bytes are not a message, or an amount is negative.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, PeerError> {
        Self::try_from(decode::<WireMessage>(bytes)?)
    }
}

impl Answer {
    /// Encodes the answer.
    ///
    /// # Errors
    ///
    /// [`PeerError::Malformed`] if encoding fails.
    pub fn to_bytes(&self) -> Result<Bytes, PeerError> {
        encode(&WireAnswer::try_from(self)?)
    }

    /// Decodes and validates an answer.
    ///
    /// # Errors
    ///
    /// [`PeerError::Malformed`] if the bytes are not an answer, or an amount or the ledger is
    /// invalid.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, PeerError> {
        Self::try_from(decode::<WireAnswer>(bytes)?)
    }
}

impl From<&Message> for WireMessage {
    fn from(message: &Message) -> Self {
        match message {
            Message::Borrow(organisation, loan_request) => {
                Self::Borrow(organisation.clone(), loan_request.into())
            }
            Message::Prolong(loans) => Self::Prolong(wire_ids(loans)),
            Message::Return(returns) => {
                let wire = returns.iter().map(|(o, r)| (o.clone(), r.into()));
                Self::Return(wire.collect())
            }
            Message::Copy => Self::Copy,
            Message::Ended(instance) => Self::Ended(instance.clone()),
            Message::EndedBorrower(instance, incarnations) => {
                Self::EndedBorrower(instance.clone(), incarnations.clone())
            }
            Message::Charge {
                organisation,
                tokens,
                time_left,
            } => {
                let time_left_us = u64::try_from(time_left.as_micros()).unwrap_or(u64::MAX);
                Self::Charge(organisation.clone(), *tokens, time_left_us)
            }
            Message::Settle(settlements) => Self::Settle(settlements.clone()),
        }
    }
}

impl TryFrom<WireMessage> for Message {
    type Error = PeerError;

    fn try_from(wire: WireMessage) -> Result<Self, PeerError> {
        Ok(match wire {
            WireMessage::Borrow(organisation, loan_request) => {
                Self::Borrow(organisation, loan_request.try_into()?)
            }
            WireMessage::Prolong(loans) => Self::Prolong(ids(loans)),
            WireMessage::Return(wire) => {
                let mut returns = Vec::with_capacity(wire.len());
                for (organisation, returned) in wire {
                    returns.push((organisation, returned.try_into()?));
                }
                Self::Return(returns)
            }
            WireMessage::Copy => Self::Copy,
            WireMessage::Ended(instance) => Self::Ended(instance),
            WireMessage::EndedBorrower(instance, incarnations) => {
                Self::EndedBorrower(instance, incarnations)
            }
            WireMessage::Charge(organisation, tokens, time_left_us) => Self::Charge {
                organisation,
                tokens,
                time_left: Duration::from_micros(time_left_us).min(MAX_TERM),
            },
            WireMessage::Settle(settlements) => Self::Settle(settlements),
        })
    }
}

impl TryFrom<&Answer> for WireAnswer {
    type Error = PeerError;

    fn try_from(answer: &Answer) -> Result<Self, PeerError> {
        Ok(match answer {
            Answer::Loan(loan, returns) => {
                let returns = returns.iter().map(WireReturn::from).collect();
                Self::Loan(loan.as_ref().map(WireLoan::from), returns)
            }
            Answer::Prolonged(loans) => Self::Prolonged(wire_ids(loans)),
            Answer::Noted => Self::Noted,
            Answer::Ended { had_loans } => Self::Ended {
                had_loans: *had_loans,
            },
            Answer::Charged(id) => Self::Charged(*id),
            Answer::Refused(refusal) => Self::Refused(refusal.clone()),
            Answer::Copy(None) => Self::Copy(None),
            Answer::Copy(Some((revision, ledger))) => {
                let bytes = ledger.to_bytes().map_err(malformed)?;
                Self::Copy(Some((*revision, bytes)))
            }
        })
    }
}

impl TryFrom<WireAnswer> for Answer {
    type Error = PeerError;

    fn try_from(wire: WireAnswer) -> Result<Self, PeerError> {
        Ok(match wire {
            WireAnswer::Loan(loan, wire) => {
                let mut returns = Vec::with_capacity(wire.len());
                for returned in wire {
                    returns.push(returned.try_into()?);
                }
                Self::Loan(loan.map(Loan::try_from).transpose()?, returns)
            }
            WireAnswer::Prolonged(loans) => Self::Prolonged(ids(loans)),
            WireAnswer::Noted => Self::Noted,
            WireAnswer::Ended { had_loans } => Self::Ended { had_loans },
            WireAnswer::Charged(id) => Self::Charged(id),
            WireAnswer::Refused(refusal) => Self::Refused(refusal),
            WireAnswer::Copy(None) => Self::Copy(None),
            WireAnswer::Copy(Some((revision, bytes))) => {
                let ledger = Ledger::from_bytes(&bytes).map_err(malformed)?;
                Self::Copy(Some((revision, ledger)))
            }
        })
    }
}

impl From<&LoanRequest> for WireLoanRequest {
    fn from(loan_request: &LoanRequest) -> Self {
        Self {
            id: (loan_request.id.borrower, loan_request.id.serial),
            from: loan_request.from.clone(),
            tokens: loan_request.tokens,
            need: loan_request.required_part,
            want: loan_request.wanted_part,
            term_ms: whole_millis(loan_request.term),
            least_term_ms: whole_millis(loan_request.min_term),
        }
    }
}

impl TryFrom<WireLoanRequest> for LoanRequest {
    type Error = PeerError;

    fn try_from(wire: WireLoanRequest) -> Result<Self, PeerError> {
        Ok(Self {
            id: id(wire.id),
            from: wire.from,
            tokens: non_negative(wire.tokens)?,
            required_part: wire.need.min(Part::WHOLE),
            wanted_part: wire.want.min(Part::WHOLE),
            term: term(wire.term_ms),
            min_term: term(wire.least_term_ms),
        })
    }
}

impl From<&Loan> for WireLoan {
    fn from(loan: &Loan) -> Self {
        Self {
            id: (loan.id.borrower, loan.id.serial),
            part: loan.part,
            tokens: loan.tokens,
            term_ms: whole_millis(loan.term),
        }
    }
}

impl TryFrom<WireLoan> for Loan {
    type Error = PeerError;

    fn try_from(wire: WireLoan) -> Result<Self, PeerError> {
        Ok(Self {
            id: id(wire.id),
            part: wire.part.min(Part::WHOLE),
            tokens: non_negative(wire.tokens)?,
            term: term(wire.term_ms),
        })
    }
}

impl From<&Return> for WireReturn {
    fn from(returned: &Return) -> Self {
        Self {
            id: (returned.id.borrower, returned.id.serial),
            left: returned.remaining_part,
            tokens: returned.tokens,
        }
    }
}

impl TryFrom<WireReturn> for Return {
    type Error = PeerError;

    fn try_from(wire: WireReturn) -> Result<Self, PeerError> {
        Ok(Self {
            id: id(wire.id),
            remaining_part: wire.left.min(Part::WHOLE),
            tokens: non_negative(wire.tokens)?,
        })
    }
}

fn id((borrower, serial): WireId) -> LoanId {
    LoanId { borrower, serial }
}

fn ids(wire: Vec<(OrganisationId, WireId)>) -> Vec<(OrganisationId, LoanId)> {
    let mut loans = Vec::with_capacity(wire.len());
    for (organisation, wire) in wire {
        loans.push((organisation, id(wire)));
    }
    loans
}

fn wire_ids(loans: &[(OrganisationId, LoanId)]) -> Vec<(OrganisationId, WireId)> {
    let mut wire = Vec::with_capacity(loans.len());
    for (organisation, id) in loans {
        wire.push((organisation.clone(), (id.borrower, id.serial)));
    }
    wire
}

/// Rounds a term down to whole milliseconds, so that a loan never lasts longer at the borrower than
/// at the lender.
fn whole_millis(term: Duration) -> u32 {
    u32::try_from(term.as_millis()).unwrap_or(u32::MAX)
}

fn term(millis: u32) -> Duration {
    Duration::from_millis(millis.into()).min(MAX_TERM)
}

fn non_negative(tokens: Amount) -> Result<Amount, PeerError> {
    if tokens < Amount::ZERO {
        return Err(PeerError::Malformed("negative number of tokens".to_owned()));
    }
    Ok(tokens)
}

fn malformed(e: super::ledger::LedgerError) -> PeerError {
    PeerError::Malformed(e.to_string())
}

crate::wire_format!("limit-answer", WireAnswer);
crate::wire_format!("limit-message", WireMessage);
