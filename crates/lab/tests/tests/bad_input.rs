//! Bad settings, contracts and HTTP requests get a clear error and do not affect
//! other requests.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use async_net::TcpStream;
use briarhall_lab::caller::CallOutcome;
use briarhall_lab::site::CustomerSpec;
use briarhall_lab::site::SERVICE;
use briarhall_lab::site::SiteSpec;
use briarhall_net::Call;
use briarhall_types::Problem;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use hyper::Method;

use crate::common::Fixture;
use crate::common::completion;

const EXIT_BAD_INPUT: i32 = 2;

fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a test has a path");
    let dir = own
        .parent()
        .and_then(Path::parent)
        .expect("tests lie below the programs");
    dir.join(name)
}

fn run(name: &str, args: &[&str]) -> Output {
    let output = Command::new(program(name)).args(args).output();
    output.expect("the program is built")
}

/// Runs a program with a bad input file, checks that it exits with the status for
/// bad input and prints no startup line, and returns its standard error.
fn error_output(name: &str, case: &str, text: &str, args: &[&str]) -> String {
    let file = std::env::temp_dir().join(format!("briarhall-{}-{case}.yaml", std::process::id()));
    fs::write(&file, text).expect("the folder for temporary files is writable");
    let path = file.display().to_string();
    let args = args
        .iter()
        .map(|arg| arg.replace("FILE", &path))
        .collect::<Vec<_>>();
    let args = args.iter().map(String::as_str).collect::<Vec<_>>();
    let output = run(name, &args);
    fs::remove_file(&file).expect("the file is there");
    assert_eq!(output.status.code(), Some(EXIT_BAD_INPUT), "{output:?}");
    assert!(
        output.stdout.is_empty(),
        "it printed a startup line: {output:?}"
    );
    String::from_utf8_lossy(&output.stderr).replace(&path, "FILE")
}

macro_rules! refuses {
    ($name:ident, $program:expr, $args:expr, $text:expr, [$($expected:expr),+ $(,)?]) => {
        #[test]
        fn $name() {
            let error_output = error_output($program, stringify!($name), $text, $args);
            $(assert!(error_output.contains($expected), "{} is not in: {error_output}", $expected);)+
        }
    };
}

const SETTINGS: &[&str] = &["--settings", "FILE"];
const CONTRACT: &[&str] = &["contract", "check", "FILE"];

refuses!(
    router_with_several_problems,
    "briarhall-router",
    SETTINGS,
    "zone: a\ncallers: 127.0.0.1:70000\noperators: 127.0.0.1:1\nmesh: 127.0.0.1:1\n\
     platform: 127.0.0.1:9000\nmesh_secret_file: /does/not/exist\ntrafic_threads: 4\n\
     address_ttl: 5 parsecs\n",
    [
        "FILE:2: `callers`",
        "FILE:4: `mesh` is the same address as `operators`",
        "FILE:6: `mesh_secret_file`",
        "FILE:7: `trafic_threads` is not a known field; choose from",
        "FILE:8: `address_ttl`",
    ]
);
refuses!(
    router_with_text_that_is_not_yaml,
    "briarhall-router",
    SETTINGS,
    "zone: a\ncallers: [127.0.0.1\n",
    ["FILE:", "is not valid YAML"]
);
refuses!(
    router_with_a_list,
    "briarhall-router",
    SETTINGS,
    "- zone\n",
    ["is not a mapping"]
);
refuses!(
    steward_with_several_problems,
    "briarhall-steward",
    SETTINGS,
    "platform: nowhere\nsweep_every: 0s\nzone_name: a\n",
    [
        "FILE:1: `platform`",
        "FILE:2: `sweep_every` is zero",
        "FILE:3: `zone_name`",
        "`zone` is missing"
    ]
);
refuses!(
    steward_with_the_same_field_twice,
    "briarhall-steward",
    SETTINGS,
    "zone: a\nzone: b\nplatform: 127.0.0.1:1\n",
    ["FILE:"]
);
refuses!(
    steward_with_a_wrong_unit,
    "briarhall-steward",
    SETTINGS,
    "zone: a\nplatform: 127.0.0.1:1\nlapsed_for: 3\n",
    ["FILE:3: `lapsed_for`", "such as 250ms, 5s"]
);
refuses!(
    contract_with_several_problems,
    "briarhall",
    CONTRACT,
    "customer: Tidewire!\nkey_digests: []\nmodels:\n  - name: airtime\n    time_limit: 2h\n    \
     max_prompt_tokens: 0\n    limits:\n      requests_per_second: 0\n      in_flight: 5\n      \
     burst: 3\n",
    ["FILE:10: `models[0].limits.burst` is not a known field"]
);
refuses!(
    contract_out_of_range,
    "briarhall",
    CONTRACT,
    "customer: Tidewire!\nkey_digests: []\nmodels:\n  - name: airtime\n    time_limit: 2h\n    \
     max_prompt_tokens: 0\n    limits:\n      requests_per_second: 0\n      in_flight: 5\n",
    [
        "FILE:1: `customer`",
        "FILE:2: `key_digests`",
        "FILE:5: `models[0].time_limit`",
        "FILE:6: `models[0].max_prompt_tokens`",
        "FILE:8: `models[0].limits.requests_per_second`",
    ]
);

#[test]
fn every_program_has_help_and_a_version() {
    for name in [
        "briarhall",
        "briarhall-router",
        "briarhall-steward",
        "briarhall-lab",
    ] {
        let help = run(name, &["--help"]);
        assert_eq!(help.status.code(), Some(0), "{name}");
        assert!(
            String::from_utf8_lossy(&help.stdout).contains("--version"),
            "{name}"
        );
        let version = run(name, &["--version"]);
        assert!(
            String::from_utf8_lossy(&version.stdout).starts_with(name),
            "{name}"
        );
    }
}

/// Sends raw bytes and returns the status line.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the router listens");
    // The router may answer and close before everything is sent.
    let _closed = stream.write_all(bytes).await;
    let mut reply = vec![0; 256];
    let read = briarhall_net::timeout(Duration::from_secs(5), stream.read(&mut reply)).await;
    let n = read.expect("it answers").unwrap_or(0);
    let reply = String::from_utf8_lossy(&reply[..n]).into_owned();
    reply.lines().next().unwrap_or_default().to_owned()
}

async fn expect_problem(fixture: &Fixture, call: Call) -> Problem {
    let reply = fixture.site.client.send(call, Duration::from_secs(5)).await;
    let reply = reply.expect("the router answers");
    assert_eq!(reply.headers()["content-type"], Problem::MEDIA_TYPE);
    let text = briarhall_net::read_limited(reply.into_body(), 10_000).await;
    serde_json::from_slice(&text.expect("a whole reply")).expect("a problem document")
}

site_test!(
    malformed_requests,
    SiteSpec {
        routers: 1,
        engines: 1,
        ..SiteSpec::default()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let address = fixture.router(0);
        for bytes in [
            b"NOT HTTP AT ALL\r\n\r\n".to_vec(),
            b"GET /v1/addresses HTTP/9.9\r\n\r\n".to_vec(),
            [
                b"GET / HTTP/1.1\r\nx: ".as_slice(),
                &vec![b'a'; 200_000],
                b"\r\n\r\n",
            ]
            .concat(),
        ] {
            let status = send_raw(address, &bytes).await;
            assert!(status.contains(" 4"), "{status}");
        }
        let key = format!("Bearer {}", fixture.customer.key);
        let post = |body: &str| {
            Call::post(address, "/v1/completions")
                .header("authorization", &key)
                .body(briarhall_net::Body::full(body.to_owned()))
        };
        for body in [
            "",
            "{",
            "[]",
            r#"{"model":"harbour"}"#,
            r#"{"model":"harbour","prompt":""}"#,
            r#"{"model":"harbour","prompt":"x","max_tokens":0}"#,
        ] {
            assert_eq!(
                expect_problem(fixture, post(body)).await.status,
                400,
                "{body}"
            );
        }
        let huge = "x".repeat(9_000_000);
        assert_eq!(expect_problem(fixture, post(&huge)).await.status, 413);
        let unknown = r#"{"model":"nothing","prompt":"x"}"#;
        assert_eq!(expect_problem(fixture, post(unknown)).await.status, 403);
        let without_key = Call::new(Method::POST, address, format!("/services/{SERVICE}/x"));
        assert_eq!(
            expect_problem(fixture, without_key.header("authorization", &key))
                .await
                .status,
            400
        );
        assert_eq!(
            expect_problem(fixture, Call::get(address, "/nowhere"))
                .await
                .status,
            404
        );
        // A body shorter than its content length, then a closed connection.
        let truncated = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the router listens");
        stream.write_all(truncated).await.expect("it reads");
        drop(stream);
        let answer = fixture.send(0, completion(1, 1_000, 4)).await;
        assert_eq!(answer.outcome, CallOutcome::Answered);
    }
);

site_test!(
    /// Keys of callers, operators and routers are not accepted in place of each
    /// other, and customers' idempotency keys are separate.
    each_key_is_accepted_only_for_its_role,
    SiteSpec {
        routers: 1,
        engines: 1,
        ..SiteSpec::default()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let router = &fixture.site.routers[&0];
        let operators = router.operators;
        let with = |address, path: &str, key: &str| {
            Call::get(address, path).header("authorization", format!("Bearer {key}"))
        };
        let caller_key = fixture.customer.key.clone();
        let operator_key = briarhall_lab::site::OPERATOR_KEY;
        let refused =
            expect_problem(fixture, with(operators, "/operator/status", &caller_key)).await;
        assert_eq!(refused.status, 401);
        let refused =
            expect_problem(fixture, with(router.callers, "/v1/addresses", operator_key)).await;
        assert_eq!(refused.status, 401);
        let refused = expect_problem(fixture, Call::get(operators, "/operator/audit")).await;
        assert_eq!(refused.status, 401);
        // The same idempotency key of two customers is two calls.
        let other = CustomerSpec {
            key: "another-key-of-the-lab".to_owned(),
            ..CustomerSpec::lagon_bleu()
        };
        fixture.site.apply_contracts(std::slice::from_ref(&other)).expect("it is accepted");
        let first = fixture.send_top_up(0, "same-key").await.outcome;
        let caller = fixture.lab.caller(&other);
        let second = briarhall_lab::caller::top_up(&caller, router.callers, "same-key")
            .await
            .outcome;
        assert_eq!(first, second);
        assert_eq!(fixture.effects("same-key").await, 2);
        // A mesh connection without the shared secret is closed.
        let mut stream = TcpStream::connect(router.mesh).await.expect("it listens");
        stream.write_all(&[7; 64]).await.expect("it reads");
        let mut reply = [0; 16];
        let read = briarhall_net::timeout(Duration::from_secs(3), stream.read(&mut reply)).await;
        assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
    }
);

site_test!(
    audit_trail_records_operator_and_change,
    SiteSpec {
        routers: 1,
        engines: 0,
        services: 0,
        ..SiteSpec::default()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let from = fixture.status(0).await["contracts"][0]["version"].as_u64();
        let router = &fixture.site.routers[&0];
        fixture
            .site
            .apply(router, &fixture.contract(77), from)
            .await
            .expect("it is accepted");
        let call = Call::get(router.operators, "/operator/audit?customer=tidewire");
        let entries = fixture
            .site
            .operator_call(call)
            .await
            .expect("the router answers");
        let last = entries
            .as_array()
            .and_then(|entries| entries.last())
            .expect("an entry");
        assert_eq!(last["operator"], "lab");
        assert_eq!(last["from_version"].as_u64(), from);
        assert_eq!(last["state"], "written");
        assert_eq!(last["differences"][0]["field"], "models");
    }
);

site_test!(
    /// An object that cannot be parsed is ignored; the contract in force stays.
    unreadable_contract_in_object_api_is_ignored,
    SiteSpec {
        routers: 1,
        engines: 1,
        services: 0,
        ..SiteSpec::default()
    },
    CustomerSpec::tidewire(),
    async |fixture: &mut Fixture| {
        let platform = fixture.site.platform_address;
        let path = "/v1/objects/config/contract.tidewire";
        let call = Call::new(Method::PUT, platform, path).json(&"garbage");
        fixture.site.client.send(call, Duration::from_secs(2)).await.expect("it is written");
        crate::common::sleep_ms(500).await;
        let answer = fixture.send(0, completion(1, 1_000, 4)).await;
        assert_eq!(answer.outcome, CallOutcome::Answered);
    }
);
