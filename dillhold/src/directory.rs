//! What the program is told: its configuration, the settings and the list of exchanges.
//!
//! The journal events of the start (`known`) and those that come later (`/journal`) take the same path.

use std::collections::BTreeMap;

use pitchgw::interface::{Entry, ExchangeId, ExchangeState, ListUpdate, Nanos, Settings};
use pitchgw::wire::{Message, NameTable};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::clock::MS;

/// On sockets every time limit of the rules is this much longer. The wait after an attempt that may have left
/// something behind is kept longer by as much, for the word that ends it takes that long to arrive.
pub const SOCKET_DELAY_ALLOWANCE: Nanos = 50 * MS;

/// The configuration file, as far as it is used.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// The address that callers connect to.
    pub listen: std::net::SocketAddr,
    /// Random seed, in hex digits.
    pub seed: String,
    /// The journal service's address.
    pub journal: std::net::SocketAddr,
    /// The journal events up to now.
    #[serde(default)]
    pub known: JournalAnswer,
    /// What the program may use.
    pub limits: Limits,
    /// The settings, as the simulator gives them.
    pub settings: Value,
}

/// What the program may use.
#[derive(Debug, Deserialize)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory.
    #[serde(default = "usual_memory")]
    pub memory_mb: usize,
}

fn usual_memory() -> usize {
    64
}

/// What follows from the limits: how much is kept at the most. Together it takes some five eighths of the
/// memory; the program itself and what its allocator cannot give back have the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections from callers.
    pub max_callers: usize,
    /// Connections of all kinds.
    pub max_connections: usize,
    /// Bytes of the set-ups that are owed an answer: a quarter of the memory.
    pub max_open_bytes: usize,
    /// Bytes in the buffers of all connections: a quarter.
    pub max_buffered_bytes: usize,
    /// Calls that stand; also ids of calls that ended lately, releases without a connection, and numbers that
    /// were dialled. Each may take one of these kilobytes: an eighth.
    pub max_standing_calls: usize,
}

impl Limits {
    /// The bounds that keep within these limits.
    pub fn bounds(&self) -> Bounds {
        let (sockets, memory) = (self.sockets.max(64), self.memory_mb.max(16) * 1024 * 1024);
        Bounds {
            max_callers: sockets / 2,
            max_connections: sockets - 32,
            max_open_bytes: memory / 4,
            max_buffered_bytes: memory / 4,
            max_standing_calls: (memory / 8 / 1024).min(20_000),
        }
    }
}

/// An answer of the journal service.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct JournalAnswer {
    /// The last event there is.
    #[serde(default)]
    pub pos: u64,
    /// The events, in order.
    #[serde(default)]
    pub entries: Vec<JournalEvent>,
}

/// One event of the journal. Other kinds than `hosts` are skipped.
#[derive(Clone, Debug, Deserialize)]
pub struct JournalEvent {
    pos: u64,
    hosts: Option<Hosts>,
}

#[derive(Clone, Debug, Deserialize)]
struct Hosts {
    #[serde(default)]
    all: bool,
    targets: Vec<Host>,
}

#[derive(Clone, Debug, Deserialize)]
struct Host {
    uid: String,
    endpoint: std::net::SocketAddr,
    #[serde(default)]
    az: String,
    pod_group: u32,
    state: State,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
enum State {
    Serving,
    Draining,
    Deleted,
}

/// Reads the configuration. The error is one plain line.
pub fn read_config(text: &str) -> Result<Config, String> {
    serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))
}

/// The settings in the forms that the parts need.
#[derive(Debug)]
pub struct ControllerSettings {
    /// For the module.
    pub module: Settings,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// A connection that is not up within this time never will be.
    pub connect_timeout: Nanos,
    /// Open set-ups that are taken at the most.
    pub max_open_set_ups: usize,
    /// What the report of a group calls its free circuits and its size.
    pub report: [String; 2],
}

/// Reads the settings through the same reader that serves the simulator's wire.
pub fn read_settings(config: &Config) -> Result<ControllerSettings, String> {
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|e| format!("configuration: seed: {e}"))?;
    let settings = &config.settings;
    let launch = Message::parse(&json!(["LAUNCH", "agent/0", seed, settings]).to_string());
    let (_, mut module, seed) = launch.and_then(|m| NameTable::from_launch(&m)).map_err(|e| e.to_string())?;
    module.validate().map_err(|e| format!("configuration: settings: {e}"))?;
    module.release_wait += SOCKET_DELAY_ALLOWANCE;
    let grades = settings["grades"].as_array().into_iter().flatten();
    let permissions = &settings["permissions"];
    let field = |i: usize, usual: &str| settings["report"]["fields"][i].as_str().unwrap_or(usual).to_string();
    Ok(ControllerSettings {
        module,
        seed,
        classes: grades.map(|g| g["name"].as_str().unwrap_or_default().to_string()).collect(),
        connect_timeout: permissions["connect-timeout"].as_u64().filter(|t| *t > 0).unwrap_or(500 * MS),
        max_open_set_ups: permissions["max-open"].as_u64().unwrap_or(20_000) as usize,
        report: [field(0, "spare"), field(1, "total")],
    })
}

/// One machine on the list, or one that has left it and still has calls.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// The exchange's number.
    pub number: u32,
    /// What the journal says of it.
    pub standing: ExchangeState,
    /// When it started; `None` means long ago.
    pub since: Option<Nanos>,
    uid: String,
}

/// What a journal answer changed.
#[derive(Debug, Default)]
pub struct DirectoryUpdate {
    /// List events for the module, in order.
    pub lists: Vec<(ListUpdate, Vec<Entry>)>,
    /// Machines whose process has ended: they left the list or started anew.
    pub ended_exchanges: Vec<ExchangeId>,
}

fn zones(settings: &Value) -> Vec<String> {
    let zones = settings["dcs"].as_array().into_iter().flatten();
    zones.filter_map(|z| z.as_str().map(String::from)).collect()
}

/// The list of exchanges as the journal tells it.
#[derive(Debug)]
pub struct Directory {
    zones: Vec<String>,
    machines: BTreeMap<ExchangeId, Machine>,
    next: ExchangeId,
    /// The last event taken in.
    pub position: u64,
    listed: bool,
}

impl Directory {
    /// An empty list.
    pub fn new(settings: &Value) -> Directory {
        Directory { zones: zones(settings), machines: BTreeMap::new(), next: 0, position: 0, listed: false }
    }

    /// Takes the names of the zones from other settings.
    pub fn update_zones(&mut self, settings: &Value) {
        self.zones = zones(settings);
    }

    /// A machine by the module's handle.
    pub fn machine(&self, id: ExchangeId) -> Option<&Machine> {
        self.machines.get(&id)
    }

    /// All machines, those that have left included until they are dropped.
    pub fn machines(&self) -> impl Iterator<Item = (ExchangeId, &Machine)> {
        self.machines.iter().map(|(id, m)| (*id, m))
    }

    /// Drops a machine that has left the list and has no more calls.
    pub fn remove_gone(&mut self, id: ExchangeId) {
        self.machines.retain(|i, m| *i != id || m.standing != ExchangeState::Gone);
    }

    /// Takes in an answer of the journal. An error means that events are missing between those known and
    /// those told: all have to be asked for again.
    pub fn apply(&mut self, answer: JournalAnswer) -> Result<DirectoryUpdate, MissingEvents> {
        let mut news = DirectoryUpdate::default();
        for event in answer.entries {
            if event.pos <= self.position {
                continue;
            }
            let whole = event.hosts.as_ref().is_some_and(|h| h.all);
            if event.pos != self.position + 1 && !whole && self.position > 0 {
                self.position = 0;
                return Err(MissingEvents(news));
            }
            self.position = event.pos;
            if let Some(hosts) = event.hosts {
                self.hosts(hosts, &mut news);
            }
        }
        Ok(news)
    }

    fn hosts(&mut self, hosts: Hosts, news: &mut DirectoryUpdate) {
        let kind = match (hosts.all, self.listed) {
            (false, _) => ListUpdate::Changes,
            (true, false) => ListUpdate::Restored,
            (true, true) => ListUpdate::Whole,
        };
        self.listed |= hosts.all;
        if hosts.all {
            let named = |uid: &str| hosts.targets.iter().any(|h| h.uid == uid);
            for (id, machine) in &mut self.machines {
                if machine.standing != ExchangeState::Gone && !named(&machine.uid) {
                    machine.standing = ExchangeState::Gone;
                    news.ended_exchanges.push(*id);
                }
            }
        }
        let entries = hosts.targets.into_iter().map(|h| self.host(h, news)).collect();
        news.lists.push((kind, entries));
    }

    fn host(&mut self, host: Host, news: &mut DirectoryUpdate) -> Entry {
        let known = self.machines.iter().find(|(_, m)| m.uid == host.uid).map(|(id, _)| *id);
        let id = known.unwrap_or(self.next);
        self.next = self.next.max(id + 1);
        let since = Some(host.boot_ms * MS).filter(|t| *t > 0);
        let standing = match host.state {
            State::Serving => ExchangeState::Up,
            State::Draining => ExchangeState::Draining,
            State::Deleted => ExchangeState::Gone,
        };
        if let Some(old) = self.machines.get(&id) {
            let gone = standing == ExchangeState::Gone && old.standing != ExchangeState::Gone;
            if gone || old.since != since {
                news.ended_exchanges.push(id);
            }
        }
        let number = host.pod_group;
        let zone = self.zones.iter().position(|z| *z == host.az).unwrap_or(self.zones.len()) as u32;
        if known.is_some() || standing != ExchangeState::Gone {
            let (address, uid) = (host.endpoint, host.uid);
            self.machines.insert(id, Machine { address, number, standing, since, uid });
        }
        Entry { exchange: id, number, zone, since, standing }
    }
}

/// Events are missing; what came before the gap was taken in.
#[derive(Debug)]
pub struct MissingEvents(pub DirectoryUpdate);

#[cfg(test)]
mod tests {
    use super::*;

    /// Uid, state and `boot_ms`.
    type Target = (&'static str, &'static str, u64);

    fn answer(events: &[(u64, bool, &[Target])]) -> JournalAnswer {
        let entries = events.iter().map(|(pos, all, targets)| {
            let targets = targets.iter().map(|(uid, state, boot)| {
                json!({"uid": uid, "endpoint": "10.1.0.9:2905", "az": "b", "pod_group": 2, "state": state,
                       "boot_ms": boot})
            });
            json!({"pos": pos, "hosts": {"all": all, "targets": targets.collect::<Vec<_>>()}})
        });
        serde_json::from_value(json!({"pos": 9, "entries": entries.collect::<Vec<_>>()})).unwrap()
    }

    fn directory() -> Directory {
        let mut directory = Directory::new(&json!({"dcs": ["a", "b"]}));
        let first: &[_] = &[("s-1", "SERVING", 0), ("s-2", "SERVING", 0)];
        let news = directory.apply(answer(&[(1, true, first)])).unwrap();
        assert_eq!(news.lists[0].0, ListUpdate::Restored);
        assert_eq!(news.lists[0].1[0].zone, 1);
        directory
    }

    #[test]
    fn a_restart_and_a_deletion_end_a_machine_and_a_drain_does_not() {
        let mut directory = directory();
        let events: &[_] = &[("s-1", "DRAINING", 0), ("s-2", "SERVING", 1_796_136_102_515)];
        let news = directory.apply(answer(&[(1, false, events), (2, false, events)])).unwrap();
        assert_eq!(news.lists.len(), 1, "an event that is known is not told again");
        assert_eq!(news.lists[0].1[1].since, Some(1_796_136_102_515_000_000));
        assert_eq!(news.ended_exchanges, vec![1]);
        let events: &[_] = &[("s-1", "DELETED", 0), ("s-7", "DELETED", 0)];
        assert_eq!(directory.apply(answer(&[(3, false, events)])).unwrap().ended_exchanges, vec![0]);
        directory.remove_gone(0);
        assert_eq!(directory.machines().map(|(id, _)| id).collect::<Vec<_>>(), vec![1]);
    }

    #[test]
    fn missing_events_are_asked_for_from_the_start_and_a_whole_list_ends_who_is_not_on_it() {
        let mut directory = directory();
        let one: &[_] = &[("s-1", "SERVING", 0)];
        assert!(directory.apply(answer(&[(4, false, one)])).is_err());
        assert_eq!(directory.position, 0);
        let news = directory.apply(answer(&[(1, true, one), (2, false, one)])).unwrap();
        assert_eq!((news.lists[0].0, news.ended_exchanges), (ListUpdate::Whole, vec![1]));
        assert_eq!(directory.position, 2);
    }
}
