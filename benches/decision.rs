//! Cost of single decisions at full fleet size: 600 engines with four models, 2,900
//! organisations and 360 instances.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use laburnumquay::{
    Allocator, Class, Discipline, Holder, Incarnation, InstanceId, Item, LEASE, Limits, Outcome,
    Query, Queue, REQUEST_PERIOD, Router, Stage, Time,
};

const ENGINES: u32 = 600;
const MODELS: u32 = 4;
const ORGANISATIONS: u64 = 2900;

fn stages(reported: Time) -> Vec<Stage> {
    let stage = |i: u32| {
        let quarter = i / MODELS % 4;
        Stage {
            id: format!("engine-{i}").as_str().into(),
            domain: format!("domain-{}", i % 7).into(),
            pool: "pool".into(),
            model: format!("model-{}", i % MODELS).into(),
            version: "1".into(),
            first: quarter * 16,
            end: quarter * 16 + 16,
            total: 64,
            rate: [500, 1000, 2000, 4000, 8000][i as usize % 5],
            slots: 256,
            link: [100, 1000, 10_000][i as usize % 3],
            running: i % 50,
            waiting: 0,
            leaving: false,
            reported,
        }
    };
    (0..ENGINES).map(stage).collect()
}

fn route(c: &mut Criterion) {
    let pools = vec!["pool".to_owned()];
    let mut router = Router::new(1);
    let now = Time(1_000_000);
    router.set_view(now, &stages(now));
    let mut prefix = 0;
    c.bench_function("path choice and finish, 600 engines", |b| {
        b.iter(|| {
            prefix = (prefix + 1) % 1000;
            let query = Query {
                prompt: 1000,
                expected: 200,
                prefix: Some(prefix),
                ..Query::new("model-1", &pools)
            };
            let choice = router.choose(now, &query).expect("a path");
            let token = Duration::from_millis(50);
            router.finish(now, black_box(choice).ticket, Outcome::Done { token });
        });
    });
    let mut at = now;
    c.bench_function("view with new loads, 600 engines", |b| {
        b.iter(|| {
            at = at + Duration::from_millis(100);
            router.set_view(at, &stages(at));
        });
    });
    for model in 0..MODELS {
        router.bound(at, &format!("model-{model}"), &pools);
    }
    let mut view = stages(at);
    c.bench_function("view with a new rate, 600 engines, 4 plans", |b| {
        b.iter(|| {
            view[0].rate ^= 1;
            router.set_view(at, &view);
        });
    });
}

fn queue(c: &mut Criterion) {
    let mut queue = Queue::new(Discipline::Cost);
    let names: Vec<String> = (0..ORGANISATIONS)
        .map(|i| format!("organisation-{i}"))
        .collect();
    let items: Vec<Item> = names
        .iter()
        .enumerate()
        .map(|(i, name)| Item {
            id: 0,
            route: name.as_str().into(),
            organisation: name.as_str().into(),
            class: [Class::Interactive, Class::Standard, Class::Bulk][i % 3],
            cost: 1.0 + (i % 17) as f64,
            deadline: Time(u64::MAX),
            bound: 1000,
        })
        .collect();
    let mut id = 0;
    let mut next = || {
        id += 1;
        Item {
            id,
            ..items[id as usize % items.len()].clone()
        }
    };
    for _ in 0..3 * ORGANISATIONS {
        queue.push(Time(0), next()).expect("room");
    }
    c.bench_function("queue push, pop and settle, 2,900 organisations", |b| {
        b.iter(|| {
            queue.push(Time(0), next()).expect("room");
            let item = queue.pop(Time(0)).expect("work");
            queue.settle(&item.organisation, item.class, item.cost, item.cost + 0.5);
        });
    });
}

/// Asks for admission of one request on each of an instance's 100 routes.
fn admit_on_routes(holder: &mut Holder, names: &[String], i: usize, now: Time) {
    for route in 0..100 {
        let name = &names[(i * 7 + route * 29) % names.len()];
        let _ = holder.admit(now, name, 10);
    }
}

fn limit(c: &mut Criterion) {
    let mut allocator = Allocator::new(Time(0));
    let names: Vec<String> = (0..ORGANISATIONS)
        .map(|i| format!("organisation-{i}"))
        .collect();
    let limits = Limits {
        requests: 1000,
        tokens: 100_000,
        concurrent: 1000,
        queued: 1000,
    };
    allocator.set_limits(names.iter().map(|n| (n.as_str(), limits)));
    let now = Time(0) + 2 * LEASE;
    let mut holders: Vec<Holder> = (1..=360)
        .map(|i| Holder::new(InstanceId(i), Incarnation(1)))
        .collect();
    for (i, holder) in holders.iter_mut().enumerate() {
        admit_on_routes(holder, &names, i, now);
        let request = holder.share_request(now);
        let grant = allocator.allocate(now, &request).expect("an answer");
        assert!(holder.grant(now, &grant));
    }
    let mut turn = 0;
    let mut now = now;
    c.bench_function(
        "100 requests, question and answer on 100 routes, 360 instances",
        |b| {
            b.iter(|| {
                turn = (turn + 1) % holders.len();
                now = now + REQUEST_PERIOD / 360;
                let holder = &mut holders[turn];
                admit_on_routes(holder, &names, turn, now);
                let request = holder.share_request(now);
                let grant = allocator.allocate(now, &request).expect("an answer");
                black_box(holder.grant(now, &grant));
            });
        },
    );
    let holder = &mut holders[0];
    let later = now + Duration::from_secs(1);
    c.bench_function("admission or denial", |b| {
        b.iter(|| black_box(holder.admit(later, &names[29], 0).is_ok()));
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2))
        .sample_size(20);
    targets = route, queue, limit
}
criterion_main!(benches);
