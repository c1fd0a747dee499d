//! Hosts many instances of the decision module on the line protocol of [`pitchgw::wire`]: standard input to
//! standard output. The instances share nothing, and nothing is decided here.
#![forbid(unsafe_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use pitchgw::interface::{Action, Nanos};
use pitchgw::wire::{Message, NameTable, Pages, WireError};
use pitchgw::Controller;
use serde_json::json;

struct Instance {
    controller: Controller,
    names: NameTable,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    /// Instances that were stopped: what still arrives for them is void.
    stopped: BTreeSet<String>,
    pages: Pages,
    now: Option<Nanos>,
    reply: Vec<String>,
}

fn fault(event: &str, field: &str, expected: &str) -> WireError {
    WireError { event: event.into(), field: field.into(), expected: expected.into() }
}

impl Host {
    /// Takes one line; true when the batch is complete and the reply is due.
    fn line(&mut self, line: &str) -> Result<bool, WireError> {
        let m = Message::parse(line)?;
        if m.name == "SYNC" {
            if self.now.is_some() {
                return Err(fault("SYNC", "order", "FLUSH before the next batch"));
            }
            self.now = Some(m.whole(0, "clock")?);
            return Ok(false);
        }
        let Some(now) = self.now else { return Err(fault(&m.name, "order", "SYNC first")) };
        match m.name.as_str() {
            "FLUSH" => {
                self.now = None;
                return Ok(true);
            }
            "PAGE" => self.pages.put(&m)?,
            "LAUNCH" => self.launch(&m)?,
            "KILL" => {
                let name = m.text(0, "i")?;
                if self.instances.remove(name).is_some() {
                    self.stopped.insert(name.to_string());
                } else if !self.stopped.contains(name) {
                    return Err(fault(&m.name, "i", "an instance launched before"));
                }
            }
            _ => self.event(now, &m)?,
        }
        Ok(false)
    }

    fn launch(&mut self, m: &Message) -> Result<(), WireError> {
        let name = m.text(0, "i")?.to_string();
        let (names, settings, seed) = NameTable::from_launch(m)?;
        let controller = Controller::new(settings, seed)
            .map_err(|e| fault("LAUNCH", "boot-info", &format!("sound settings ({e})")))?;
        self.stopped.remove(&name);
        self.instances.insert(name, Instance { controller, names });
        Ok(())
    }

    fn event(&mut self, now: Nanos, m: &Message) -> Result<(), WireError> {
        let name = m.text(0, "i")?;
        let Some(instance) = self.instances.get_mut(name) else {
            if self.stopped.contains(name) {
                return Ok(());
            }
            return Err(fault(&m.name, "i", "an instance launched before"));
        };
        let Some(event) = instance.names.event(m, &self.pages)? else { return Ok(()) };
        let mut actions: Vec<Action> = Vec::new();
        let controller = &mut instance.controller;
        // A failure inside the module must not reach the pipe as anything but a message.
        let handled = catch_unwind(AssertUnwindSafe(|| controller.handle_event(now, event, &mut actions)));
        if let Err(panic) = handled {
            let text = (panic.downcast_ref::<String>().map(String::as_str))
                .or(panic.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            self.reply.push(json!(["INTERNAL_ERROR", name, text]).to_string());
            return Ok(());
        }
        self.reply.extend(actions.iter().filter_map(|a| instance.names.action(name, a)));
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(|e| format!("input: {e}"))? == 0 {
            return match host.now {
                None => Ok(()),
                Some(_) => Err(fault("input", "end", "FLUSH before the end of input").to_string()),
            };
        }
        let text = std::str::from_utf8(&line).map_err(|_| fault("line", "text", "UTF-8").to_string())?;
        if text.trim().is_empty() {
            continue;
        }
        if host.line(text).map_err(|e| e.to_string())? {
            for reply in host.reply.drain(..) {
                writeln!(output, "{reply}").map_err(|e| format!("output: {e}"))?;
            }
            writeln!(output, "[\"YIELD\"]").map_err(|e| format!("output: {e}"))?;
            output.flush().map_err(|e| format!("output: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    // The text of a panic goes out as INTERNAL_ERROR; keep standard error to one plain line.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("pitchgw-wirehost: {text}");
            ExitCode::FAILURE
        }
    }
}
