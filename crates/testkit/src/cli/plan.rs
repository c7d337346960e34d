//! The command `plan`: prints and checks plans, which describe deployments.

use super::output::{print, to_json};
use crate::plan::{self, Plan};
use crate::Failure;
use clap::Subcommand;
use std::path::PathBuf;

#[derive(Debug, Subcommand)]
pub(super) enum PlanCommand {
    /// Print the default plan, which `demo` runs
    Default,
    /// Print a built-in plan
    Show {
        /// The plan's name: demo, scans or soak
        name: String,
    },
    /// Print the JSON Schema of plans, for editors
    Schema,
    /// Check plans and report all faults
    Check {
        /// The plans to check: files, or names of built-in plans
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

impl PlanCommand {
    pub(super) fn run(self) -> Result<(), Failure> {
        match self {
            PlanCommand::Default => print(plan::DEMO),
            PlanCommand::Show { name } => show(&name),
            PlanCommand::Schema => print(&to_json(&plan::schema())?),
            PlanCommand::Check { files } => check(&files),
        }
    }
}

fn show(name: &str) -> Result<(), Failure> {
    let Some((_, text)) = plan::BUILT_IN.iter().find(|(known, _)| *known == name) else {
        let names = plan::BUILT_IN.map(|(known, _)| known).join(", ");
        return Err(Failure::BadInput(format!("{name}: no built-in plan has this name; use one of {names}")));
    };
    print(text)
}

fn check(files: &[PathBuf]) -> Result<(), Failure> {
    let errors = files.iter().filter_map(|file| Plan::read(Some(file)).err());
    let errors: Vec<String> = errors.map(|failure| failure.to_string()).collect();
    if errors.is_empty() {
        return print("valid\n");
    }
    Err(Failure::BadInput(errors.join("\n")))
}
