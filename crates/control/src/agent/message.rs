//! Messages between agents.

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::id::{DomainName, Epoch, Incarnation, Version};
use sycamorerill_schema::journal;
use sycamorerill_schema::journal::message::Which;

use crate::codec::{self, Error};
use crate::membership::{MemberState, StateUpdate};
use crate::ownership::{Handover, Owner};
use crate::penalties::{Misses, read_misses, write_misses};
use crate::session;

data! {
    /// Heartbeat of an instance.
    pub(crate) struct Heartbeat {
        /// State of the sender.
        pub(crate) state: MemberState,
        /// Version of the sender's state, see [`StateUpdate`].
        pub(crate) state_version: u64,
        /// Configuration version in force on the sender.
        pub(crate) version: Version,
        /// Digest of the owners known to the sender.
        pub(crate) owners_digest: u64,
        /// Digest of the running members known to the sender.
        pub(crate) members_digest: u64,
        /// Failure domain of the sender.
        pub(crate) domain: DomainName,
        /// Gossip about other members.
        pub(crate) updates: Vec<StateUpdate>,
    }
}

data! {
    /// Content of a message.
    pub(crate) enum Body {
        Heartbeat(Heartbeat),
        /// Shards handed over to the receiver.
        Handover(Vec<Handover>),
        /// Acknowledgement of a handover.
        HandoverReceived(Vec<Owner>),
        /// Owners of shards known to the sender.
        Owners(Vec<Owner>),
        /// Request for [`Body::Owners`].
        OwnersRequest,
        /// Configuration version that exists.
        ConfigVersion(Version),
        /// Request for a configuration above this version.
        ConfigRequest(Version),
        /// Encoded content of a configuration version.
        Config(Bytes),
        /// Misses to hold until they are durable.
        PendingMisses(Misses),
        /// Misses that have become durable.
        DurableMisses(Misses),
        /// Request for [`Body::Members`].
        MembersRequest,
        /// States of the running members known to the sender.
        Members(Vec<StateUpdate>),
    }
}

data! {
    /// Message sent by an incarnation.
    pub(crate) struct Message {
        pub(crate) incarnation: Incarnation,
        pub(crate) body: Body,
    }
}

impl Message {
    pub(crate) fn encode(&self) -> Bytes {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<journal::message::Builder<'_>>();
        root.set_incarnation(self.incarnation.0);
        match &self.body {
            Body::Heartbeat(heartbeat) => write_heartbeat(root.init_beat(), heartbeat),
            Body::Handover(handovers) => write_handovers(root.init_handed(), handovers),
            Body::HandoverReceived(owners) => write_owners(root.init_received(), owners.iter()),
            Body::Owners(owners) => write_owners(root.init_owners(), owners.iter()),
            Body::OwnersRequest => root.set_owners_wanted(()),
            Body::ConfigVersion(version) => root.set_notify(version.0),
            Body::ConfigRequest(version) => root.set_content_wanted(version.0),
            Body::Config(bytes) => root.set_content(bytes),
            Body::PendingMisses(misses) => write_misses(root.init_pending(), misses.values()),
            Body::DurableMisses(misses) => write_misses(root.init_lasting(), misses.values()),
            Body::MembersRequest => root.set_members_wanted(()),
            Body::Members(updates) => {
                write_updates(root.init_members(updates.len() as u32), updates)
            }
        }
        codec::encode(&message)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = codec::decode(bytes)?;
        let root = message.get_root::<journal::message::Reader<'_>>()?;
        let body = match root.which()? {
            Which::Beat(heartbeat) => Body::Heartbeat(read_heartbeat(heartbeat?)?),
            Which::Handed(handovers) => Body::Handover(read_handovers(handovers?)?),
            Which::Received(owners) => Body::HandoverReceived(read_owners(owners?)?),
            Which::Owners(owners) => Body::Owners(read_owners(owners?)?),
            Which::OwnersWanted(()) => Body::OwnersRequest,
            Which::Notify(version) => Body::ConfigVersion(Version(version)),
            Which::ContentWanted(version) => Body::ConfigRequest(Version(version)),
            Which::Content(bytes) => Body::Config(Bytes::copy_from_slice(bytes?)),
            Which::Pending(misses) => Body::PendingMisses(read_misses(misses?)?),
            Which::Lasting(misses) => Body::DurableMisses(read_misses(misses?)?),
            Which::MembersWanted(()) => Body::MembersRequest,
            Which::Members(updates) => {
                Body::Members(updates?.iter().map(read_update).collect::<Result<_, _>>()?)
            }
        };
        Ok(Self { incarnation: Incarnation(root.get_incarnation()), body })
    }
}

fn write_heartbeat(mut to: journal::beat::Builder<'_>, heartbeat: &Heartbeat) {
    to.set_standing(heartbeat.state.code());
    to.set_life(heartbeat.state_version);
    to.set_version(heartbeat.version.0);
    to.set_owners(heartbeat.owners_digest);
    to.set_members(heartbeat.members_digest);
    to.set_domain(heartbeat.domain.as_str());
    write_updates(to.init_news(heartbeat.updates.len() as u32), &heartbeat.updates);
}

fn write_updates(
    mut list: capnp::struct_list::Builder<'_, journal::news::Owned>,
    all: &[StateUpdate],
) {
    for (at, update) in all.iter().enumerate() {
        let mut to = list.reborrow().get(at as u32);
        to.set_instance(update.instance.as_str());
        to.set_incarnation(update.incarnation.0);
        to.set_standing(update.state.code());
        to.set_domain(update.domain.as_str());
        to.set_life(update.state_version);
    }
}

fn read_heartbeat(from: journal::beat::Reader<'_>) -> Result<Heartbeat, Error> {
    Ok(Heartbeat {
        state: read_state(from.get_standing())?,
        state_version: from.get_life(),
        version: Version(from.get_version()),
        owners_digest: from.get_owners(),
        members_digest: from.get_members(),
        domain: codec::parse_name(from.get_domain()?)?,
        updates: from.get_news()?.iter().map(read_update).collect::<Result<_, _>>()?,
    })
}

fn read_update(from: journal::news::Reader<'_>) -> Result<StateUpdate, Error> {
    Ok(StateUpdate {
        instance: codec::parse_name(from.get_instance()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        state_version: from.get_life(),
        state: read_state(from.get_standing())?,
        domain: codec::parse_name(from.get_domain()?)?,
    })
}

fn read_state(code: u8) -> Result<MemberState, Error> {
    let reason = format!("standing {code} is unknown");
    MemberState::from_code(code).ok_or(Error::Malformed { reason })
}

fn write_owner(mut to: journal::owner::Builder<'_>, owner: &Owner) {
    to.set_shard_kind(owner.shard.kind.code());
    to.set_shard_number(owner.shard.number);
    to.set_owner(owner.session.instance.as_str());
    to.set_incarnation(owner.session.incarnation.0);
    to.set_epoch(owner.epoch.0);
}

fn read_owner(from: journal::owner::Reader<'_>) -> Result<Owner, Error> {
    Ok(Owner {
        shard: codec::read_shard(from.get_shard_kind(), from.get_shard_number())?,
        session: session::Name {
            instance: codec::parse_name(from.get_owner()?)?,
            incarnation: Incarnation(from.get_incarnation()),
        },
        epoch: Epoch(from.get_epoch()),
    })
}

fn write_owners<'a>(
    to: journal::owners::Builder<'_>,
    owners: impl ExactSizeIterator<Item = &'a Owner>,
) {
    let mut list = to.init_entries(owners.len() as u32);
    for (at, owner) in owners.enumerate() {
        write_owner(list.reborrow().get(at as u32), owner);
    }
}

fn read_owners(from: journal::owners::Reader<'_>) -> Result<Vec<Owner>, Error> {
    from.get_entries()?.iter().map(read_owner).collect()
}

fn write_handovers(mut to: journal::handed::Builder<'_>, handovers: &[Handover]) {
    let mut carries = to.reborrow().init_carries(handovers.len() as u32);
    for (at, handover) in handovers.iter().enumerate() {
        carries.set(at as u32, &handover.handover_state);
    }
    let mut list = to.init_entries(handovers.len() as u32);
    for (at, handover) in handovers.iter().enumerate() {
        write_owner(list.reborrow().get(at as u32), &handover.owner);
    }
}

fn read_handovers(from: journal::handed::Reader<'_>) -> Result<Vec<Handover>, Error> {
    let mut handovers = Vec::new();
    for (owner, handover_state) in from.get_entries()?.iter().zip(from.get_carries()?.iter()) {
        handovers.push(Handover {
            owner: read_owner(owner)?,
            handover_state: Bytes::copy_from_slice(handover_state?),
        });
    }
    Ok(handovers)
}
