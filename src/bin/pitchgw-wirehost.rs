//! Runs many instances of the decision module on the line protocol of [`pitchgw::wire`], over standard input
//! and output. The instances are independent; the host makes no decisions.
#![forbid(unsafe_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use pitchgw::interface::{Action, Nanos};
use pitchgw::wire::{ListPages, Message, NameTable, WireError};
use pitchgw::Controller;
use serde_json::json;

struct Instance {
    controller: Controller,
    names: NameTable,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    /// Instances that were stopped; messages that still arrive for them are ignored.
    stopped: BTreeSet<String>,
    pages: ListPages,
    /// Time of the batch in progress.
    now: Option<Nanos>,
    reply: Vec<String>,
}

fn wire_error(event: &str, field: &str, expected: &str) -> WireError {
    WireError { event: event.into(), field: field.into(), expected: expected.into() }
}

impl Host {
    /// Processes one line. Returns true when the batch is complete and the reply has to be written.
    fn handle_line(&mut self, line: &str) -> Result<bool, WireError> {
        let message = Message::parse(line)?;
        if message.name == "SYNC" {
            if self.now.is_some() {
                return Err(wire_error("SYNC", "order", "FLUSH before the next batch"));
            }
            self.now = Some(message.integer(0, "clock")?);
            return Ok(false);
        }
        let Some(now) = self.now else { return Err(wire_error(&message.name, "order", "SYNC first")) };
        match message.name.as_str() {
            "FLUSH" => {
                self.now = None;
                return Ok(true);
            }
            "PAGE" => self.pages.insert(&message)?,
            "LAUNCH" => self.launch(&message)?,
            "KILL" => {
                let name = message.text(0, "i")?;
                if self.instances.remove(name).is_some() {
                    self.stopped.insert(name.to_string());
                } else if !self.stopped.contains(name) {
                    return Err(wire_error(&message.name, "i", "an instance launched before"));
                }
            }
            _ => self.dispatch(now, &message)?,
        }
        Ok(false)
    }

    fn launch(&mut self, message: &Message) -> Result<(), WireError> {
        let name = message.text(0, "i")?.to_string();
        let (names, settings, seed) = NameTable::from_launch(message)?;
        let controller = Controller::new(settings, seed)
            .map_err(|e| wire_error("LAUNCH", "boot-info", &format!("valid settings ({e})")))?;
        self.stopped.remove(&name);
        self.instances.insert(name, Instance { controller, names });
        Ok(())
    }

    fn dispatch(&mut self, now: Nanos, message: &Message) -> Result<(), WireError> {
        let name = message.text(0, "i")?;
        let Some(instance) = self.instances.get_mut(name) else {
            if self.stopped.contains(name) {
                return Ok(());
            }
            return Err(wire_error(&message.name, "i", "an instance launched before"));
        };
        let Some(event) = instance.names.parse_event(message, &self.pages)? else { return Ok(()) };
        let mut actions: Vec<Action> = Vec::new();
        let controller = &mut instance.controller;
        // A panic in the module is reported as a message, so that the output stays valid.
        let result = catch_unwind(AssertUnwindSafe(|| controller.handle_event(now, event, &mut actions)));
        if let Err(panic) = result {
            let text = (panic.downcast_ref::<String>().map(String::as_str))
                .or(panic.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            self.reply.push(json!(["INTERNAL_ERROR", name, text]).to_string());
            return Ok(());
        }
        self.reply.extend(actions.iter().filter_map(|a| instance.names.format_action(name, a)));
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
                Some(_) => Err(wire_error("input", "end", "FLUSH before the end of input").to_string()),
            };
        }
        let text = std::str::from_utf8(&line).map_err(|_| wire_error("line", "text", "UTF-8").to_string())?;
        if text.trim().is_empty() {
            continue;
        }
        if host.handle_line(text).map_err(|e| e.to_string())? {
            for reply in host.reply.drain(..) {
                writeln!(output, "{reply}").map_err(|e| format!("output: {e}"))?;
            }
            writeln!(output, "[\"YIELD\"]").map_err(|e| format!("output: {e}"))?;
            output.flush().map_err(|e| format!("output: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    // The text of a panic is sent as INTERNAL_ERROR; standard error is kept to one line.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("pitchgw-wirehost: {text}");
            ExitCode::FAILURE
        }
    }
}
