//! Messages between agents.

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::id::{DomainName, Epoch, Incarnation, Version};
use sycamorerill_schema::journal;
use sycamorerill_schema::journal::message::Which;

use crate::codec::{self, Error};
use crate::membership::{News, Standing};
use crate::ownership::{Handed, Owner};
use crate::penalties::{Misses, read_misses, write_misses};
use crate::session;

data! {
    /// Heartbeat.
    pub(crate) struct Beat {
        pub(crate) standing: Standing,
        pub(crate) life: u64,
        pub(crate) version: Version,
        pub(crate) owners: u64,
        pub(crate) members: u64,
        pub(crate) domain: DomainName,
        pub(crate) news: Vec<News>,
    }
}

data! {
    /// Content of a message.
    pub(crate) enum Body {
        Beat(Beat),
        Handed(Vec<Handed>),
        Received(Vec<Owner>),
        Owners(Vec<Owner>),
        OwnersWanted,
        Notify(Version),
        ContentWanted(Version),
        Content(Bytes),
        Pending(Misses),
        Lasting(Misses),
        MembersWanted,
        Members(Vec<News>),
    }
}

data! {
    /// Message of an incarnation.
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
            Body::Beat(beat) => write_beat(root.init_beat(), beat),
            Body::Handed(handed) => write_handed(root.init_handed(), handed),
            Body::Received(owners) => write_owners(root.init_received(), owners.iter()),
            Body::Owners(owners) => write_owners(root.init_owners(), owners.iter()),
            Body::OwnersWanted => root.set_owners_wanted(()),
            Body::Notify(version) => root.set_notify(version.0),
            Body::ContentWanted(version) => root.set_content_wanted(version.0),
            Body::Content(bytes) => root.set_content(bytes),
            Body::Pending(misses) => write_misses(root.init_pending(), misses.values()),
            Body::Lasting(misses) => write_misses(root.init_lasting(), misses.values()),
            Body::MembersWanted => root.set_members_wanted(()),
            Body::Members(news) => write_news(root.init_members(news.len() as u32), news),
        }
        codec::seal(&message)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = codec::open(bytes)?;
        let root = message.get_root::<journal::message::Reader<'_>>()?;
        let body = match root.which()? {
            Which::Beat(beat) => Body::Beat(read_beat(beat?)?),
            Which::Handed(handed) => Body::Handed(read_handed(handed?)?),
            Which::Received(owners) => Body::Received(read_owners(owners?)?),
            Which::Owners(owners) => Body::Owners(read_owners(owners?)?),
            Which::OwnersWanted(()) => Body::OwnersWanted,
            Which::Notify(version) => Body::Notify(Version(version)),
            Which::ContentWanted(version) => Body::ContentWanted(Version(version)),
            Which::Content(bytes) => Body::Content(Bytes::copy_from_slice(bytes?)),
            Which::Pending(misses) => Body::Pending(read_misses(misses?)?),
            Which::Lasting(misses) => Body::Lasting(read_misses(misses?)?),
            Which::MembersWanted(()) => Body::MembersWanted,
            Which::Members(news) => {
                Body::Members(news?.iter().map(read_news).collect::<Result<_, _>>()?)
            }
        };
        Ok(Self { incarnation: Incarnation(root.get_incarnation()), body })
    }
}

fn write_beat(mut to: journal::beat::Builder<'_>, beat: &Beat) {
    to.set_standing(beat.standing.code());
    to.set_life(beat.life);
    to.set_version(beat.version.0);
    to.set_owners(beat.owners);
    to.set_members(beat.members);
    to.set_domain(beat.domain.as_str());
    write_news(to.init_news(beat.news.len() as u32), &beat.news);
}

fn write_news(mut list: capnp::struct_list::Builder<'_, journal::news::Owned>, all: &[News]) {
    for (at, news) in all.iter().enumerate() {
        let mut to = list.reborrow().get(at as u32);
        to.set_instance(news.instance.as_str());
        to.set_incarnation(news.incarnation.0);
        to.set_standing(news.standing.code());
        to.set_domain(news.domain.as_str());
        to.set_life(news.life);
    }
}

fn read_beat(from: journal::beat::Reader<'_>) -> Result<Beat, Error> {
    Ok(Beat {
        standing: read_standing(from.get_standing())?,
        life: from.get_life(),
        version: Version(from.get_version()),
        owners: from.get_owners(),
        members: from.get_members(),
        domain: codec::name(from.get_domain()?)?,
        news: from.get_news()?.iter().map(read_news).collect::<Result<_, _>>()?,
    })
}

fn read_news(from: journal::news::Reader<'_>) -> Result<News, Error> {
    Ok(News {
        instance: codec::name(from.get_instance()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        life: from.get_life(),
        standing: read_standing(from.get_standing())?,
        domain: codec::name(from.get_domain()?)?,
    })
}

fn read_standing(code: u8) -> Result<Standing, Error> {
    let reason = format!("standing {code} is unknown");
    Standing::from_code(code).ok_or(Error::Malformed { reason })
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
            instance: codec::name(from.get_owner()?)?,
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

fn write_handed(mut to: journal::handed::Builder<'_>, handed: &[Handed]) {
    let mut carries = to.reborrow().init_carries(handed.len() as u32);
    for (at, one) in handed.iter().enumerate() {
        carries.set(at as u32, &one.carry);
    }
    let mut list = to.init_entries(handed.len() as u32);
    for (at, one) in handed.iter().enumerate() {
        write_owner(list.reborrow().get(at as u32), &one.owner);
    }
}

fn read_handed(from: journal::handed::Reader<'_>) -> Result<Vec<Handed>, Error> {
    let mut handed = Vec::new();
    for (owner, carry) in from.get_entries()?.iter().zip(from.get_carries()?.iter()) {
        handed.push(Handed { owner: read_owner(owner)?, carry: Bytes::copy_from_slice(carry?) });
    }
    Ok(handed)
}
