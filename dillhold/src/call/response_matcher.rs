//! Attributes responses to set-ups to the requests that they answer.
//!
//! Each request has a number of its own. Exchanges may repeat it in their responses, as RFC 3261 asks, or choose the numbers
//! of their responses freely. Which of the two an exchange does is learned from its responses: only of one that has
//! repeated numbers, and never sent another, does the number of an earlier request show that a response is a second copy.

use std::collections::HashMap;

use pitchgw::interface::ExchangeId;

use crate::session::exchange::RELEASE_SEQUENCE;

/// The last number of a set-up; the first one follows it.
const MAX_SEQUENCE: u32 = RELEASE_SEQUENCE - 1;

/// What the responses of an exchange have shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Numbering {
    /// The numbers were those of the requests.
    RepeatsNumbers,
    /// Numbers were not those of any request for the call.
    ChoosesNumbers,
}

/// Assigns the numbers of requests and matches responses with them.
#[derive(Debug, Default)]
pub(super) struct ResponseMatcher {
    last_sequence: u32,
    by_exchange: HashMap<ExchangeId, Numbering>,
}

impl ResponseMatcher {
    /// The number of the next request.
    pub fn next_sequence(&mut self) -> u32 {
        self.last_sequence = if self.last_sequence < MAX_SEQUENCE { self.last_sequence + 1 } else { 1 };
        self.last_sequence
    }

    /// Whether a response with this number answers a request that has ended, and not the pending one. `ended` are the
    /// numbers of the call's earlier requests.
    pub fn is_repeated(&mut self, exchange: ExchangeId, sequence: u32, pending: u32, ended: &[u32]) -> bool {
        let numbering = self.by_exchange.get(&exchange).copied();
        if sequence == pending {
            // Any exchange may call a response its first one.
            if numbering.is_none() && sequence > 1 {
                self.by_exchange.insert(exchange, Numbering::RepeatsNumbers);
            }
            return false;
        }
        if ended.contains(&sequence) {
            return numbering == Some(Numbering::RepeatsNumbers);
        }
        self.by_exchange.insert(exchange, Numbering::ChoosesNumbers);
        false
    }

    /// Discards what is known of an exchange.
    pub fn remove(&mut self, exchange: ExchangeId) {
        self.by_exchange.remove(&exchange);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn number_of_an_earlier_request_counts_for_exchanges_that_repeat_numbers_only() {
        let mut matcher = ResponseMatcher::default();
        assert_eq!([matcher.next_sequence(), matcher.next_sequence()], [1, 2]);
        assert!(!matcher.is_repeated(7, 1, 1, &[]), "it may call its first response that");
        assert!(!matcher.is_repeated(7, 1, 2, &[1]), "not known yet");
        assert!(!matcher.is_repeated(7, 3, 3, &[]));
        assert!(matcher.is_repeated(7, 3, 4, &[3]));
        assert!(!matcher.is_repeated(8, 3, 4, &[3]), "another exchange");
        // Exchange 7 has sent a number that is not that of a request for the call.
        assert!(!matcher.is_repeated(7, 1, 6, &[5]));
        assert!(!matcher.is_repeated(7, 5, 6, &[5]) && !matcher.is_repeated(7, 6, 6, &[5]));
        assert!(!matcher.is_repeated(7, 5, 6, &[5]));
        matcher.remove(7);
        assert!(!matcher.is_repeated(7, 9, 9, &[]) && matcher.is_repeated(7, 8, 9, &[8]));
    }
}
