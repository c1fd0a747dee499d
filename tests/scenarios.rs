//! Scenario tests of the decision module: one for each part of the mechanism, and regressions.

mod common;

use common::*;
use pitchgw::interface::*;
use pitchgw::Controller;

const TURNED_BACK: (Outcome, Cause) = (Outcome::Rejected, Cause::TurnedBack);
const TIMED_OUT: (Outcome, Cause) = (Outcome::TimedOut, Cause::Untold);

#[test]
fn rejects_invalid_settings_with_reason() {
    let error_after = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Controller::new(settings, 1).err()
    };
    assert_eq!(error_after(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_after(|s| s.classes[1].delay_target = 0), Some(SettingsError::ZeroDelayTarget(1)));
    assert_eq!(error_after(|s| s.classes[0].width = 0), Some(SettingsError::ZeroWidth(0)));
    assert_eq!(error_after(|s| s.classes[0].worth = f64::NAN), Some(SettingsError::InvalidWorth(0)));
    assert_eq!(
        error_after(|s| s.controller_index = 4),
        Some(SettingsError::ControllerIndexOutOfRange { index: 4, count: 4 })
    );
    assert_eq!(error_after(|s| s.home_exchange = None), Some(SettingsError::NoHomeExchange));
    assert_eq!(error_after(|s| s.max_attempts = 0), Some(SettingsError::NoAttemptsAllowed));
    assert_eq!(error_after(|_| {}), None);
}

#[test]
fn sends_on_route_without_answers() {
    let mut harness = Harness::new(settings());
    assert_eq!(sent_to(&harness.dial(1).1), Some(1));
}

#[test]
fn predicts_idle_route_from_minimum_round_trip() {
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 100 * MS);
    harness.advance(30 * SEC);
    assert_eq!(sent_to(&harness.dial(1).1), Some(1), "0.1 s is well below the delay target");
    let mut slow = Harness::new(settings());
    slow.complete_round_trip(1, 2500 * MS);
    slow.advance(9 * SEC);
    assert_eq!(sent_to(&slow.dial(1).1), None, "the minimum exceeds the delay target");
}

#[test]
fn prediction_includes_elapsed_time_of_pending_set_up() {
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 100 * MS);
    harness.advance(10 * SEC);
    let (_, first) = harness.dial(1);
    assert_eq!(sent_to(&first), Some(1));
    harness.advance(300 * MS);
    assert_eq!(
        sent_to(&harness.dial(1).1),
        Some(1),
        "0.3 s elapsed and 0.1 s expected: below the target of 2 s"
    );
    harness.advance(1900 * MS);
    assert_eq!(sent_to(&harness.dial(1).1), None, "the elapsed time exceeds the delay target");
}

#[test]
fn recent_round_trip_is_used_until_it_expires() {
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 100 * MS);
    harness.advance(10 * SEC);
    harness.complete_round_trip(1, 2200 * MS);
    assert_eq!(sent_to(&harness.dial(1).1), None, "the last round trip exceeded the delay target");
    harness.advance(2500 * MS);
    assert_eq!(
        sent_to(&harness.dial(1).1),
        Some(1),
        "the last round trip is valid for one delay target only"
    );
}

#[test]
fn active_routes_scale_prediction_of_idle_route() {
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 400 * MS);
    harness.complete_round_trip(2, 100 * MS);
    harness.advance(20 * SEC);
    assert_eq!(sent_to(&harness.dial(1).1), Some(1), "no active route: the delay ratio is 1");
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 400 * MS);
    harness.complete_round_trip(2, 100 * MS);
    harness.advance(20 * SEC);
    harness.complete_round_trip(2, 900 * MS);
    assert_eq!(sent_to(&harness.dial(1).1), None, "delay ratio 9 elsewhere: 3.6 s expected here");
}

#[test]
fn fast_routes_do_not_lower_prediction_of_slow_route() {
    // The delay ratio is at least 1.
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 2300 * MS);
    harness.advance(9 * SEC);
    harness.complete_round_trip(2, 100 * MS);
    assert_eq!(sent_to(&harness.dial(1).1), None);
}

/// Two machines were replaced during a processor hang. The first answers on the new routes came later than
/// the delay target, and every further call was refused without an attempt.
#[test]
fn late_first_answers_do_not_close_route_permanently() {
    let mut harness = Harness::new(settings());
    for (old, new) in [(1, 11), (2, 12)] {
        let gone = Entry { standing: ExchangeState::Gone, ..in_service(old) };
        let fresh = Entry { exchange: new, ..in_service(old) };
        harness.deliver(Event::ListUpdated(ListUpdate::Changes, vec![gone, fresh]));
        harness.report_circuits(new, 20.0, 20.0);
    }
    let late: Vec<_> = [1, 2].iter().flat_map(|n| [harness.dial(*n).0, harness.dial(*n).0]).collect();
    harness.advance(2800 * MS);
    for (call, to) in late.into_iter().zip([11, 11, 12, 12]) {
        harness.call_stands(call, 0, 2800 * MS);
        harness.call_completed(call, to);
    }
    harness.advance(3 * SEC);
    assert_eq!(sent_to(&harness.dial(1).1), None, "at first the late answer determines the prediction");
    harness.sent.clear();
    let mut stood = 0;
    for _ in 0..60 {
        harness.advance(SEC / 2);
        for number in [1, 2] {
            let (call, actions) = harness.dial(number);
            if let Some(to) = sent_to(&actions) {
                harness.advance(20 * MS);
                harness.call_stands(call, 0, 20 * MS);
                harness.call_completed(call, to);
                stood += 1;
            }
        }
    }
    assert!(stood > 80, "another set-up has to reopen the route: {stood} of 120 calls stood");
}

#[test]
fn sends_few_set_ups_on_slow_route() {
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 2500 * MS);
    let mut sent = 0;
    for _ in 0..120 {
        harness.advance(SEC / 2);
        let (call, actions) = harness.dial(1);
        if sent_to(&actions) == Some(1) {
            sent += 1;
            harness.advance(2500 * MS);
            harness.call_stands(call, 0, 2500 * MS);
            harness.call_completed(call, 1);
        }
    }
    assert!((2..=8).contains(&sent), "one set-up per five delay targets: {sent}");
}

#[test]
fn failure_closes_its_own_route_only() {
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 100 * MS);
    harness.complete_round_trip(2, 100 * MS);
    harness.advance(10 * SEC);
    let (call, _) = harness.dial(1);
    harness.advance(50 * MS);
    harness.attempt_ended(call, 0, 1, (Outcome::Rejected, Cause::ProcessorFull(None)));
    assert_eq!(sent_to(&harness.dial(1).1), None, "a full processor is not tried again immediately");
    assert_eq!(sent_to(&harness.dial(2).1), Some(2), "other routes stay open");
}

#[test]
fn failure_before_any_answer_sets_no_minimum_round_trip() {
    let mut harness = Harness::new(settings());
    let (call, _) = harness.dial(1);
    harness.attempt_ended(call, 0, 1, TIMED_OUT);
    harness.advance(10 * SEC);
    assert_eq!(sent_to(&harness.dial(1).1), Some(1), "a route without answers stays open");
}

/// After a mass cut all callers redialled at once, and every call was sent before the first answer.
#[test]
fn limits_burst_before_first_answer() {
    let mut harness = Harness::new(settings());
    for i in 0..60 {
        harness.complete_round_trip(1 + i % 3, 100 * MS);
        harness.advance(SEC);
    }
    for exchange in 1..4 {
        harness.report_circuits(exchange, 500.0, 500.0);
    }
    let sent = (0..200).filter(|i| sent_to(&harness.dial(1 + i % 3).1).is_some()).count();
    assert!((5..40).contains(&sent), "{sent} set-ups at 0.1 s each with a delay target of 2 s");
}

/// Controllers that restarted during a mass redial had no round trips yet and sent every call.
#[test]
fn limits_burst_right_after_start() {
    let mut harness = Harness::new(settings());
    for exchange in 1..4 {
        harness.report_circuits(exchange, 500.0, 500.0);
    }
    let sent = (0..200).filter(|i| sent_to(&harness.dial(1 + i % 3).1).is_some()).count();
    assert!((3..30).contains(&sent), "{sent} set-ups before the first answer");
}

/// Pending set-ups to an exchange that had stopped answering raised the load until healthy routes closed.
#[test]
fn silent_exchange_does_not_close_other_routes() {
    let mut harness = Harness::new(settings());
    for i in 0..60 {
        harness.complete_round_trip(1 + i % 3, 100 * MS);
        harness.advance(SEC);
    }
    for _ in 0..4 {
        assert_eq!(sent_to(&harness.dial(3).1), Some(3));
    }
    harness.advance(2200 * MS);
    assert_eq!(sent_to(&harness.dial(3).1), None, "the route to the silent exchange is closed");
    harness.complete_round_trip(1, 100 * MS);
    assert_eq!(sent_to(&harness.dial(2).1), Some(2), "an idle route elsewhere stays open");
}

/// With the own processor down, each call was tried by every tandem in turn.
#[test]
fn refuses_call_when_own_processor_is_down() {
    let mut harness = Harness::new(settings());
    let (id, _) = harness.dial(1);
    let actions = harness.attempt_ended(id, 0, 1, (Outcome::NotSent, Cause::ProcessorFull(None)));
    assert_eq!((sent_to(&actions), final_answers(&actions, id)), (None, 1));
}

/// Guards against two failures: an exchange whose own processor was slow kept trying route after route, and
/// set-ups pending at other, slow exchanges closed healthy routes.
#[test]
fn closes_idle_route_only_if_all_routes_are_slow() {
    for (healthy, expected) in [(false, None), (true, Some(3))] {
        let mut harness = Harness::new(settings());
        harness.deliver(Event::ListUpdated(ListUpdate::Changes, (1..8).map(in_service).collect()));
        for i in 0..140 {
            harness.complete_round_trip(1 + i % 7, 100 * MS);
            harness.advance(SEC);
        }
        harness.advance(5 * SEC);
        let calls = [1, 2, 4, 5].map(|exchange| (exchange, harness.dial(exchange).0));
        for _ in 0..5 {
            harness.advance(if healthy { 200 * MS } else { 400 * MS });
            if healthy {
                harness.complete_round_trip(6, 100 * MS);
                harness.complete_round_trip(7, 100 * MS);
            }
        }
        for (exchange, id) in calls {
            harness.attempt_ended(id, 0, exchange, TIMED_OUT);
        }
        assert_eq!(sent_to(&harness.dial(3).1), expected, "two of six active routes healthy: {healthy}");
    }
}

/// Under overload most tandems turned calls back because they had no circuits to the destination. Every call
/// was tried by tandem after tandem, and each attempt costs the tandem processor work.
#[test]
fn stops_trying_tandems_that_turn_most_calls_back() {
    let mut harness = Harness::new(settings());
    for exchange in 1..4 {
        harness.complete_round_trip(exchange, 300 * MS);
    }
    harness.advance(10 * SEC);
    let mut attempt_counts = Vec::new();
    for _ in 0..60 {
        harness.report_circuits(1, 0.0, 20.0);
        harness.report_circuits(2, 4.0, 20.0);
        harness.report_circuits(3, 4.0, 20.0);
        let (id, mut actions) = harness.dial(1);
        let mut attempts = 0;
        while let Some(to) = sent_to(&actions) {
            harness.advance(50 * MS);
            actions = harness.attempt_ended(id, attempts, to, TURNED_BACK);
            attempts += 1;
        }
        attempt_counts.push(attempts);
        harness.advance(60 * SEC);
    }
    assert!(attempt_counts[0] == 2 && attempt_counts[59] == 0, "{attempt_counts:?}");
}

/// In a large network a controller has a call for each destination once in many delay targets. Failures had
/// expired by the next call, and all controllers together kept a slow exchange jammed.
#[test]
fn failure_stays_in_force_until_next_expected_call() {
    for (interval, expected) in [(10 * SEC, None), (SEC, Some(1))] {
        let mut harness = Harness::new(settings());
        for _ in 0..20 {
            harness.complete_round_trip(1, 100 * MS);
            harness.advance(interval);
        }
        let (call, _) = harness.dial(1);
        harness.attempt_ended(call, 0, 1, (Outcome::Rejected, Cause::ProcessorFull(None)));
        harness.advance(5 * SEC);
        assert_eq!(sent_to(&harness.dial(1).1), expected, "one call per {interval} ns");
    }
}

#[test]
fn cancelled_set_up_counts_as_failure_only_after_silence_threshold() {
    for (elapsed, expected) in [(1500 * MS, None), (300 * MS, Some(1))] {
        let mut harness = Harness::new(settings());
        harness.complete_round_trip(1, 100 * MS);
        harness.advance(5 * SEC);
        let (call, _) = harness.dial(1);
        harness.advance(elapsed);
        harness.attempt_ended(call, 0, 1, (Outcome::CalledOff, Cause::Untold));
        assert_eq!(sent_to(&harness.dial(1).1), expected, "cancelled after {elapsed} ns");
    }
}

/// In a large network most routes have no round trip yet. An exchange whose own processor was slow sent all
/// its calls on such routes.
#[test]
fn route_without_round_trip_is_scaled_by_delay_of_others() {
    let mut harness = Harness::new(settings());
    for _ in 0..100 {
        harness.complete_round_trip(1, 100 * MS);
        harness.advance(100 * MS);
    }
    harness.advance(10 * SEC);
    harness.complete_round_trip(1, 4 * SEC);
    assert_eq!(sent_to(&harness.dial(3).1), None, "delay ratio 40 elsewhere");
}

/// Controllers that were paused for seconds took their own pause for network delay.
#[test]
fn excludes_own_pause_from_route_delay() {
    for paused in [true, false] {
        let mut harness = Harness::new(settings());
        harness.complete_round_trip(2, 100 * MS);
        harness.advance(10 * SEC);
        // As in operation, calls have come and ended, and one set-up is pending.
        for _ in 0..40 {
            harness.complete_round_trip(1, 100 * MS);
        }
        harness.advance(10 * MS);
        let (id, _) = harness.dial(2);
        if paused {
            harness.pause_process(3 * SEC);
        } else {
            harness.advance(2500 * MS);
        }
        harness.call_stands(id, 0, 100 * MS);
        harness.report_circuits(2, 20.0, 20.0);
        harness.advance(10 * MS);
        let expected = if paused { Some(2) } else { None };
        assert_eq!(sent_to(&harness.dial(2).1), expected, "process paused: {paused}");
    }
}

/// After a pause, calls and list updates arrive in one batch. The list updates apply first, even behind the
/// calls.
#[test]
fn decides_calls_after_list_updates_received_after_pause() {
    let mut harness = Harness::new(settings());
    for _ in 0..40 {
        harness.complete_round_trip(1, 100 * MS);
    }
    harness.pause_process(2 * SEC);
    let mut call = harness.new_call(3);
    call.deadline = harness.now + 2 * SEC;
    let id = call.call;
    assert_eq!(sent_to(&harness.offer_call(call)), None);
    harness.deliver(Event::ListUpdated(
        ListUpdate::Changes,
        vec![Entry { standing: ExchangeState::Draining, ..in_service(3) }],
    ));
    harness.advance(10 * MS);
    assert!(harness.sent.iter().all(|s| s.call != id), "no set-up to the draining exchange");
    assert_eq!(sent_to(&harness.dial(2).1), Some(2), "other calls are not affected");
}

/// The class listed first determined the silence threshold and the initial time per pending set-up.
#[test]
fn class_order_does_not_affect_decisions() {
    let sent = |swap: bool| {
        let mut settings = settings();
        if swap {
            settings.classes.reverse();
        }
        let mut harness = Harness::new(settings);
        for exchange in 1..4 {
            harness.report_circuits(exchange, 500.0, 500.0);
        }
        for i in 0..100 {
            let mut call = harness.new_call(1 + i % 3);
            call.class = usize::from((i % 4 == 0) != swap);
            harness.offer_call(call);
        }
        harness.sent.iter().map(|s| s.call).collect::<Vec<_>>()
    };
    assert_eq!(sent(false), sent(true));
}

#[test]
fn long_prediction_requires_higher_worth() {
    let mut settings = settings();
    settings.classes[1].delay_target = 2 * SEC;
    let mut harness = Harness::new(settings);
    for _ in 0..50 {
        harness.complete_round_trip(2, 50 * MS);
        harness.advance(5 * SEC);
    }
    // With both classes offered, the mean worth lies between the two.
    for _ in 0..300 {
        let mut call = harness.new_call(2);
        call.class = 1;
        let id = call.call;
        harness.offer_call(call);
        harness.call_stands(id, 0, 50 * MS);
        harness.call_completed(id, 2);
    }
    harness.complete_round_trip(1, 1400 * MS);
    assert_eq!(
        sent_to(&harness.dial(1).1),
        None,
        "probably on time, but worth less than the delay it causes"
    );
    let mut valuable_call = harness.new_call(1);
    valuable_call.class = 1;
    assert_eq!(sent_to(&harness.offer_call(valuable_call)), Some(1));
}

/// Before any prediction error the deviation is at its lower limit, a tenth of the delay target. A prediction
/// slightly beyond the target then still has a positive payoff, one far beyond has none.
#[test]
fn error_deviation_has_lower_limit() {
    for (min_rtt, expected) in [(1030 * MS, Some(1)), (1600 * MS, None)] {
        let mut settings = settings();
        settings.classes[1].late_worth_share = 0.0;
        let mut harness = Harness::new(settings);
        harness.complete_round_trip(1, min_rtt);
        harness.advance(9 * SEC);
        let mut call = harness.new_call(1);
        call.class = 1;
        assert_eq!(sent_to(&harness.offer_call(call)), expected, "minimum round trip {min_rtt} ns");
    }
}

/// Redials that could only be late took circuits from calls that could be on time.
#[test]
fn redial_keeps_delay_target_of_first_try() {
    let mut harness = Harness::new(settings());
    harness.complete_round_trip(1, 100 * MS);
    for exchange in 1..4 {
        harness.report_circuits(exchange, 0.0, 20.0);
    }
    let mut call = harness.new_call(1);
    call.dialled = Some(5);
    let id = call.call;
    assert_eq!(final_answers(&harness.offer_call(call), id), 1, "no circuit on any route");
    harness.advance(4 * SEC);
    harness.report_circuits(1, 1.0, 20.0);
    let mut redial = harness.new_call(1);
    redial.dialled = Some(5);
    let id = redial.call;
    assert_eq!(
        final_answers(&harness.offer_call(redial), id),
        1,
        "a late call may not take the last circuit"
    );
    assert_eq!(sent_to(&harness.dial(1).1), Some(1), "a call on time may");
}

#[test]
fn tries_direct_route_then_advised_tandem_then_another() {
    let mut harness = Harness::new(settings());
    let mut call = harness.new_call(1);
    call.advised_route = Some(3);
    assert_eq!(sent_to(&harness.offer_call(call)), Some(1), "direct while the group has free circuits");
    harness.report_circuits(1, 0.0, 20.0);
    let mut call = harness.new_call(1);
    call.advised_route = Some(3);
    let id = call.call;
    assert_eq!(sent_to(&harness.offer_call(call)), Some(3), "then by the advised tandem");
    assert_eq!(sent_to(&harness.attempt_ended(id, 0, 3, TURNED_BACK)), Some(2), "then by another tandem");
}

#[test]
fn reuses_last_good_tandem() {
    let mut harness = Harness::new(settings());
    harness.report_circuits(1, 0.0, 20.0);
    let mut call = harness.new_call(1);
    call.advised_route = Some(3);
    let id = call.call;
    harness.offer_call(call);
    harness.call_stands(id, 0, 100 * MS);
    for _ in 0..8 {
        let (id, actions) = harness.dial(1);
        assert_eq!(sent_to(&actions), Some(3));
        harness.call_stands(id, 0, 100 * MS);
    }
}

#[test]
fn reserves_last_circuits_against_tandem_and_transit_calls() {
    let mut harness = Harness::new(settings());
    harness.report_circuits(1, 0.0, 20.0);
    harness.report_circuits(2, 2.0, 20.0);
    harness.report_circuits(3, 2.0, 20.0);
    assert_eq!(sent_to(&harness.dial(1).1), None, "the last circuits are reserved against tandem calls");
    let mut transit = harness.new_call(2);
    transit.in_transit = true;
    let id = transit.call;
    assert_eq!(final_answers(&harness.offer_call(transit), id), 1, "and against calls in transit");
    assert_eq!(sent_to(&harness.dial(2).1), Some(2), "a direct call may take them");
}

#[test]
fn sends_transit_call_to_destination_or_turns_it_back() {
    let mut harness = Harness::new(settings());
    let mut transit = harness.new_call(2);
    transit.in_transit = true;
    assert_eq!(sent_to(&harness.offer_call(transit)), Some(2));
    harness.report_circuits(2, 0.0, 20.0);
    let mut transit = harness.new_call(2);
    transit.in_transit = true;
    transit.advised_route = Some(3);
    let id = transit.call;
    let actions = harness.offer_call(transit);
    assert_eq!((sent_to(&actions), final_answers(&actions, id)), (None, 1));
}

#[test]
fn uses_only_pools_that_can_serve_class_in_order_of_preference() {
    let mut settings = settings();
    settings.topology = Topology::Pools;
    settings.home_exchange = None;
    settings.classes[0].pools = vec![1, 2];
    let mut harness = Harness::new(settings);
    assert_eq!(sent_to(&harness.dial(1).1), Some(1));
    harness.report_circuits(1, 0.0, 20.0);
    assert_eq!(sent_to(&harness.dial(1).1), Some(2), "the other pool that can serve the class");
    harness.report_circuits(2, 0.0, 20.0);
    assert_eq!(sent_to(&harness.dial(1).1), None, "no other pool");
}

#[test]
fn answers_waiting_call_before_its_deadline() {
    let mut harness = Harness::new(settings());
    let (id, actions) = harness.dial(1);
    let due =
        actions.iter().find_map(|a| if let Action::SetTimer(t, at) = a { Some((*t, *at)) } else { None });
    let (token, at) = due.expect("a timer for the final answer");
    assert!(at < harness.now + 3 * SEC);
    harness.now = at;
    let actions = harness.deliver(Event::TimerExpired(token));
    assert!(actions.contains(&Action::CancelAttempt { call: id, attempt: 0 }));
    assert!(actions.contains(&Action::Fail(id)));
    assert!(
        harness.deliver(Event::TimerExpired(token)).is_empty(),
        "the timer of an ended call has no effect"
    );
}

#[test]
fn waits_for_release_after_cut_attempt() {
    let mut harness = Harness::new(settings());
    let (id, _) = harness.dial(1);
    harness.advance(100 * MS);
    let actions = harness.attempt_ended(id, 0, 1, (Outcome::Cut, Cause::Untold));
    assert_eq!(sent_to(&actions), None);
    harness.advance(299 * MS);
    assert_eq!(sent_to(&harness.deliver(Event::TimerExpired(id))), None);
    harness.advance(MS);
    assert!(sent_to(&harness.deliver(Event::TimerExpired(id))).is_some());
}

#[test]
fn sends_nothing_to_draining_or_gone_exchange() {
    for state in [ExchangeState::Draining, ExchangeState::Gone] {
        let mut harness = Harness::new(settings());
        harness.deliver(Event::ListUpdated(
            ListUpdate::Changes,
            vec![Entry { standing: state, ..in_service(1) }],
        ));
        let (id, actions) = harness.dial(1);
        assert_eq!((sent_to(&actions), final_answers(&actions, id)), (None, 1));
        harness.report_circuits(2, 0.0, 20.0);
        assert_ne!(sent_to(&harness.dial(2).1), Some(1), "not as a tandem either");
    }
}

#[test]
fn answers_call_at_once_when_list_is_empty() {
    let mut harness = Harness::new(settings());
    harness.deliver(Event::ListUpdated(ListUpdate::Whole, Vec::new()));
    let (id, actions) = harness.dial(1);
    assert_eq!(final_answers(&actions, id), 1);
}

#[test]
fn uses_replacement_of_draining_machine() {
    let mut harness = Harness::new(settings());
    for _ in 0..60 {
        harness.complete_round_trip(2, 50 * MS);
        harness.advance(50 * MS);
    }
    let new = Entry { exchange: 9, since: Some(harness.now), ..in_service(1) };
    let old = Entry { standing: ExchangeState::Draining, ..in_service(1) };
    harness.deliver(Event::ListUpdated(ListUpdate::Changes, vec![old, new]));
    let (id, _) = harness.dial(1);
    harness.advance(SEC);
    let to: Vec<_> = harness.sent.iter().filter(|s| s.call == id).map(|s| s.exchange).collect();
    assert_eq!(to, [9], "sent to the replacement once its cold-start wait is over");
}

#[test]
fn replacement_machine_keeps_trunk_group() {
    let mut harness = Harness::new(settings());
    harness.report_circuits(1, 0.0, 20.0);
    let new = Entry { exchange: 9, since: Some(harness.now), ..in_service(1) };
    let old = Entry { standing: ExchangeState::Draining, ..in_service(1) };
    harness.deliver(Event::ListUpdated(ListUpdate::Changes, vec![old, new]));
    assert_ne!(sent_to(&harness.dial(1).1), Some(9));
}

#[test]
fn avoids_group_without_circuit_until_next_report() {
    let mut harness = Harness::new(settings());
    let (id, actions) = harness.dial(1);
    assert_eq!(sent_to(&actions), Some(1));
    harness.attempt_ended(id, 0, 1, (Outcome::NotSent, Cause::NoCircuit));
    assert_ne!(sent_to(&harness.dial(1).1), Some(1), "not before a report of a free circuit");
    harness.report_circuits(1, 1.0, 20.0);
    assert_eq!(sent_to(&harness.dial(1).1), Some(1));
}

#[test]
fn backs_off_from_busy_number() {
    let mut harness = Harness::new(settings());
    let mut call = harness.new_call(1);
    call.dialled = Some(5);
    let id = call.call;
    harness.offer_call(call.clone());
    assert_eq!(final_answers(&harness.attempt_ended(id, 0, 1, (Outcome::Failed, Cause::NumberBusy)), id), 1);
    let mut redial = harness.new_call(1);
    redial.dialled = Some(5);
    assert_eq!(sent_to(&harness.offer_call(redial)), None);
    assert_eq!(sent_to(&harness.dial(1).1), Some(1), "other numbers at that exchange are not affected");
}

#[test]
fn fails_non_idempotent_call_that_may_have_run() {
    let mut settings = settings();
    settings.classes[0].idempotent = false;
    let mut harness = Harness::new(settings);
    let (id, _) = harness.dial(1);
    harness.advance(100 * MS);
    let actions = harness.attempt_ended(id, 0, 1, TIMED_OUT);
    assert!(actions.contains(&Action::Fail(id)), "{actions:?}");
}

/// Calls were given up at the first failure although the exchange was failing three of four set-ups.
#[test]
fn attempts_again_after_unexplained_failure_only_at_faulty_exchange() {
    let mut harness = Harness::new(settings());
    let unexplained = (Outcome::Failed, Cause::Untold);
    let dial_and_fail = |harness: &mut Harness| {
        let (call, _) = harness.dial(1);
        harness.advance(20 * MS);
        (call, harness.attempt_ended(call, 0, 1, unexplained))
    };
    let (call, actions) = dial_and_fail(&mut harness);
    assert_eq!(final_answers(&actions, call), 1, "a single failure may be due to the call");
    dial_and_fail(&mut harness);
    let (call, actions) = dial_and_fail(&mut harness);
    assert_eq!(sent_to(&actions), Some(1), "the exchange is at fault: another attempt is sent");
    assert_eq!(
        final_answers(&harness.attempt_ended(call, 1, 1, (Outcome::Failed, Cause::NumberBusy)), call),
        1
    );
    (0..20).for_each(|_| harness.complete_round_trip(1, 20 * MS));
    let (call, actions) = dial_and_fail(&mut harness);
    assert_eq!(final_answers(&actions, call), 1, "the exchange has recovered");
}

/// Callers refused without a retry-after time redialled after a second or more, too late to be on time.
#[test]
fn refusal_carries_retry_after_time() {
    let retry_after = |harness: &mut Harness| match harness.dial(1).1.last() {
        Some(Action::Refuse { retry_after, .. }) => *retry_after,
        other => panic!("expected a refusal, got {other:?}"),
    };
    for (max_retry_after, on_time, late) in
        [(None, 0, 0), (Some(SEC), 300 * MS, SEC), (Some(5 * SEC), 300 * MS, 2 * SEC)]
    {
        let mut harness = Harness::new(Settings { max_retry_after, ..settings() });
        harness.deliver(Event::ListUpdated(
            ListUpdate::Changes,
            vec![Entry { standing: ExchangeState::Draining, ..in_service(1) }],
        ));
        assert_eq!(retry_after(&mut harness), on_time);
        let mut call = harness.new_call(1);
        call.dialled = Some(7);
        harness.offer_call(call.clone());
        harness.advance(2 * SEC);
        let redial = NewCall { call: call.call + 1, deadline: harness.now + SEC, ..call };
        let actions = harness.offer_call(redial);
        let refused = Action::Refuse { call: call.call + 1, retry_after: late };
        assert_eq!(actions.last(), Some(&refused), "the call can only be late");
    }
}

#[test]
fn subscribes_to_list_on_request_and_retries_when_unavailable() {
    let mut settings = settings();
    settings.list_on_request = true;
    let mut controller = Controller::new(settings, 1).unwrap();
    let mut actions = Vec::new();
    controller.handle_event(SEC, Event::ListUpdated(ListUpdate::Restored, vec![in_service(1)]), &mut actions);
    assert!(actions.contains(&Action::Subscribe));
    actions.clear();
    controller.handle_event(2 * SEC, Event::ListUpdated(ListUpdate::Unavailable, Vec::new()), &mut actions);
    let Some(Action::SetTimer(token, at)) = actions.pop() else { panic!("expected a retry timer") };
    controller.handle_event(at, Event::TimerExpired(token), &mut actions);
    assert_eq!(actions, vec![Action::Subscribe]);
}

#[test]
fn ignores_invalid_load_reports() {
    let mut harness = Harness::new(settings());
    harness.report_circuits(1, f64::NAN, f64::INFINITY);
    harness.report_circuits(1, -1.0, -1.0);
    harness.deliver(Event::LoadReported {
        exchange: 1,
        answered: true,
        elapsed: 0,
        report: LoadReport::default(),
    });
    harness.deliver(Event::LoadReported {
        exchange: 77,
        answered: true,
        elapsed: 0,
        report: LoadReport::default(),
    });
    assert_eq!(sent_to(&harness.dial(1).1), Some(1));
}
