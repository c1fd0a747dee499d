//! Small scenarios of the decision module, one for each part of the mechanism and each failure found.

mod common;

use common::*;
use pitchgw::interface::*;
use pitchgw::Controller;

const TURNED_BACK: (Outcome, Cause) = (Outcome::Rejected, Cause::TurnedBack);
const TIMED_OUT: (Outcome, Cause) = (Outcome::TimedOut, Cause::Untold);

#[test]
fn senseless_settings_are_refused_with_their_reason() {
    let bad = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Controller::new(s, 1).err()
    };
    assert_eq!(bad(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(bad(|s| s.classes[1].aim = 0), Some(SettingsError::ZeroAim(1)));
    assert_eq!(bad(|s| s.classes[0].width = 0), Some(SettingsError::ZeroWidth(0)));
    assert_eq!(bad(|s| s.classes[0].worth = f64::NAN), Some(SettingsError::BadWorth(0)));
    assert_eq!(bad(|s| s.controller_index = 4), Some(SettingsError::OwnNumber { own: 4, agents: 4 }));
    assert_eq!(bad(|s| s.home_exchange = None), Some(SettingsError::NoHome));
    assert_eq!(bad(|s| s.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert_eq!(bad(|_| {}), None);
}

// Predictor ------------------------------------------------------------------------------------------------

#[test]
fn an_unanswered_route_counts_as_open() {
    let mut rig = Rig::new(settings());
    assert_eq!(sent_to(&rig.dial(1).1), Some(1));
}

#[test]
fn idle_routes_are_predicted_from_the_least_round_trip() {
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 100 * MS);
    rig.wait(30 * SEC);
    assert_eq!(sent_to(&rig.dial(1).1), Some(1), "a tenth of a second is far within the aim");
    let mut slow = Rig::new(settings());
    slow.round_trip(1, 2500 * MS);
    slow.wait(9 * SEC);
    assert_eq!(sent_to(&slow.dial(1).1), None, "its least is past the aim");
}

#[test]
fn a_set_up_out_adds_its_elapsed_time() {
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 100 * MS);
    rig.wait(10 * SEC);
    let (_, first) = rig.dial(1);
    assert_eq!(sent_to(&first), Some(1));
    rig.wait(300 * MS);
    assert_eq!(sent_to(&rig.dial(1).1), Some(1), "0.3 s out, 0.1 s to go: within two seconds");
    rig.wait(1900 * MS);
    assert_eq!(sent_to(&rig.dial(1).1), None, "the silence has lasted longer than the aim");
}

#[test]
fn a_recent_round_trip_holds_and_then_goes_stale() {
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 100 * MS);
    rig.wait(10 * SEC);
    rig.round_trip(1, 2200 * MS);
    assert_eq!(sent_to(&rig.dial(1).1), None, "the last round trip was past the aim");
    rig.wait(2500 * MS);
    assert_eq!(sent_to(&rig.dial(1).1), Some(1), "one pause closes the route for an aim, not for long");
}

#[test]
fn other_busy_routes_scale_an_idle_one() {
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 400 * MS);
    rig.round_trip(2, 100 * MS);
    rig.wait(20 * SEC);
    assert_eq!(sent_to(&rig.dial(1).1), Some(1), "idle, nothing busy: the load is one");
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 400 * MS);
    rig.round_trip(2, 100 * MS);
    rig.wait(20 * SEC);
    rig.round_trip(2, 900 * MS);
    assert_eq!(sent_to(&rig.dial(1).1), None, "nine times the least elsewhere: 3.6 s here");
}

#[test]
fn fast_routes_elsewhere_do_not_promise_less_than_the_least() {
    // Rho is at least one: a route just as fast as ever leaves a slow one slow.
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 2300 * MS);
    rig.wait(9 * SEC);
    rig.round_trip(2, 100 * MS);
    assert_eq!(sent_to(&rig.dial(1).1), None);
}

/// Found on the long day: two machines were replaced while the processors hung. The first answers on the new
/// routes came later than the aim, and from then on every call was refused unsent until the end.
#[test]
fn first_answers_after_a_hang_close_no_route_for_good() {
    let mut rig = Rig::new(settings());
    for (old, new) in [(1, 11), (2, 12)] {
        let gone = Entry { standing: ExchangeState::Gone, ..up(old) };
        let fresh = Entry { exchange: new, ..up(old) };
        rig.tell(Event::ListUpdated(ListUpdate::Changes, vec![gone, fresh]));
        rig.circuits(new, 20.0, 20.0);
    }
    let late: Vec<_> = [1, 2].iter().flat_map(|n| [rig.dial(*n).0, rig.dial(*n).0]).collect();
    rig.wait(2800 * MS);
    for (call, to) in late.into_iter().zip([11, 11, 12, 12]) {
        rig.stands(call, 0, 2800 * MS);
        rig.completed(call, to);
    }
    rig.wait(3 * SEC);
    assert_eq!(sent_to(&rig.dial(1).1), None, "for a while the late answer is believed");
    rig.sent.clear();
    let mut stood = 0;
    for _ in 0..60 {
        rig.wait(SEC / 2);
        for number in [1, 2] {
            let (call, actions) = rig.dial(number);
            if let Some(to) = sent_to(&actions) {
                rig.wait(20 * MS);
                rig.stands(call, 0, 20 * MS);
                rig.completed(call, to);
                stood += 1;
            }
        }
    }
    assert!(stood > 80, "a real call tries again, and its answer opens the route: {stood} of 120 stood");
}

#[test]
fn a_route_that_stays_slow_or_silent_is_tried_seldom() {
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 2500 * MS);
    let mut sent = 0;
    for _ in 0..120 {
        rig.wait(SEC / 2);
        let (call, actions) = rig.dial(1);
        if sent_to(&actions) == Some(1) {
            sent += 1;
            rig.wait(2500 * MS);
            rig.stands(call, 0, 2500 * MS);
            rig.completed(call, 1);
        }
    }
    assert!((2..=8).contains(&sent), "one call in five aims pays for looking: {sent}");
}

#[test]
fn failures_count_as_twice_the_aim_on_their_route_only_and_do_not_lower_the_least() {
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 100 * MS);
    rig.round_trip(2, 100 * MS);
    rig.wait(10 * SEC);
    let (call, _) = rig.dial(1);
    rig.wait(50 * MS);
    rig.ended(call, 0, 1, (Outcome::Rejected, Cause::ProcessorFull(None)));
    assert_eq!(sent_to(&rig.dial(1).1), None, "a full processor is not tried again at once");
    assert_eq!(sent_to(&rig.dial(2).1), Some(2), "nor does it close other routes");
}

#[test]
fn a_failure_before_any_answer_leaves_no_least() {
    let mut rig = Rig::new(settings());
    let (call, _) = rig.dial(1);
    rig.ended(call, 0, 1, TIMED_OUT);
    rig.wait(10 * SEC);
    assert_eq!(sent_to(&rig.dial(1).1), Some(1), "still unanswered, still open");
}

/// Found on idb6ac9: a mass cut brought the callers back at once, and all were sent before the first answer.
#[test]
fn a_burst_is_seen_before_its_first_answer() {
    let mut rig = Rig::new(settings());
    for i in 0..60 {
        rig.round_trip(1 + i % 3, 100 * MS);
        rig.wait(SEC);
    }
    for x in 1..4 {
        rig.circuits(x, 500.0, 500.0);
    }
    let sent = (0..200).filter(|i| sent_to(&rig.dial(1 + i % 3).1).is_some()).count();
    assert!((5..40).contains(&sent), "{sent} set-ups at 0.1 s each against an aim of 2 s");
}

/// Found on ibdeb9f: agents restarted while all callers dialled again knew no route and sent every call.
#[test]
fn an_agent_that_starts_in_a_burst_does_not_send_it_all() {
    let mut rig = Rig::new(settings());
    for x in 1..4 {
        rig.circuits(x, 500.0, 500.0);
    }
    let sent = (0..200).filter(|i| sent_to(&rig.dial(1 + i % 3).1).is_some()).count();
    assert!((3..30).contains(&sent), "{sent} set-ups before the first answer");
}

/// Found on i80ca22: set-ups out to an exchange that had gone silent swelled the load until sound routes closed.
#[test]
fn a_silent_exchange_does_not_close_sound_routes() {
    let mut rig = Rig::new(settings());
    for i in 0..60 {
        rig.round_trip(1 + i % 3, 100 * MS);
        rig.wait(SEC);
    }
    for _ in 0..4 {
        assert_eq!(sent_to(&rig.dial(3).1), Some(3));
    }
    rig.wait(2200 * MS);
    assert_eq!(sent_to(&rig.dial(3).1), None, "its own route is closed");
    rig.round_trip(1, 100 * MS);
    assert_eq!(sent_to(&rig.dial(2).1), Some(2), "an idle route elsewhere is not");
}

/// Found on rough-2 of a site with silent exchanges: calls of an exchange whose own processor is down ran through
/// every tandem.
#[test]
fn a_call_ends_at_once_when_the_own_processor_is_down() {
    let mut rig = Rig::new(settings());
    let (id, _) = rig.dial(1);
    let actions = rig.ended(id, 0, 1, (Outcome::NotSent, Cause::ProcessorFull(None)));
    assert_eq!((sent_to(&actions), answers(&actions, id)), (None, 1));
}

/// Found on idb6ac9 and i53ad34: with its own processor slow, an exchange kept trying route after route. Found on rough-1
/// of a later site: set-ups waiting on slow exchanges elsewhere closed sound routes.
#[test]
fn only_what_all_routes_show_is_the_own_processor() {
    for (sound, expected) in [(false, None), (true, Some(3))] {
        let mut rig = Rig::new(settings());
        rig.tell(Event::ListUpdated(ListUpdate::Changes, (1..8).map(up).collect()));
        for i in 0..140 {
            rig.round_trip(1 + i % 7, 100 * MS);
            rig.wait(SEC);
        }
        rig.wait(5 * SEC);
        let calls = [1, 2, 4, 5].map(|x| (x, rig.dial(x).0));
        for _ in 0..5 {
            rig.wait(if sound { 200 * MS } else { 400 * MS });
            if sound {
                rig.round_trip(6, 100 * MS);
                rig.round_trip(7, 100 * MS);
            }
        }
        for (x, id) in calls {
            rig.ended(id, 0, x, TIMED_OUT);
        }
        assert_eq!(sent_to(&rig.dial(3).1), expected, "two of six sound: {sound}");
    }
}

/// Found on the overload day of a later site: most tandems turned calls back for want of circuits beyond, and tandem after
/// tandem was tried for every call, each look costing its processor work.
#[test]
fn tandems_that_turn_most_calls_back_are_worth_less() {
    let mut rig = Rig::new(settings());
    for x in 1..4 {
        rig.round_trip(x, 300 * MS);
    }
    rig.wait(10 * SEC);
    let mut tries = Vec::new();
    for _ in 0..60 {
        rig.circuits(1, 0.0, 20.0);
        rig.circuits(2, 4.0, 20.0);
        rig.circuits(3, 4.0, 20.0);
        let (id, mut actions) = rig.dial(1);
        let mut n = 0;
        while let Some(to) = sent_to(&actions) {
            rig.wait(50 * MS);
            actions = rig.ended(id, n, to, TURNED_BACK);
            n += 1;
        }
        tries.push(n);
        rig.wait(60 * SEC);
    }
    assert!(tries[0] == 2 && tries[59] == 0, "{tries:?}");
}

/// Found on big-2 of a later site: an agent of a large fleet calls each destination once in many aims. It had forgotten
/// each failure by the next call, and all agents together kept a slow exchange jammed.
#[test]
fn a_failure_holds_until_the_next_call_is_to_be_expected() {
    for (gap, expected) in [(10 * SEC, None), (SEC, Some(1))] {
        let mut rig = Rig::new(settings());
        for _ in 0..20 {
            rig.round_trip(1, 100 * MS);
            rig.wait(gap);
        }
        let (call, _) = rig.dial(1);
        rig.ended(call, 0, 1, (Outcome::Rejected, Cause::ProcessorFull(None)));
        rig.wait(5 * SEC);
        assert_eq!(sent_to(&rig.dial(1).1), expected, "a call in {gap} ns");
    }
}

#[test]
fn a_set_up_called_off_after_long_is_a_failure_and_one_with_little_time_is_not() {
    for (wait, expected) in [(1500 * MS, None), (300 * MS, Some(1))] {
        let mut rig = Rig::new(settings());
        rig.round_trip(1, 100 * MS);
        rig.wait(5 * SEC);
        let (call, _) = rig.dial(1);
        rig.wait(wait);
        rig.ended(call, 0, 1, (Outcome::CalledOff, Cause::Untold));
        assert_eq!(sent_to(&rig.dial(1).1), expected, "after {wait} ns");
    }
}

/// Found on big-2 of a later site: most routes of a large fleet have no round trip yet, and all of an exchange whose own
/// processor was slow went out on these.
#[test]
fn a_route_without_a_round_trip_is_as_slow_as_the_others() {
    let mut rig = Rig::new(settings());
    for _ in 0..100 {
        rig.round_trip(1, 100 * MS);
        rig.wait(100 * MS);
    }
    rig.wait(10 * SEC);
    rig.round_trip(1, 4 * SEC);
    assert_eq!(sent_to(&rig.dial(3).1), None, "forty times the least elsewhere");
}

/// Found on big-2 of a later site: agents stood still for seconds and took their own pause for the network's delay.
#[test]
fn the_own_pause_is_no_delay_of_a_route() {
    for still in [true, false] {
        let mut rig = Rig::new(settings());
        rig.round_trip(2, 100 * MS);
        rig.wait(10 * SEC);
        // Calls that end soon leave timers, as they do in service, and one set-up is out.
        for _ in 0..40 {
            rig.round_trip(1, 100 * MS);
        }
        rig.wait(10 * MS);
        let (id, _) = rig.dial(2);
        if still {
            rig.stand_still(3 * SEC);
        } else {
            rig.wait(2500 * MS);
        }
        rig.stands(id, 0, 100 * MS);
        rig.circuits(2, 20.0, 20.0);
        rig.wait(10 * MS);
        let expected = if still { Some(2) } else { None };
        assert_eq!(sent_to(&rig.dial(2).1), expected, "stood still: {still}");
    }
}

/// An agent that wakes finds calls and news at once: the news counts first, though it came behind the calls.
#[test]
fn calls_found_on_waking_are_decided_after_the_news_of_that_moment() {
    let mut rig = Rig::new(settings());
    for _ in 0..40 {
        rig.round_trip(1, 100 * MS);
    }
    rig.stand_still(2 * SEC);
    let mut call = rig.fresh(3);
    call.deadline = rig.now + 2 * SEC;
    let id = call.call;
    assert_eq!(sent_to(&rig.offer(call)), None);
    rig.tell(Event::ListUpdated(
        ListUpdate::Changes,
        vec![Entry { standing: ExchangeState::Draining, ..up(3) }],
    ));
    rig.wait(10 * MS);
    assert!(rig.sent.iter().all(|s| s.1 != id), "not to the exchange that drains");
    assert_eq!(sent_to(&rig.dial(2).1), Some(2), "others as ever");
}

/// The class listed first once set what is silence and the pace at the start.
#[test]
fn the_order_of_the_classes_decides_nothing() {
    let sent = |swap: bool| {
        let mut set = settings();
        if swap {
            set.classes.reverse();
        }
        let mut rig = Rig::new(set);
        for x in 1..4 {
            rig.circuits(x, 500.0, 500.0);
        }
        for i in 0..100 {
            let mut call = rig.fresh(1 + i % 3);
            call.class = usize::from((i % 4 == 0) != swap);
            rig.offer(call);
        }
        rig.sent.iter().map(|s| s.1).collect::<Vec<_>>()
    };
    assert_eq!(sent(false), sent(true));
}

// Payoff ---------------------------------------------------------------------------------------------------

#[test]
fn the_longer_the_prediction_the_worthier_the_call_must_be() {
    let mut set = settings();
    set.classes[1].aim = 2 * SEC;
    let mut rig = Rig::new(set);
    for _ in 0..50 {
        rig.round_trip(2, 50 * MS);
        rig.wait(5 * SEC);
    }
    // Mixed callers: the mean worth lies between the two classes.
    for _ in 0..300 {
        let mut call = rig.fresh(2);
        call.class = 1;
        let id = call.call;
        rig.offer(call);
        rig.stands(id, 0, 50 * MS);
        rig.completed(id, 2);
    }
    rig.round_trip(1, 1400 * MS);
    assert_eq!(sent_to(&rig.dial(1).1), None, "likely in time, but not worth what it delays");
    let mut worthy = rig.fresh(1);
    worthy.class = 1;
    assert_eq!(sent_to(&rig.offer(worthy)), Some(1));
}

/// With no error seen yet the spread is its floor, a tenth of the aim: a prediction just past the aim still has a
/// chance, one far past it has none.
#[test]
fn the_spread_has_a_floor() {
    for (least, expected) in [(1030 * MS, Some(1)), (1600 * MS, None)] {
        let mut set = settings();
        set.classes[1].late_worth = 0.0;
        let mut rig = Rig::new(set);
        rig.round_trip(1, least);
        rig.wait(9 * SEC);
        let mut call = rig.fresh(1);
        call.class = 1;
        assert_eq!(sent_to(&rig.offer(call)), expected, "least {least}");
    }
}

/// Found on a quiet day of simulated servers: redials that could only be late took the circuits of others.
#[test]
fn a_redial_keeps_the_aim_of_its_first_try() {
    let mut rig = Rig::new(settings());
    rig.round_trip(1, 100 * MS);
    for x in 1..4 {
        rig.circuits(x, 0.0, 20.0);
    }
    let mut call = rig.fresh(1);
    call.dialled = Some(5);
    let id = call.call;
    assert_eq!(answers(&rig.offer(call), id), 1, "blocked everywhere");
    rig.wait(4 * SEC);
    rig.circuits(1, 1.0, 20.0);
    let mut again = rig.fresh(1);
    again.dialled = Some(5);
    let id = again.call;
    assert_eq!(answers(&rig.offer(again), id), 1, "past its aim it may not take the last circuit");
    assert_eq!(sent_to(&rig.dial(1).1), Some(1), "which is for a call in time");
}

// Routing --------------------------------------------------------------------------------------------------

#[test]
fn direct_first_then_advised_then_another_after_a_turn_back() {
    let mut rig = Rig::new(settings());
    let mut call = rig.fresh(1);
    call.advised_route = Some(3);
    assert_eq!(sent_to(&rig.offer(call)), Some(1), "direct while the group has room");
    rig.circuits(1, 0.0, 20.0);
    let mut call = rig.fresh(1);
    call.advised_route = Some(3);
    let id = call.call;
    assert_eq!(sent_to(&rig.offer(call)), Some(3), "then the advised tandem");
    assert_eq!(sent_to(&rig.ended(id, 0, 3, TURNED_BACK)), Some(2), "turned back: another");
}

#[test]
fn the_tandem_that_worked_last_is_used_again() {
    let mut rig = Rig::new(settings());
    rig.circuits(1, 0.0, 20.0);
    let mut call = rig.fresh(1);
    call.advised_route = Some(3);
    let id = call.call;
    rig.offer(call);
    rig.stands(id, 0, 100 * MS);
    for _ in 0..8 {
        let (id, actions) = rig.dial(1);
        assert_eq!(sent_to(&actions), Some(3));
        rig.stands(id, 0, 100 * MS);
    }
}

#[test]
fn the_last_circuits_are_kept_from_tandem_and_transit_calls() {
    let mut rig = Rig::new(settings());
    rig.circuits(1, 0.0, 20.0);
    rig.circuits(2, 2.0, 20.0);
    rig.circuits(3, 2.0, 20.0);
    assert_eq!(sent_to(&rig.dial(1).1), None, "no tandem call on the last circuits");
    let mut transit = rig.fresh(2);
    transit.in_transit = true;
    let id = transit.call;
    assert_eq!(answers(&rig.offer(transit), id), 1, "transit is turned back");
    assert_eq!(sent_to(&rig.dial(2).1), Some(2), "a direct call takes them");
}

#[test]
fn transit_goes_to_its_destination_or_back() {
    let mut rig = Rig::new(settings());
    let mut transit = rig.fresh(2);
    transit.in_transit = true;
    assert_eq!(sent_to(&rig.offer(transit)), Some(2));
    rig.circuits(2, 0.0, 20.0);
    let mut transit = rig.fresh(2);
    transit.in_transit = true;
    transit.advised_route = Some(3);
    let id = transit.call;
    let actions = rig.offer(transit);
    assert_eq!((sent_to(&actions), answers(&actions, id)), (None, 1));
}

#[test]
fn pools_are_tried_by_choice_advice_and_skill() {
    let mut set = settings();
    set.topology = Topology::Pools;
    set.home_exchange = None;
    set.classes[0].pools = vec![1, 2];
    let mut rig = Rig::new(set);
    assert_eq!(sent_to(&rig.dial(1).1), Some(1));
    rig.circuits(1, 0.0, 20.0);
    assert_eq!(sent_to(&rig.dial(1).1), Some(2), "the other pool with the skill");
    rig.circuits(2, 0.0, 20.0);
    assert_eq!(sent_to(&rig.dial(1).1), None, "never one without");
}

// Guards and rules -----------------------------------------------------------------------------------------

#[test]
fn a_held_call_is_answered_before_its_deadline() {
    let mut rig = Rig::new(settings());
    let (id, actions) = rig.dial(1);
    let due =
        actions.iter().find_map(|a| if let Action::SetTimer(t, at) = a { Some((*t, *at)) } else { None });
    let (token, at) = due.expect("an answer timer");
    assert!(at < rig.now + 3 * SEC);
    rig.now = at;
    let actions = rig.tell(Event::TimerExpired(token));
    assert!(actions.contains(&Action::CancelAttempt { call: id, attempt: 0 }));
    assert!(actions.contains(&Action::Fail(id)));
    assert!(rig.tell(Event::TimerExpired(token)).is_empty(), "a timer no longer needed does nothing");
}

#[test]
fn the_release_is_awaited_from_the_batch_that_told() {
    let mut rig = Rig::new(settings());
    let (id, _) = rig.dial(1);
    rig.wait(100 * MS);
    let actions = rig.ended(id, 0, 1, (Outcome::Cut, Cause::Untold));
    assert_eq!(sent_to(&actions), None);
    rig.wait(299 * MS);
    assert_eq!(sent_to(&rig.tell(Event::TimerExpired(id))), None);
    rig.wait(MS);
    assert!(sent_to(&rig.tell(Event::TimerExpired(id))).is_some());
}

#[test]
fn nothing_goes_to_an_exchange_that_drains_or_is_gone() {
    for standing in [ExchangeState::Draining, ExchangeState::Gone] {
        let mut rig = Rig::new(settings());
        rig.tell(Event::ListUpdated(ListUpdate::Changes, vec![Entry { standing, ..up(1) }]));
        let (id, actions) = rig.dial(1);
        assert_eq!((sent_to(&actions), answers(&actions, id)), (None, 1));
        rig.circuits(2, 0.0, 20.0);
        assert_ne!(sent_to(&rig.dial(2).1), Some(1), "nor as a tandem");
    }
}

#[test]
fn a_list_that_names_nobody_refuses_all_in_time() {
    let mut rig = Rig::new(settings());
    rig.tell(Event::ListUpdated(ListUpdate::Whole, Vec::new()));
    let (id, actions) = rig.dial(1);
    assert_eq!(answers(&actions, id), 1);
}

#[test]
fn a_replacement_is_used_in_place_of_the_machine_that_drains() {
    let mut rig = Rig::new(settings());
    for _ in 0..60 {
        rig.round_trip(2, 50 * MS);
        rig.wait(50 * MS);
    }
    let new = Entry { exchange: 9, since: Some(rig.now), ..up(1) };
    let old = Entry { standing: ExchangeState::Draining, ..up(1) };
    rig.tell(Event::ListUpdated(ListUpdate::Changes, vec![old, new]));
    let (id, _) = rig.dial(1);
    rig.wait(SEC);
    let to: Vec<_> = rig.sent.iter().filter(|s| s.1 == id).map(|s| s.2).collect();
    assert_eq!(to, [9], "it starts cold: the call waited for this agent's turn");
}

#[test]
fn a_replacement_has_the_circuits_of_its_predecessor() {
    let mut rig = Rig::new(settings());
    rig.circuits(1, 0.0, 20.0);
    let new = Entry { exchange: 9, since: Some(rig.now), ..up(1) };
    let old = Entry { standing: ExchangeState::Draining, ..up(1) };
    rig.tell(Event::ListUpdated(ListUpdate::Changes, vec![old, new]));
    assert_ne!(sent_to(&rig.dial(1).1), Some(9));
}

#[test]
fn an_attempt_not_sent_for_want_of_circuits_is_believed() {
    let mut rig = Rig::new(settings());
    let (id, actions) = rig.dial(1);
    assert_eq!(sent_to(&actions), Some(1));
    rig.ended(id, 0, 1, (Outcome::NotSent, Cause::NoCircuit));
    assert_ne!(sent_to(&rig.dial(1).1), Some(1), "until news of a free circuit");
    rig.circuits(1, 1.0, 20.0);
    assert_eq!(sent_to(&rig.dial(1).1), Some(1));
}

#[test]
fn a_number_with_all_lines_engaged_is_left_alone_for_a_while() {
    let mut rig = Rig::new(settings());
    let mut call = rig.fresh(1);
    call.dialled = Some(5);
    let id = call.call;
    rig.offer(call.clone());
    assert_eq!(answers(&rig.ended(id, 0, 1, (Outcome::Failed, Cause::NumberBusy)), id), 1);
    let mut again = rig.fresh(1);
    again.dialled = Some(5);
    assert_eq!(sent_to(&rig.offer(again)), None);
    assert_eq!(sent_to(&rig.dial(1).1), Some(1), "other numbers there are reached");
}

#[test]
fn an_unrepeatable_call_that_may_have_run_is_not_repeated() {
    let mut set = settings();
    set.classes[0].repeatable = false;
    let mut rig = Rig::new(set);
    let (id, _) = rig.dial(1);
    rig.wait(100 * MS);
    let actions = rig.ended(id, 0, 1, TIMED_OUT);
    assert!(actions.contains(&Action::Fail(id)), "{actions:?}");
}

/// Calls were once given up at the first fault, when an exchange failed three of four set-ups at once.
#[test]
fn a_fault_is_tried_again_where_others_meet_it_too() {
    let mut rig = Rig::new(settings());
    let fault = (Outcome::Failed, Cause::Untold);
    let fails = |rig: &mut Rig| {
        let (call, _) = rig.dial(1);
        rig.wait(20 * MS);
        (call, rig.ended(call, 0, 1, fault))
    };
    let (call, actions) = fails(&mut rig);
    assert_eq!(answers(&actions, call), 1, "one fault may be the call's own");
    fails(&mut rig);
    let (call, actions) = fails(&mut rig);
    assert_eq!(sent_to(&actions), Some(1), "the exchange is at fault");
    assert_eq!(answers(&rig.ended(call, 1, 1, (Outcome::Failed, Cause::NumberBusy)), call), 1);
    (0..20).for_each(|_| rig.round_trip(1, 20 * MS));
    let (call, actions) = fails(&mut rig);
    assert_eq!(answers(&actions, call), 1, "it is sound again");
}

/// Callers refused without a word came back after a second or more, too late to be in time.
#[test]
fn a_refused_caller_is_told_when_to_come_back() {
    let pause = |rig: &mut Rig| match rig.dial(1).1.last() {
        Some(Action::Refuse { retry_after, .. }) => *retry_after,
        other => panic!("refused: {other:?}"),
    };
    for (most, early, late) in [(None, 0, 0), (Some(SEC), 300 * MS, SEC), (Some(5 * SEC), 300 * MS, 2 * SEC)]
    {
        let mut rig = Rig::new(Settings { max_retry_after: most, ..settings() });
        rig.tell(Event::ListUpdated(
            ListUpdate::Changes,
            vec![Entry { standing: ExchangeState::Draining, ..up(1) }],
        ));
        assert_eq!(pause(&mut rig), early);
        let mut call = rig.fresh(1);
        call.dialled = Some(7);
        rig.offer(call.clone());
        rig.wait(2 * SEC);
        let again = NewCall { call: call.call + 1, deadline: rig.now + SEC, ..call };
        let actions = rig.offer(again);
        let refused = Action::Refuse { call: call.call + 1, retry_after: late };
        assert_eq!(actions.last(), Some(&refused), "it can only be late by now");
    }
}

#[test]
fn the_list_is_asked_for_where_it_is_not_pushed() {
    let mut set = settings();
    set.list_on_request = true;
    let mut controller = Controller::new(set, 1).unwrap();
    let mut actions = Vec::new();
    controller.handle_event(SEC, Event::ListUpdated(ListUpdate::Restored, vec![up(1)]), &mut actions);
    assert!(actions.contains(&Action::Subscribe));
    actions.clear();
    controller.handle_event(2 * SEC, Event::ListUpdated(ListUpdate::Unavailable, Vec::new()), &mut actions);
    let Some(Action::SetTimer(token, at)) = actions.pop() else { panic!("asks again later") };
    controller.handle_event(at, Event::TimerExpired(token), &mut actions);
    assert_eq!(actions, vec![Action::Subscribe]);
}

#[test]
fn reports_without_sound_values_change_nothing() {
    let mut rig = Rig::new(settings());
    rig.circuits(1, f64::NAN, f64::INFINITY);
    rig.circuits(1, -1.0, -1.0);
    rig.tell(Event::LoadReported { exchange: 1, answered: true, elapsed: 0, report: LoadReport::default() });
    rig.tell(Event::LoadReported { exchange: 77, answered: true, elapsed: 0, report: LoadReport::default() });
    assert_eq!(sent_to(&rig.dial(1).1), Some(1));
}
