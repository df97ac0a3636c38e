//! The administration API and the operators' command.

use crate::support::{
    self,
    process::program,
    System,
    TOKEN, //
};
use emulator::store::Fault;
use rhubarbpick::{
    core::plan::Plan,
    ops::client::{
        self,
        Client,
        Error, //
    },
};
use std::{
    fs,
    process::{
        Command,
        Output, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// A confirmed configuration is in force everywhere within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// Greatest over mean number of shards of an endpoint.
const IMBALANCE_MAX: f64 = 1.05;

fn text(system: &System) -> String {
    serde_norway::to_string(&system.intent).unwrap()
}

fn client(system: &System, vm: usize) -> Client {
    Client::open(&system.context, system.vms[vm].admin, TOKEN)
}

fn plan(system: &System, vm: usize, text: &str) -> Plan {
    async_io::block_on(client::plan(&client(system, vm), text)).unwrap()
}

fn confirm(system: &System, vm: usize, text: &str, plan: &Plan) -> Result<String, Error> {
    let client = client(system, vm);
    let answer = async_io::block_on(client::confirm(&client, text, &plan.id, plan.base));
    answer.map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

/// Waits until every VM has logged a version of the intent.
fn wait_in_force(system: &System, version: u64) -> Duration {
    let begin = Instant::now();
    let line = format!("event=intent_adopted service=lots version={version}");
    for vm in 0..system.vms.len() {
        let path = system.folder.join(format!("vm-{vm}.log"));
        while !fs::read_to_string(&path).unwrap().contains(&line) {
            assert!(
                begin.elapsed() < IN_FORCE_WITHIN,
                "vm-{vm} lacks version {version}"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
    begin.elapsed()
}

#[test]
fn of_two_operators_who_race_one_wins_and_one_is_told() {
    let mut system = support::system("race").vms(3).servers(2).start();
    system.intent.slots = 9;
    let left = text(&system);
    system.intent.slots = 10;
    let right = text(&system);
    let plan_left = plan(&system, 0, &left);
    let plan_right = plan(&system, 1, &right);
    assert!(confirm(&system, 0, &left, &plan_left).is_ok());
    let refused = confirm(&system, 1, &right, &plan_right).unwrap_err();
    assert!(refused.to_string().contains("ground_changed"), "{refused}");
    let again = confirm(&system, 2, &left, &plan_left).unwrap();
    assert!(again.contains("\"repeated\":true"), "{again}");
    wait_in_force(&system, 2);
}

#[test]
fn nothing_takes_effect_before_the_confirm() {
    let mut system = support::system("unconfirmed").vms(3).servers(2).start();
    system.intent.slots = 9;
    plan(&system, 0, &text(&system));
    thread::sleep(Duration::from_millis(500));
    let answer = async_io::block_on(client(&system, 1).get("/v1/services")).unwrap();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(
        answer.contains("\"version\":1") && answer.contains("\"slots\":8"),
        "{answer}"
    );
}

#[test]
fn a_confirm_whose_answer_is_lost_is_settled_and_stays() {
    let mut system = support::system("confirm-lost").vms(3).servers(2).start();
    system.intent.slots = 9;
    let text = text(&system);
    let plan = plan(&system, 0, &text);
    system.store.set_fault(Fault::LostAnswers);
    let first = confirm(&system, 0, &text, &plan).unwrap();
    assert!(first.contains("\"version\":2"), "{first}");
    system.store.set_fault(Fault::None);
    wait_in_force(&system, 2);
    system.vms[1].process.kill();
    system.restart_vm(1);
    system.wait_ready();
    let answer = async_io::block_on(client(&system, 1).get("/v1/services")).unwrap();
    assert!(String::from_utf8_lossy(&answer).contains("\"version\":2"));
}

#[test]
fn a_confirm_in_a_store_outage_is_refused_and_changes_nothing() {
    let mut system = support::system("confirm-outage").vms(3).servers(2).start();
    system.intent.slots = 9;
    let text = text(&system);
    let plan = plan(&system, 0, &text);
    system.store.set_fault(Fault::Down);
    let refused = confirm(&system, 0, &text, &plan).unwrap_err();
    assert!(
        refused.to_string().contains("\"code\":\"store\""),
        "{refused}"
    );
    system.store.set_fault(Fault::None);
    let answer = async_io::block_on(client(&system, 0).get("/v1/services")).unwrap();
    assert!(String::from_utf8_lossy(&answer).contains("\"version\":1"));
}

#[test]
fn an_endpoint_added_by_a_confirm_takes_its_share() {
    let mut system = support::system("grow").vms(4).servers(2).start();
    let load = system.load(4000, 32);
    system.add_server();
    system.confirm();
    let end = Instant::now() + IN_FORCE_WITHIN;
    loop {
        let cell = system.cell();
        let counts: Vec<usize> = cell
            .indexed_endpoints()
            .map(|(key, _)| cell.owners.shards_of(key).len())
            .collect();
        let most = counts.iter().copied().max().unwrap_or(0) as f64;
        let mean = f64::from(cell.owners.count()) / 3.0;
        if counts.len() == 3 && most / mean <= IMBALANCE_MAX && system.is_settled() {
            break;
        }
        assert!(Instant::now() < end, "the endpoints own {counts:?} shards");
        thread::sleep(Duration::from_millis(20));
    }
    let records = system.judge(load);
    let refused = records
        .iter()
        .filter(|record| record.outcome != emulator::load::Outcome::Ran);
    assert_eq!(refused.count(), 0);
}

#[test]
fn the_described_paths_are_those_that_are_served() {
    let system = support::system("openapi").vms(3).servers(2).start();
    let described = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/openapi.yaml"));
    let described: serde_norway::Value = serde_norway::from_str(&described.unwrap()).unwrap();
    let paths = described["paths"].as_mapping().unwrap();
    assert_eq!(paths.len(), 6);
    for (path, methods) in paths {
        let method = if methods.get("post").is_some() {
            "POST"
        } else {
            "GET"
        };
        let method = hyper::Method::from_bytes(method.as_bytes()).unwrap();
        let call = client(&system, 0);
        let answer = async_io::block_on(call.call(method, path.as_str().unwrap(), ""));
        if let Err(error) = answer {
            assert!(
                !error.to_string().contains("status 404"),
                "{path:?}: {error}"
            );
        }
    }
}

fn command(words: &[&str]) -> Output {
    Command::new(program("rhubarbpick"))
        .args(words)
        .output()
        .unwrap()
}

#[test]
fn the_command_plans_confirms_and_explains() {
    let mut system = support::system("command").vms(3).servers(2).start();
    system.intent.slots = 9;
    let intent = system.folder.join("intent.yaml");
    fs::write(&intent, text(&system)).unwrap();
    let token = system.folder.join("token");
    fs::write(&token, TOKEN).unwrap();
    let admin = system.vms[0].admin.to_string();
    let common = [
        "--admin",
        &admin,
        "--token-file",
        token.to_str().unwrap(),
        "-o",
        "json",
    ];
    let call = |words: &[&str]| {
        let output = command(&[words, &common].concat());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{words:?}: {output:?}");
        text
    };
    let intent = intent.to_str().unwrap();
    let plan: Plan = serde_json::from_str(&call(&["plan", "--intent", intent])).unwrap();
    insta::assert_snapshot!(plan.changes.join("\n"), @"change slots from 8 to 9");
    let base = plan.base.to_string();
    let words = [
        "confirm", "--intent", intent, "--plan", &plan.id, "--base", &base,
    ];
    assert!(call(&words).contains("\"version\":2"));
    let text = call(&["explain", "--service", "lots", "--key", "a"]);
    assert!(text.contains("\"owner\":\"server-"), "{text}");
    assert!(call(&["audit", "--service", "lots"]).contains("cell_created"));
    assert!(call(&["status"]).contains("\"service\":\"lots\""));
    let refused = command(&["confirm", "--intent", intent]);
    assert_eq!(refused.status.code(), Some(2));
    insta::assert_snapshot!(
        String::from_utf8_lossy(&refused.stderr),
        @"rhubarbpick: option --plan is missing; try --help"
    );
}

#[test]
fn wrong_settings_are_refused_with_line_and_field() {
    let folder = std::env::temp_dir().join(format!("rhubarbpick-settings-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join("vm.yaml");
    let good = "name: vm-1\nzone: a\nlisten: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, admin: \
                127.0.0.1:3, health: 127.0.0.1:4}\nstore: {dialect: http-etag, address: \
                127.0.0.1:5}\nvms: {dialect: http-list, address: 127.0.0.1:5}\norders: \
                http-json\nsecret_file: s\noperators_file: o\n";
    let check = |text: &str| {
        fs::write(&path, text).unwrap();
        let output = Command::new(program("rhubarbpickd"))
            .arg("--check")
            .arg("--settings")
            .arg(&path)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8_lossy(&output.stderr).replace(path.to_str().unwrap(), "vm.yaml")
    };
    insta::assert_snapshot!(
        check(&format!("{good}threads: 0\n")),
        @"rhubarbpickd: vm.yaml: line 9: threads is 0; allowed is 1 to 64"
    );
    let text = check(&format!("{good}thread: 2\n"));
    assert!(
        text.contains("unknown field `thread`") && text.contains("line 9"),
        "{text}"
    );
    let text = check(&good.replace("zone: a", "zone: a b"));
    assert!(text.contains("line 2: zone is a b; allowed is"), "{text}");
    fs::remove_dir_all(&folder).unwrap();
}
