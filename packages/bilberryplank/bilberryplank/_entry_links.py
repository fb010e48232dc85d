"""The entry's side of its links: frames go to the requests that wait for them."""

from __future__ import annotations

from loguru import logger

from bilberryplank._attempt_channel import AttemptChannel, Frame, LinkLost
from bilberryplank._clocks import loop_time
from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._link import Link
from bilberryplank._logs import log_event
from bilberryplank._metrics import FrameDropCause, ProcessMetrics
from bilberryplank_core.errors import BilberryplankError, FrameInvalid
from bilberryplank_core.fleet import Membership
from bilberryplank_core.messages import (
    AttemptId,
    Body,
    ConfigurationDocument,
    End,
    Failed,
    FetchConfiguration,
    Goodbye,
    Head,
    Heartbeat,
    Load,
    LoadReport,
    Message,
    NotRun,
    UsageStored,
)
from bilberryplank_core.routing import UpstreamChooser


class EntryLinks:
    """Handles the events of an entry's links."""

    def __init__(
        self,
        chooser: UpstreamChooser,
        membership: Membership,
        feed: ConfigurationFeed,
        metrics: ProcessMetrics,
    ) -> None:
        self._chooser = chooser
        self._membership = membership
        self._feed = feed
        self._metrics = metrics
        self._channels: dict[AttemptId, AttemptChannel] = {}
        self._open = 0

    def open_channel(self, attempt: AttemptId, link: Link) -> AttemptChannel:
        """Returns a channel that gets the frames of an attempt from now on."""
        channel = AttemptChannel(attempt, link)
        self._channels[attempt] = channel
        return channel

    def close_channel(self, channel: AttemptChannel) -> None:
        """Has later frames of the attempt dropped."""
        if self._channels.get(channel.attempt) is channel:
            del self._channels[channel.attempt]

    def link_ready(self, link: Link) -> None:
        """Counts the link and shows the configuration in force."""
        assert link.peer is not None
        self._count_links(1)
        self._membership.record_handshake(link.peer.upstream, link.peer.epoch, loop_time())
        shown = self._feed.shown()
        link.send(Heartbeat(shown.version, shown.confirmed_age))

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """Tells every request that waits on the link."""
        assert link.peer is not None
        self._count_links(-1)
        self._chooser.record_link_lost(link.peer.upstream, loop_time())
        self._membership.record_link_lost(link.peer.upstream, link.peer.epoch)
        log_event(logger, "link_lost", upstream=link.peer.upstream, cause=exc)
        for channel in list(self._channels.values()):
            if channel.link is link:
                channel.put(LinkLost(exc))

    def link_message(self, link: Link, message: Message) -> None:
        """Handles a message of a sidecar."""
        match message:
            case Body():
                self._route(link, message)
            case Head(load=load) | End(load=load) | NotRun(load=load) | Failed(load=load):
                self._note_load(link, load)
                self._route(link, message)
            case LoadReport(load):
                self._note_load(link, load)
            case FetchConfiguration():
                self._feed.peer_fetched(link, message)
            case ConfigurationDocument():
                self._feed.peer_sent(link, message)
            case UsageStored() | Goodbye():
                return
            case _:
                self._metrics.frame_dropped(FrameDropCause.FOREIGN)
                link.close(FrameInvalid(f"unexpected {type(message).__name__}"))

    def _route(self, link: Link, frame: Frame) -> None:
        channel = self._channels.get(frame.attempt)
        if channel is None:
            self._metrics.frame_dropped(FrameDropCause.LATE)
        elif channel.link is not link:
            self._metrics.frame_dropped(FrameDropCause.FOREIGN)
        else:
            channel.put(frame)

    def _note_load(self, link: Link, load: Load) -> None:
        assert link.peer is not None
        upstream, epoch = link.peer.upstream, link.peer.epoch
        self._chooser.record_load(upstream, load, loop_time())
        self._membership.record_load_report(upstream, epoch, load.leaving, loop_time())
        self._feed.peer_showed(link, load.version, load.confirmed_age)

    def _count_links(self, change: int) -> None:
        self._open += change
        self._metrics.set_links(self._open)
