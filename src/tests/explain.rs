//! Tests of [`crate::explain`] on log lines as the roles write them.

use rstest::rstest;

use crate::explain::explain;

const LINES: &str = r#"
  10.1 core-a {"timestamp":"2026-04-25T18:43:30.000000Z","level":"WARN","message":"no heartbeats","event":305,"upstream":"i-9"}
  10.2 core-a {"timestamp":"2026-04-25T18:43:30.100000Z","level":"INFO","message":"layers ordered","event":306,"upstream":"i-2","address":"10.1.64.22:8446","first":37,"end":53,"fence":2,"status":202}
  10.2 core-a {"timestamp":"2026-04-25T18:43:31.100000Z","level":"INFO","message":"order ended","event":311,"upstream":"i-2","address":"10.1.64.22:8446","first":37,"end":53,"fence":2,"cause":"poll","age_ms":1010}
  edge-1 {"timestamp":"2026-04-25T18:43:35.450609Z","level":"INFO","message":"sent","event":404,"attempt":"aa","route":"r","upstream":"i-1","path":"10.1.64.11:8446=0-37,10.1.64.22:8446=37-80","left_ms":19999,"version":4}
  edge-1 {"timestamp":"2026-04-25T18:43:36.000000Z","level":"INFO","message":"upstream excluded","event":408,"attempt":"aa","address":"10.1.64.22:8446","cause":"dead_part","left_ms":19000}
  edge-1 {"timestamp":"2026-04-25T18:43:36.000001Z","level":"INFO","message":"attempt failed","event":405,"attempt":"aa","cause":"dead_part","failure":"Unknown","next":"Fail","run":2}
  edge-1 {"timestamp":"2026-04-25T18:43:36.000002Z","level":"INFO","message":"stream ended","event":406,"attempt":"aa","how":"dead_part","events":12}
  edge-2 {"timestamp":"2026-04-25T18:43:37.000000Z","level":"INFO","message":"configuration applied","event":208,"version":5,"before":4}
  edge-2 {"timestamp":"2026-04-25T18:43:37.250000Z","level":"INFO","message":"refused","event":401,"attempt":"bb","code":"unknown_key","version":5}
  edge-2 {"timestamp":"2026-04-25T18:43:38.000000Z","level":"INFO","message":"ended without an upstream response","event":407,"attempt":"cc","code":"full","status":503}
  edge-2 {"timestamp":"2026-04-25T18:43:38.000000Z","level":"INFO","message":"answered","event":406,"attempt":"dd","status":500,"took_ms":40}
  edge-2 {"timestamp":"2026-04-25T18:43:38.000000Z","level":"INFO","message":"sent","event":404,"attempt":"ee","route":"r","upstream":"i-1","left_ms":1999}
  edge-2 {"timestamp":"2026-04-25T18:43:38.000000Z","level":"INFO","message":"request abandoned","event":411,"attempt":"ff","run":0,"took_ms":1998,"left_ms":2,"draining":false}
  edge-2 {"timestamp":"2026-04-25T18:43:38.000000Z","level":"INFO","message":"request abandoned","event":411,"attempt":"gg","run":1,"took_ms":900,"left_ms":9100,"draining":false}
  edge-2 {"timestamp":"2026-04-25T18:43:38.000000Z","level":"INFO","message":"request abandoned","event":411,"attempt":"hh","run":1,"took_ms":900,"left_ms":9100,"draining":true}
  edge-1 {"timestamp":"2026-04-25T18:43:30.000000Z","level":"INFO","message":"engine ended","event":412,"upstream":"i-4","address":"10.1.64.11:8446","fingerprint":"f1","organisation":"one"}
  edge-2 {"timestamp":"2026-04-25T18:43:31.000000Z","level":"INFO","message":"engine ended","event":412,"upstream":"i-5","address":"10.1.64.12:8446","fingerprint":"f1","organisation":"one"}
  edge-2 {"timestamp":"2026-04-25T18:43:31.000000Z","level":"INFO","message":"engine ended","event":412,"upstream":"i-5","address":"10.1.64.12:8446","fingerprint":"f2","organisation":"one"}
  edge-2 {"timestamp":"2026-04-25T18:43:38.000000Z","level":"INFO","message":"ended without an upstream response","event":407,"attempt":"ii","fingerprint":"f1","code":"quarantined","status":503}
  edge-2 {"timestamp":"2026-04-25T18:43:39.000000Z","level":"INFO","message":"engine ended","event":412,"upstream":"i-6","address":"10.1.64.13:8446","fingerprint":"f3","parts":"5c1e,91bd","organisation":"one"}
  edge-2 {"timestamp":"2026-04-25T18:43:40.000000Z","level":"INFO","message":"ended without an upstream response","event":407,"attempt":"pp","fingerprint":"f4","part":"91bd","code":"quarantined","status":503}
  edge-3 {"timestamp":"2026-04-25T18:44:00.000000Z","level":"WARN","message":"no upstream of the service is reachable","event":415,"service":"desk","failed":2,"entrances":2}
  edge-3 {"timestamp":"2026-04-25T18:44:00.100000Z","level":"INFO","message":"ended without an upstream response","event":407,"attempt":"jj","code":"unreachable","status":503}
  edge-3 {"timestamp":"2026-04-25T18:44:01.000000Z","level":"INFO","message":"sent","event":404,"attempt":"kk","route":"r","upstream":"i-1","via":2130772224,"left_ms":1999}
  edge-4 {"timestamp":"2026-04-25T18:44:01.004000Z","level":"INFO","message":"carried","event":417,"attempt":"kk","sender":2130772226,"upstream":"i-1","status":200,"took_ms":3}
  edge-3 {"timestamp":"2026-04-25T18:44:01.005000Z","level":"INFO","message":"answered","event":406,"attempt":"kk","status":200,"took_ms":6}
  edge-3 {"timestamp":"2026-04-25T18:45:00.000000Z","level":"INFO","message":"ended without an upstream response","event":407,"attempt":"ll","code":"paused","status":503}
  edge-4 {"timestamp":"2026-04-25T18:46:00.000000Z","level":"INFO","message":"displaced by a more urgent request","event":422,"attempt":"mm","rank":2,"waited_ms":120}
  edge-4 {"timestamp":"2026-04-25T18:46:00.000001Z","level":"INFO","message":"waited for room","event":410,"attempt":"mm","rank":2,"before":11,"waited_ms":120,"limit_ms":370,"found":false,"sharers":3.0,"reserve":0.125,"reserve_age_ms":40}
  edge-4 {"timestamp":"2026-04-25T18:46:00.000002Z","level":"INFO","message":"ended without an upstream response","event":407,"attempt":"mm","rank":2,"code":"full","status":503}
  edge-4 {"timestamp":"2026-04-25T18:46:01.000000Z","level":"INFO","message":"waited for room","event":410,"attempt":"nn","rank":0,"before":0,"waited_ms":30,"limit_ms":370,"found":true,"sharers":3.0}
  edge-4 {"timestamp":"2026-04-25T18:46:01.100000Z","level":"INFO","message":"answered","event":406,"attempt":"nn","status":200,"took_ms":140}
  edge-4 {"timestamp":"2026-04-25T18:46:02.000000Z","level":"INFO","message":"ended without an upstream response","event":407,"attempt":"oo","rank":1,"code":"full","status":503}
not a line at all
"#;

fn lines() -> Vec<String> {
    LINES.lines().map(str::to_owned).collect()
}

#[rstest]
#[case::broken_stream("aa", "its stream broke off: dead_part at 10.1.64.22:8446")]
#[case::revoked_key("bb", "unknown_key by configuration 5, in force for 250 ms")]
#[case::no_room("cc", "no engine had room")]
#[case::own_failure("dd", "answered with a failure of its own, 500")]
#[case::killed("ee", "the instance ended before it was answered: it was killed")]
#[case::too_slow("ff", "its time was over after 1998 ms")]
#[case::caller_left("gg", "its caller left after 900 ms, 9100 ms before")]
#[case::drained("hh", "it drained too long")]
#[case::quarantined("ii", "ended under the same request, f1; these logs show 2: i-4, i-5")]
#[case::quarantined_part("pp", "under prompts with the same part, 91bd; these logs show 1: i-6")]
#[case::unreachable("jj", "reached no upstream, and no other instance carried it")]
#[case::carried("kk", "417 carried: sender=2130772226")]
#[case::paused("ll", "had asked for a pause")]
#[case::displaced("mm", "cause: a more urgent request took its place in the full queue")]
#[case::rank_displaced("mm", "\nrank: 2, found no room in 120 ms, with a reserve of 0.12\n")]
#[case::rank_waited("nn", "\nrank: 0, found room after 30 ms\n")]
#[case::rank_refused("oo", "\nrank: 1, didn't wait for room\n")]
#[case::unknown("zz", "no line names zz")]
fn explain_cause(#[case] attempt: &str, #[case] cause: &str) {
    let text = explain(attempt, &lines());
    assert!(text.contains(cause), "{text}");
}

/// Guards against a rank that is told of a request to a service without ranks.
#[test]
fn explain_unranked() {
    let text = explain("cc", &lines());
    assert!(!text.contains("rank"), "{text}");
}

#[test]
fn explain_timeline() {
    let text = explain("aa", &lines());
    let rows: Vec<_> = text.lines().collect();
    // Lines about engines of its path are shown, those about other engines aren't.
    assert!(
        rows[0].starts_with("*   -5350 ms  306 layers ordered"),
        "{text}"
    );
    assert!(
        rows[1].starts_with("*   -4350 ms  311 order ended"),
        "{text}"
    );
    assert!(rows[2].starts_with("        0 ms  404 sent"), "{text}");
    assert!(!text.contains("i-9"));
}
