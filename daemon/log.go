package daemon

import (
	"context"
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// maxCheckpointTail is how many entries at the end of the checkpoint stream are searched for a
// complete checkpoint.
const maxCheckpointTail = 512

func (o *owner) handleLogRead(msg types.LogRead) {
	if o.logError != nil {
		o.d.log.Info().Msg("log-back")
		o.logError = nil
	}
	o.applyEntries(msg.Entries, "log")
	if o.state.Applied+1 >= msg.Next && msg.StartedAt.After(o.logCurrentAt) {
		o.logCurrentAt = msg.StartedAt
		o.needsPublish = true
	}
}

func (o *owner) handleLogUnavailable(msg types.LogUnavailable) {
	if o.logError == nil {
		o.d.log.Warn().Err(msg.Err).Msg("log-away")
		o.needsPublish = true
	}
	o.logError = msg.Err
}

// applyEntries applies the next entries and skips those applied before.
func (o *owner) applyEntries(entries []types.Entry, source string) {
	before := o.state.Applied
	for _, entry := range entries {
		if entry.Offset <= o.state.Applied {
			continue
		}
		outcome, err := o.state.Apply(entry.Offset, entry.Data)
		if err != nil {
			o.seekLog()
			break
		}
		o.keepRecent(entry)
		o.logOutcome(outcome, source)
		o.resolveProposal(outcome)
	}
	if o.state.Applied != before {
		o.afterApply()
	}
}

func (o *owner) keepRecent(e types.Entry) {
	o.recentRecords = append(o.recentRecords, e)
	if len(o.recentRecords) > maxRecentRecords {
		o.recentRecords = o.recentRecords[1:]
	}
}

// afterApply updates what is derived from the state.
func (o *owner) afterApply() {
	o.needsPublish, o.needsPlan = true, true
	self, listed := o.state.Daemons[o.d.cfg.ID]
	selfListed := listed && self.Incarnation == o.d.incarnation
	if o.joined && listed && !selfListed && !o.superseded {
		o.superseded = true
		o.d.log.Error().Uint64("by", self.Incarnation).Msg("daemon-superseded")
	}
	o.joined = o.joined || selfListed
	o.refreshPeers()
	o.noteRetiring(time.Now())
	o.updateProbeTargets()
	o.updatePeerTargets()
}

// noteRetiring records when groups were found to be retiring.
func (o *owner) noteRetiring(now time.Time) {
	maps.DeleteFunc(o.retiringSince, func(id models.GroupID, _ time.Time) bool { return o.state.Groups[id].Retiring == 0 })
	for id, g := range o.state.Groups {
		if _, known := o.retiringSince[id]; g.Retiring != 0 && !known {
			o.retiringSince[id] = now
		}
	}
}

func (o *owner) logOutcome(outcome state.Outcome, source string) {
	o.d.stats.applied.Inc()
	log := o.d.log.Info().Uint64("offset", uint64(outcome.Offset)).Str("source", source)
	if outcome.Rejection != nil {
		o.d.stats.rejected.Inc()
		log.Str("record", string(outcome.Record)).Str("reason", outcome.Rejection.Error()).Msg("record-refused")
		return
	}
	for _, e := range outcome.Events {
		log := o.d.log.Info().Uint64("offset", uint64(outcome.Offset)).Str("source", source)
		switch e := e.(type) {
		case state.ConfigChanged:
			log.Str("operator", string(e.Operator)).Msg("config-changed")
		case state.GroupFormed:
			log.Str("group", string(e.Group.ID)).Str("model", string(e.Group.Model)).Str("domain", string(e.Group.Domain)).
				Int("members", len(e.Group.Members)).Str("reason", e.Reason).Msg("group-formed")
		case state.GroupRetired:
			log.Str("group", string(e.Group.ID)).Str("reason", e.Reason).Msg("group-retired")
		case state.GroupEnded:
			log.Str("group", string(e.Group.ID)).Str("reason", e.Reason).Msg("group-ended")
		case state.DaemonJoined:
			log.Str("peer", string(e.Daemon.ID)).Msg("daemon-joined")
		case state.DaemonLeft:
			log.Str("peer", string(e.Daemon.ID)).Str("reason", e.Reason).Msg("daemon-left")
		}
	}
}

// seekLog sets the offset at which the follower continues.
func (o *owner) seekLog() { sendLatest(o.d.seeks, o.state.Applied+1) }

// handleLogExpired reads the newest checkpoint if records that this daemon lacks have expired
// from the log.
func (o *owner) handleLogExpired(msg types.LogExpired) {
	o.d.log.Info().Uint64("first", uint64(msg.First)).Uint64("applied", uint64(o.state.Applied)).Msg("log-expired")
	if o.state.Applied+1 >= msg.First {
		o.seekLog()
		return
	}
	if o.restoring {
		return
	}
	o.restoring = true
	task.Start(o.ctx, "restore", o.d.readCheckpoint)
}

func (d *Daemon) readCheckpoint(ctx context.Context) error {
	offset, data, err := d.newestCheckpoint(ctx)
	if err != nil {
		d.log.Warn().Err(err).Msg("checkpoint-unreadable")
	}
	types.Send(ctx, d.inbox, types.CheckpointRead{Offset: offset, Snapshot: data})
	return nil
}

func (d *Daemon) newestCheckpoint(ctx context.Context) (models.Offset, []byte, error) {
	entries, err := d.platform.ReadTail(ctx, platform.StreamCheckpoint, maxCheckpointTail)
	if err != nil {
		return 0, nil, err
	}
	records := make([][]byte, 0, len(entries))
	for _, e := range entries {
		records = append(records, e.Data)
	}
	offset, data := state.JoinCheckpoint(records)
	return offset, data, nil
}

func (o *owner) handleCheckpointRead(msg types.CheckpointRead) {
	o.restoring = false
	o.lastCheckpoint = max(o.lastCheckpoint, msg.Offset)
	o.replaceState(msg.Offset, msg.Snapshot, "checkpoint")
}

func (o *owner) handlePeerSnapshot(msg types.PeerSnapshot) {
	s, err := state.Unmarshal(msg.Snapshot)
	if err != nil {
		o.d.log.Warn().Err(err).Str("peer", string(msg.From)).Msg("peer-state-bad")
		return
	}
	o.replaceState(s.Applied, msg.Snapshot, "peer")
}

// replaceState replaces the state by the snapshot if the snapshot is newer.
func (o *owner) replaceState(offset models.Offset, data []byte, source string) {
	if offset <= o.state.Applied {
		return
	}
	restored, err := state.Restore(offset, data)
	if err != nil {
		o.d.log.Error().Err(err).Str("source", source).Msg("state-bad")
		return
	}
	o.state = restored
	o.recentRecords = nil
	o.d.log.Info().Uint64("offset", uint64(offset)).Int("bytes", len(data)).Str("source", source).Msg("state-restored")
	o.seekLog()
	o.afterApply()
}

// writeCheckpoint writes a checkpoint to the log if enough records have been applied since the
// last one. A daemon of higher rank waits for more records.
func (o *owner) writeCheckpoint(now time.Time) {
	interval := models.Offset(o.d.cfg.CheckpointEvery)
	threshold := interval + interval*models.Offset(o.rank("checkpoint", now))/4
	if o.checkpointing || o.logError != nil || o.state.Applied < o.lastCheckpoint+threshold {
		return
	}
	data, err := o.state.Marshal()
	if err != nil {
		o.d.log.Error().Err(err).Msg("checkpoint-failed")
		return
	}
	o.checkpointing = true
	offset := o.state.Applied
	task.Start(o.ctx, "checkpoint", func(ctx context.Context) error {
		written, err := o.d.appendCheckpoint(ctx, offset, data, interval)
		types.Send(ctx, o.d.inbox, types.CheckpointWritten{Offset: written, Bytes: len(data), Err: err})
		return nil
	})
}

// appendCheckpoint writes a checkpoint unless another daemon has written a recent one. It returns
// the offset of the newest checkpoint on the log.
func (d *Daemon) appendCheckpoint(ctx context.Context, offset models.Offset, data []byte, interval models.Offset) (models.Offset, error) {
	newest, _, err := d.newestCheckpoint(ctx)
	if err != nil || offset < newest+interval {
		return newest, err
	}
	for _, rec := range state.SplitCheckpoint(offset, data, d.cfg.ID, time.Now(), newRecordID) {
		encoded, err := state.Encode(rec)
		if err != nil {
			return newest, err
		}
		if _, err := d.platform.Append(ctx, platform.StreamCheckpoint, encoded); err != nil {
			return newest, err
		}
	}
	d.stats.checkpoints.Inc()
	return offset, nil
}

func (o *owner) handleCheckpointWritten(msg types.CheckpointWritten) {
	o.checkpointing = false
	o.lastCheckpoint = max(o.lastCheckpoint, msg.Offset)
	if msg.Err != nil {
		o.d.log.Warn().Err(msg.Err).Msg("checkpoint-failed")
		return
	}
	o.d.log.Info().Uint64("at", uint64(msg.Offset)).Int("bytes", msg.Bytes).Msg("checkpoint-written")
}
