//! The configuration, the settings and the list of exchanges.
//!
//! The journal events in the configuration (`known`) and those received later (`/journal`) are applied in the
//! same way. An `ExchangeId` identifies a machine; `number` is the number of its exchange, which several
//! machines may share.

use std::collections::BTreeMap;

use pitchgw::interface::{Entry, ExchangeId, ExchangeState, ListUpdate, Nanos, Settings};
use pitchgw::wire::{Message, NameTable};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::clock::MS;

/// Time that messages may take on sockets. The limits that the rehearsals check include it. The release wait,
/// after an attempt that may still hold circuits, is extended by the same time, as the message that ends the
/// attempt takes that long to arrive.
pub const SOCKET_DELAY_ALLOWANCE: Nanos = 50 * MS;

/// The configuration file. Unused keys are ignored.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// The address that callers connect to.
    pub listen: std::net::SocketAddr,
    /// Random seed, in hexadecimal digits.
    pub seed: String,
    /// The journal service's address.
    pub journal: std::net::SocketAddr,
    /// The journal events known at the start.
    #[serde(default)]
    pub known: JournalAnswer,
    /// Resource limits.
    pub limits: Limits,
    /// The settings, in the simulator's format.
    pub settings: Value,
}

/// Resource limits of the process.
#[derive(Debug, Deserialize)]
pub struct Limits {
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Maximum memory, in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

fn default_memory_mb() -> usize {
    64
}

/// Maximum sizes derived from the limits. Together they take up to about five eighths of the memory; the rest
/// is left for the process itself and for memory that the allocator cannot return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections from callers.
    pub max_callers: usize,
    /// Connections of all kinds.
    pub max_connections: usize,
    /// Memory of the set-ups that await a final answer: a quarter of all.
    pub max_open_bytes: usize,
    /// Bytes allocated for the buffers of all connections: a quarter of the memory.
    pub max_buffered_bytes: usize,
    /// Standing calls. The same maximum applies to ids of recently ended calls, to releases that wait for a
    /// connection and to dialled numbers. At 1 KiB each, an eighth of the memory.
    pub max_standing_calls: usize,
}

impl Limits {
    /// The bounds that keep the process within these limits.
    pub fn bounds(&self) -> Bounds {
        let (sockets, memory_bytes) = (self.sockets.max(64), self.memory_mb.max(16) * 1024 * 1024);
        Bounds {
            max_callers: sockets / 2,
            max_connections: sockets - 32,
            max_open_bytes: memory_bytes / 4,
            max_buffered_bytes: memory_bytes / 4,
            max_standing_calls: (memory_bytes / 8 / 1024).min(20_000),
        }
    }
}

/// An answer from the journal service.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct JournalAnswer {
    /// Position of the last event.
    #[serde(default)]
    pub pos: u64,
    /// Events, in order.
    #[serde(default)]
    pub entries: Vec<JournalEvent>,
}

/// A journal event. Only `hosts` events have an effect; others advance the position.
#[derive(Clone, Debug, Deserialize)]
pub struct JournalEvent {
    pos: u64,
    hosts: Option<Hosts>,
}

/// An update of the list of exchanges: all machines, or those that changed.
#[derive(Clone, Debug, Deserialize)]
struct Hosts {
    #[serde(default)]
    all: bool,
    targets: Vec<Host>,
}

#[derive(Clone, Debug, Deserialize)]
struct Host {
    /// Identifies the machine across events.
    uid: String,
    endpoint: std::net::SocketAddr,
    /// Name of the zone.
    #[serde(default)]
    az: String,
    /// Number of the exchange.
    pod_group: u32,
    state: HostState,
    /// When the machine started, in Unix milliseconds; 0 if unknown.
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
enum HostState {
    Serving,
    Draining,
    Deleted,
}

impl HostState {
    fn is_deleted(self) -> bool {
        self == HostState::Deleted
    }
}

/// Parses the configuration. The error is a single line.
pub fn read_config(text: &str) -> Result<Config, String> {
    serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))
}

/// The settings, parsed for the parts of the controller.
#[derive(Debug)]
pub struct ControllerSettings {
    /// Settings of the decision module.
    pub module: Settings,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Time after which a connection that is not established is given up.
    pub connect_timeout: Nanos,
    /// Maximum number of open set-ups.
    pub max_open_set_ups: usize,
    /// Names of the fields for the free circuits and the size of a group in its reports.
    pub report_fields: [String; 2],
}

/// Parses the settings with the parser of the simulator protocol, as both have the same format.
pub fn read_settings(config: &Config) -> Result<ControllerSettings, String> {
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|e| format!("configuration: seed: {e}"))?;
    let settings = &config.settings;
    let launch = Message::parse(&json!(["LAUNCH", "agent/0", seed, settings]).to_string());
    let (_, mut module, seed) = launch.and_then(|m| NameTable::from_launch(&m)).map_err(|e| e.to_string())?;
    module.validate().map_err(|e| format!("configuration: settings: {e}"))?;
    module.release_wait += SOCKET_DELAY_ALLOWANCE;
    let classes = settings["grades"].as_array().into_iter().flatten();
    let permissions = &settings["permissions"];
    let report_field =
        |i: usize, default: &str| settings["report"]["fields"][i].as_str().unwrap_or(default).to_string();
    Ok(ControllerSettings {
        module,
        seed,
        classes: classes.map(|class| class["name"].as_str().unwrap_or_default().to_string()).collect(),
        connect_timeout: permissions["connect-timeout"].as_u64().filter(|t| *t > 0).unwrap_or(500 * MS),
        max_open_set_ups: permissions["max-open"].as_u64().unwrap_or(20_000) as usize,
        report_fields: [report_field(0, "spare"), report_field(1, "total")],
    })
}

/// A machine on the list, or one that has left it and still has calls.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The address it listens on.
    pub address: std::net::SocketAddr,
    /// Number of its exchange.
    pub number: u32,
    /// Its state in the journal.
    pub state: ExchangeState,
    /// When it started; `None` if that was long ago or is unknown.
    pub started_at: Option<Nanos>,
    uid: String,
}

/// The changes made by a journal answer.
#[derive(Debug, Default)]
pub struct DirectoryUpdate {
    /// List events for the decision module, in order.
    pub lists: Vec<(ListUpdate, Vec<Entry>)>,
    /// Machines whose process has ended: they left the list, were restarted, moved, or another one is listed at their address.
    pub ended_machines: Vec<ExchangeId>,
}

impl DirectoryUpdate {
    fn machine_ended(&mut self, id: ExchangeId) {
        if !self.ended_machines.contains(&id) {
            self.ended_machines.push(id);
        }
    }
}

fn parse_zones(settings: &Value) -> Vec<String> {
    let zones = settings["dcs"].as_array().into_iter().flatten();
    zones.filter_map(|z| z.as_str().map(String::from)).collect()
}

/// The list of exchanges, as reported by the journal.
#[derive(Debug)]
pub struct Directory {
    /// Names of the zones, by index.
    zones: Vec<String>,
    machines: BTreeMap<ExchangeId, Machine>,
    next_id: ExchangeId,
    /// Position of the last journal event that was applied.
    pub position: u64,
    /// Whether a complete list was received.
    has_complete_list: bool,
}

impl Directory {
    /// Creates an empty list.
    pub fn new(settings: &Value) -> Directory {
        Directory {
            zones: parse_zones(settings),
            machines: BTreeMap::new(),
            next_id: 0,
            position: 0,
            has_complete_list: false,
        }
    }

    /// Replaces the names of the zones by those in other settings.
    pub fn update_zones(&mut self, settings: &Value) {
        self.zones = parse_zones(settings);
    }

    /// The machine with this id.
    pub fn machine(&self, id: ExchangeId) -> Option<&Machine> {
        self.machines.get(&id)
    }

    /// All machines, including those that have left the list and were not removed yet.
    pub fn machines(&self) -> impl Iterator<Item = (ExchangeId, &Machine)> {
        self.machines.iter().map(|(id, m)| (*id, m))
    }

    /// Whether a machine has left the list.
    pub fn is_gone(&self, id: ExchangeId) -> bool {
        self.machine(id).is_none_or(|m| m.state == ExchangeState::Gone)
    }

    /// The machine on the list that has taken over the address of another one.
    pub fn successor(&self, id: ExchangeId) -> Option<(ExchangeId, &Machine)> {
        let address = self.machine(id)?.address;
        let is_successor = |(other, m): &(ExchangeId, &Machine)| {
            *other != id && m.address == address && m.state != ExchangeState::Gone
        };
        self.machines().filter(is_successor).last()
    }

    /// Removes a machine if it has left the list.
    pub fn remove_gone(&mut self, id: ExchangeId) {
        self.machines.retain(|other, m| *other != id || m.state != ExchangeState::Gone);
    }

    /// Applies an answer from the journal. An error means that events are missing between the last position
    /// and the answer: the position is reset, so that all events are requested again.
    pub fn apply(&mut self, answer: JournalAnswer) -> Result<DirectoryUpdate, MissingEvents> {
        let mut update = DirectoryUpdate::default();
        for event in answer.entries {
            if event.pos <= self.position {
                continue;
            }
            let is_complete = event.hosts.as_ref().is_some_and(|h| h.all);
            if event.pos != self.position + 1 && !is_complete && self.position > 0 {
                self.position = 0;
                return Err(MissingEvents(update));
            }
            self.position = event.pos;
            if let Some(hosts) = event.hosts {
                self.apply_hosts(hosts, &mut update);
            }
        }
        Ok(update)
    }

    fn apply_hosts(&mut self, hosts: Hosts, update: &mut DirectoryUpdate) {
        let kind = match (hosts.all, self.has_complete_list) {
            (false, _) => ListUpdate::Changes,
            (true, false) => ListUpdate::Restored,
            (true, true) => ListUpdate::Whole,
        };
        self.has_complete_list |= hosts.all;
        if hosts.all {
            let is_listed = |uid: &str| hosts.targets.iter().any(|h| h.uid == uid);
            for (id, machine) in &mut self.machines {
                if machine.state != ExchangeState::Gone && !is_listed(&machine.uid) {
                    machine.state = ExchangeState::Gone;
                    update.machine_ended(*id);
                }
            }
        }
        let mut entries = Vec::new();
        for host in hosts.targets {
            entries.extend(self.remove_moved(&host, update));
            entries.push(self.apply_host(host, update));
        }
        update.lists.push((kind, entries));
    }

    /// The newest machine with this uid. An earlier one is at another address, and gone.
    fn newest_with_uid(&self, uid: &str) -> Option<(ExchangeId, &Machine)> {
        self.machines.iter().rev().find(|(_, m)| m.uid == uid).map(|(id, m)| (*id, m))
    }

    /// A machine that is listed at another address is another one there: the one at the address before is gone.
    fn remove_moved(&mut self, host: &Host, update: &mut DirectoryUpdate) -> Option<Entry> {
        let (id, machine) = self.newest_with_uid(&host.uid)?;
        if machine.state == ExchangeState::Gone || machine.address == host.endpoint || host.state.is_deleted()
        {
            return None;
        }
        let (number, since, zone) = (machine.number, machine.started_at, self.zone_index(&host.az));
        self.machines.get_mut(&id)?.state = ExchangeState::Gone;
        update.machine_ended(id);
        Some(Entry { exchange: id, number, zone, since, standing: ExchangeState::Gone })
    }

    fn zone_index(&self, name: &str) -> u32 {
        self.zones.iter().position(|zone| zone == name).unwrap_or(self.zones.len()) as u32
    }

    fn apply_host(&mut self, host: Host, update: &mut DirectoryUpdate) -> Entry {
        let known = self.newest_with_uid(&host.uid);
        let known = known.filter(|(_, m)| m.address == host.endpoint || host.state.is_deleted());
        let known_id = known.map(|(id, _)| id);
        // A machine that is gone keeps the address at which its calls stand.
        let address = known.map_or(host.endpoint, |(_, machine)| machine.address);
        let id = known_id.unwrap_or(self.next_id);
        self.next_id = self.next_id.max(id + 1);
        let started_at = Some(host.boot_ms * MS).filter(|t| *t > 0);
        let state = match host.state {
            HostState::Serving => ExchangeState::Up,
            HostState::Draining => ExchangeState::Draining,
            HostState::Deleted => ExchangeState::Gone,
        };
        if let Some(previous) = self.machines.get(&id) {
            let has_left = state == ExchangeState::Gone && previous.state != ExchangeState::Gone;
            if has_left || previous.started_at != started_at {
                update.machine_ended(id);
            }
        } else if state != ExchangeState::Gone {
            // A new machine has the address of one that has gone, whatever else is listed.
            let replaced =
                self.machines.iter().filter(|(_, m)| m.address == address && m.state != ExchangeState::Gone);
            replaced.for_each(|(replaced, _)| update.machine_ended(*replaced));
        }
        let (number, zone) = (host.pod_group, self.zone_index(&host.az));
        if known_id.is_some() || state != ExchangeState::Gone {
            self.machines.insert(id, Machine { address, number, state, started_at, uid: host.uid });
        }
        Entry { exchange: id, number, zone, since: started_at, standing: state }
    }
}

/// Events are missing. Holds the changes by the events before the gap, which were applied.
#[derive(Debug)]
pub struct MissingEvents(pub DirectoryUpdate);

#[cfg(test)]
mod tests {
    use super::*;

    /// Uid, state and `boot_ms` of a machine.
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
        let machines: &[_] = &[("s-1", "SERVING", 0), ("s-2", "SERVING", 0)];
        let update = directory.apply(answer(&[(1, true, machines)])).unwrap();
        assert_eq!(update.lists[0].0, ListUpdate::Restored);
        assert_eq!(update.lists[0].1[0].zone, 1);
        directory
    }

    #[test]
    fn restart_or_deletion_ends_a_machine_and_drain_does_not() {
        let mut directory = directory();
        let events: &[_] = &[("s-1", "DRAINING", 0), ("s-2", "SERVING", 1_796_136_102_515)];
        let update = directory.apply(answer(&[(1, false, events), (2, false, events)])).unwrap();
        assert_eq!(update.lists.len(), 1, "a known event is not applied again");
        assert_eq!(update.lists[0].1[1].since, Some(1_796_136_102_515_000_000));
        assert_eq!(update.ended_machines, vec![1]);
        let events: &[_] = &[("s-1", "DELETED", 0), ("s-7", "DELETED", 0)];
        assert_eq!(directory.apply(answer(&[(3, false, events)])).unwrap().ended_machines, vec![0]);
        directory.remove_gone(0);
        assert_eq!(directory.machines().map(|(id, _)| id).collect::<Vec<_>>(), vec![1]);
    }

    #[test]
    fn machine_at_another_address_is_another_one_and_the_one_before_is_gone() {
        let mut directory = directory();
        let target = |port: u16, state: &str| {
            let targets = [json!({"uid": "s-1", "endpoint": format!("10.1.0.9:{port}"), "pod_group": 2,
                                  "state": state})];
            json!({"all": false, "targets": targets})
        };
        let mut apply = |pos: u64, hosts: Value| {
            let answer = json!({"pos": pos, "entries": [{"pos": pos, "hosts": hosts}]});
            directory.apply(serde_json::from_value(answer).unwrap()).unwrap()
        };
        let update = apply(2, target(7, "SERVING"));
        let standings: Vec<_> = update.lists[0].1.iter().map(|e| (e.exchange, e.standing)).collect();
        assert_eq!(standings, [(0, ExchangeState::Gone), (2, ExchangeState::Up)]);
        assert_eq!(update.ended_machines, [0]);
        assert!(apply(3, target(7, "DRAINING")).ended_machines.is_empty(), "it has not moved again");
        // It leaves the list at the address that it had.
        assert_eq!(apply(4, target(2905, "DELETED")).ended_machines, [2]);
        assert_eq!(directory.machine(2).map(|m| m.address.port()), Some(7));
        assert!(directory.is_gone(0) && directory.is_gone(2));
    }

    #[test]
    fn missing_events_reset_the_position_and_complete_list_ends_unlisted_machines() {
        let mut directory = directory();
        let only_first: &[_] = &[("s-1", "SERVING", 0)];
        assert!(directory.apply(answer(&[(4, false, only_first)])).is_err());
        assert_eq!(directory.position, 0);
        let update = directory.apply(answer(&[(1, true, only_first), (2, false, only_first)])).unwrap();
        assert_eq!((update.lists[0].0, update.ended_machines), (ListUpdate::Whole, vec![1]));
        assert_eq!(directory.position, 2);
    }
}
