//! The instances of the decision module (the scheduling crate) and the simulator's current batch of messages.
//! The instances make all decisions.

use crate::wire::{print_actions, FieldError, FieldProblem, Message};
use std::collections::BTreeMap;
use vetchbridge_scheduling::Scheduler;
use vetchbridge_scheduling::{Action, Event, Micros, Settings};

/// A batch of messages from the simulator that has begun and not yet ended.
struct Batch {
    now: Micros,
    /// The number of the instance of the decision module that gets the next messages; `None` until a message
    /// of the batch selects an instance.
    selected: Option<u32>,
}

/// Runs the instances of the decision module. Each instance is one scheduler and shares no state with other
/// instances.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Scheduler>,
    batch: Option<Batch>,
    /// The actions that an instance of the decision module returned for one event. The vector is kept between
    /// events to reuse its memory.
    actions: Vec<Action>,
    /// The text of the reply to the current batch of messages.
    reply: Vec<u8>,
}

impl Host {
    /// Handles a message from the simulator. Returns the reply to the batch if the message ends the batch.
    pub(crate) fn handle(&mut self, message: Message) -> Result<Option<&[u8]>, FieldError> {
        match message {
            Message::BeginBatch(now) => self.begin_batch(now)?,
            Message::CommitBatch => return self.commit_batch().map(Some),
            Message::SelectInstance(instance) => self.current_batch()?.selected = Some(instance),
            Message::StartInstance { seed, settings } => self.start_instance(seed, *settings)?,
            Message::StopInstance => self.stop_instance()?,
            Message::Event(event) => self.handle_event(event)?,
        }
        Ok(None)
    }

    /// Checks, at the end of the simulator's input, that the last batch of messages has ended.
    pub(crate) fn finish(&self) -> Result<(), FieldError> {
        match self.batch {
            Some(_) => Err(FieldError::new("commit", FieldProblem::EndsInsideBatch)),
            None => Ok(()),
        }
    }

    fn current_batch(&mut self) -> Result<&mut Batch, FieldError> {
        self.batch.as_mut().ok_or_else(|| FieldError::new("begin_batch", FieldProblem::MissingBefore))
    }

    fn selected_instance(&mut self) -> Result<u32, FieldError> {
        let selected = self.current_batch()?.selected;
        selected.ok_or_else(|| FieldError::new("instance", FieldProblem::MissingBefore))
    }

    fn begin_batch(&mut self, now: Micros) -> Result<(), FieldError> {
        if self.batch.is_some() {
            return Err(FieldError::new("begin_batch", FieldProblem::BatchNotEnded));
        }
        self.batch = Some(Batch { now, selected: None });
        self.reply.clear();
        Ok(())
    }

    fn commit_batch(&mut self) -> Result<&[u8], FieldError> {
        self.current_batch()?;
        self.batch = None;
        self.reply.extend_from_slice(b"end\n");
        Ok(&self.reply)
    }

    fn start_instance(&mut self, seed: u64, settings: Settings) -> Result<(), FieldError> {
        let instance = self.selected_instance()?;
        let scheduler =
            Scheduler::new(settings, seed).map_err(|error| FieldError::new("setup", error.into()))?;
        self.instances.insert(instance, scheduler);
        Ok(())
    }

    fn stop_instance(&mut self) -> Result<(), FieldError> {
        let instance = self.selected_instance()?;
        self.instances.remove(&instance).map(drop).ok_or_else(not_running)
    }

    fn handle_event(&mut self, event: Event) -> Result<(), FieldError> {
        let instance = self.selected_instance()?;
        let now = self.current_batch()?.now;
        let scheduler = self.instances.get_mut(&instance).ok_or_else(not_running)?;
        self.actions.clear();
        scheduler.handle(now, event, &mut self.actions);
        if self.actions.is_empty() {
            return Ok(());
        }
        print_actions(&mut self.reply, instance, &self.actions)
            .map_err(|error| FieldError::new("reply", error.into()))
    }
}

fn not_running() -> FieldError {
    FieldError::new("instance", FieldProblem::NotRunning)
}
