//! Commands and checks that scripts use, listed in the documentation of the parent module.

use wagtailshunt_core::replication::MembershipChange;
use wagtailshunt_core::time;
use wagtailshunt_core::types::VmId;

use super::Replication;
use super::disk::{Faults, Operation};
use super::group::Group;
use super::settings::probability;
use crate::scenario::{Arg, Args, Verdict, WorldError};

/// Parses the VM argument at a position; `leader` gives the current leader, if any.
fn vm(group: &Group, args: &Args, position: usize) -> Result<Option<VmId>, WorldError> {
    let text = args.text(position)?;
    if text == "leader" {
        return Ok(group.leader());
    }
    let number = text.strip_prefix("vm").and_then(|text| text.parse().ok());
    let id = number.map(VmId).filter(|id| group.vms.contains_key(id));
    let unknown = || WorldError::Invalid(format!("unknown VM `{text}`"));
    id.map(Some).ok_or_else(unknown)
}

fn number(args: &Args, name: &str, default: u64) -> Result<u64, WorldError> {
    let named = args.named(name).map(Arg::as_u64).transpose()?;
    Ok(named.unwrap_or(default))
}

/// Returns the VM to crash at `step` in the sequence of all ordered pairs of `voters` VMs.
fn vm_to_lose(step: u32, voters: u32) -> VmId {
    let pair = (step / 2) % (voters * (voters - 1));
    let first = pair / (voters - 1);
    let other = pair % (voters - 1);
    let second = other + u32::from(other >= first);
    VmId(
        1 + if step.is_multiple_of(2) {
            first
        } else {
            second
        },
    )
}

impl Replication {
    pub(super) fn run(
        &mut self,
        now: time::Instant,
        name: &str,
        args: &Args,
    ) -> Result<(), WorldError> {
        if name == "lose_next" {
            let id = vm_to_lose(self.next_loss, self.settings.nodes);
            self.next_loss += 1;
            self.group()?.crash(now, id, "lost");
            return Ok(());
        }
        let group = self.group()?;
        match name {
            "propose" => {
                let size = number(args, "size", 0)? as usize;
                for _ in 0..number(args, "count", 1)? {
                    group.propose(now, None, size);
                }
            }
            "read" => group.read(now),
            "restart_all" => group.restart_all(now),
            "crash_all" => {
                for id in group.vms.keys().copied().collect::<Vec<_>>() {
                    group.crash(now, id, "crash");
                }
            }
            "mark" => group.accepted_at_mark = group.checker.accepted,
            "heal_all" => group.network.cuts.clear(),
            "loss" => group.network.loss = probability(args.at(0)?)?,
            "duplicate" => group.network.duplicate = probability(args.at(0)?)?,
            "reorder" => group.network.reorder = probability(args.at(0)?)?,
            "chaos" => group.chaos(now),
            "calm" => group.end_faults(now),
            "transfer" => group.transfer(now, args)?,
            "cut" | "mend" => {
                let link = (vm(group, args, 0)?, vm(group, args, 1)?);
                if let (Some(from), Some(to)) = link {
                    if name == "cut" {
                        group.network.cuts.insert((from, to));
                    } else {
                        group.network.cuts.remove(&(from, to));
                    }
                }
            }
            "replace" => {
                let (old, new) = (vm(group, args, 0)?, vm(group, args, 1)?);
                if let (Some(old), Some(new)) = (old, new) {
                    group.start(now, new);
                    group.membership_plan.extend([
                        MembershipChange::Remove(old),
                        MembershipChange::AddLearner(new),
                        MembershipChange::Promote(new),
                    ]);
                    group.start_membership_plan(now);
                }
            }
            _ => {
                let known = [
                    "crash",
                    "crash_at",
                    "restart",
                    "deafen",
                    "mute",
                    "partition",
                    "heal",
                    "disk_full",
                    "failed_sync",
                    "slow_disk",
                    "damage",
                    "add_learner",
                    "promote",
                    "remove",
                ];
                if !known.contains(&name) {
                    return Err(WorldError::UnknownCommand(name.to_owned()));
                }
                if let Some(id) = vm(group, args, 0)? {
                    return group.run_on(now, id, name, args);
                }
            }
        }
        Ok(())
    }

    pub(super) fn evaluate(&mut self, name: &str, args: &Args) -> Result<Verdict, WorldError> {
        let group = self.group()?;
        let leaders: Vec<_> = group.vms.values().filter(|vm| vm.is_leader()).collect();
        let leaders: Vec<_> = leaders.iter().map(|vm| vm.id).collect();
        let verdict = match name {
            "safe" => {
                let violation = group.checker.violation.clone();
                violation.map_or(Verdict::Holds, Verdict::Fails)
            }
            "leaders" => {
                let expected = args.u64(0)? as usize;
                Verdict::from_condition(leaders.len() == expected, || {
                    format!("the leaders are {leaders:?}")
                })
            }
            "led" => Verdict::from_condition(!leaders.is_empty(), || "no leader".to_owned()),
            "leader" => {
                let expected = vm(group, args, 0)?;
                let leader = group.leader();
                Verdict::from_condition(leader == expected, || format!("{leader:?} leads"))
            }
            "steps_down" => {
                let id = vm(group, args, 0)?;
                let leads = leaders.iter().any(|leader| Some(*leader) == id);
                Verdict::from_condition(!leads, || "it still leads".to_owned())
            }
            "term_at_most" => {
                let most = args.u64(0)?;
                let nodes = group.vms.values().filter_map(|vm| vm.process.as_ref());
                let term = nodes
                    .map(|process| process.node.term().0)
                    .max()
                    .unwrap_or(0);
                Verdict::from_condition(term <= most, || format!("term {term}"))
            }
            "accepted" => at_least(group.checker.accepted, args.u64(0)?),
            "accepted_since_mark" => at_least(
                group.checker.accepted - group.accepted_at_mark,
                args.u64(0)?,
            ),
            "answered" => at_least(group.checker.reads_answered, args.u64(0)?),
            "converged" => group.converged(),
            "all_up" => {
                let down = group.vms.values().find(|vm| vm.process.is_none());
                let down = down.map(|vm| format!("vm{} is down: {:?}", vm.id, vm.start_error));
                down.map_or(Verdict::Holds, Verdict::Fails)
            }
            "voters" => {
                let expected = args.u64(0)? as usize;
                let leader = group
                    .leader()
                    .and_then(|id| group.vms[&id].process.as_ref());
                let count = leader.map_or(0, |process| process.node.members().voters.len());
                Verdict::from_condition(count == expected, || format!("{count} voters"))
            }
            "planned" => {
                let left = group.membership_plan.len();
                Verdict::from_condition(left == 0, || {
                    format!("{left} membership changes are not done")
                })
            }
            "up" | "down" | "refused" | "compacted" => {
                let Some(id) = vm(group, args, 0)? else {
                    return Ok(Verdict::Fails("no leader".to_owned()));
                };
                let vm = &group.vms[&id];
                let snapshot = vm
                    .process
                    .as_ref()
                    .map(|process| process.node.snapshot_index());
                let refused = vm.start_error.clone().unwrap_or_default();
                let holds = match name {
                    "up" => vm.process.is_some(),
                    "down" => vm.process.is_none(),
                    "refused" => !refused.is_empty() && refused.contains(args.text(1)?),
                    _ => snapshot.is_some_and(|index| index.0 > 0),
                };
                Verdict::from_condition(holds, || format!("{snapshot:?} {refused}"))
            }
            _ => return Err(WorldError::UnknownCheck(name.to_owned())),
        };
        Ok(verdict)
    }
}

fn at_least(found: u64, expected: u64) -> Verdict {
    Verdict::from_condition(found >= expected, || format!("only {found}"))
}

impl Group {
    /// Runs a command whose first argument is a VM.
    fn run_on(
        &mut self,
        now: time::Instant,
        id: VmId,
        name: &str,
        args: &Args,
    ) -> Result<(), WorldError> {
        let others: Vec<_> = self.vms.keys().copied().collect();
        let disk = self.vms[&id].disk.clone();
        match name {
            "crash" => self.crash(now, id, "crash"),
            "crash_at" => {
                let kind = args.text(1)?;
                let operation = Operation::parse(kind);
                if operation.is_none() && kind != "any" {
                    return Err(WorldError::Invalid(format!("unknown operation `{kind}`")));
                }
                disk.set_crash_point(operation, args.u64(2)?);
            }
            "restart" => self.start(now, id),
            "partition" => self.network.isolate(id, others.into_iter(), true),
            "deafen" => self.network.cuts.extend(others.iter().map(|vm| (*vm, id))),
            "mute" => self.network.cuts.extend(others.iter().map(|vm| (id, *vm))),
            "heal" => self.network.isolate(id, others.into_iter(), false),
            "disk_full" => {
                let full = args.at(1)?.as_bool()?;
                disk.set_faults(Faults {
                    full,
                    ..disk.faults()
                });
            }
            "failed_sync" => disk.set_faults(Faults {
                failed_sync: true,
                ..disk.faults()
            }),
            "slow_disk" => {
                let extra_write_time = args.duration(1)?;
                if let Some(vm) = self.vms.get_mut(&id) {
                    vm.extra_write_time = extra_write_time;
                }
            }
            "damage" => {
                let prefix = args.text(1)?;
                if !disk.flip_bit(prefix) {
                    return Err(WorldError::Invalid(format!("no file `{prefix}`")));
                }
            }
            _ => {
                self.membership_plan.push_back(match name {
                    "add_learner" => MembershipChange::AddLearner(id),
                    "promote" => MembershipChange::Promote(id),
                    _ => MembershipChange::Remove(id),
                });
                self.start_membership_plan(now);
            }
        }
        Ok(())
    }

    fn transfer(&mut self, now: time::Instant, args: &Args) -> Result<(), WorldError> {
        let to = if !args.is_empty() {
            vm(self, args, 0)?
        } else {
            None
        };
        if let Some(leader) = self.leader() {
            self.with_node(now, leader, |node, local| {
                node.transfer_leadership(local, to)
            });
        }
        Ok(())
    }

    pub(super) fn restart_all(&mut self, now: time::Instant) {
        let initial_nodes = self.settings.nodes;
        let down = self.vms.values().filter(|vm| vm.process.is_none());
        // Spares that were never started stay down.
        let down = down.filter(|vm| vm.id.0 <= initial_nodes || vm.incarnation > 0);
        for id in down.map(|vm| vm.id).collect::<Vec<_>>() {
            self.start(now, id);
        }
    }

    /// Checks that every running member has applied the whole history.
    fn converged(&self) -> Verdict {
        let last = self.checker.last();
        let Some(leader) = self.leader() else {
            return Verdict::Fails("no leader".to_owned());
        };
        let Some(leader) = &self.vms[&leader].process else {
            return Verdict::Fails("no leader".to_owned());
        };
        for vm in self.vms.values() {
            let member = leader.node.members().contains(vm.id);
            let Some(process) = vm.process.as_ref().filter(|_| member) else {
                continue;
            };
            if process.state_machine.index != last {
                let index = process.state_machine.index;
                return Verdict::Fails(format!("vm{} has applied up to {index} of {last}", vm.id));
            }
        }
        Verdict::Holds
    }
}
