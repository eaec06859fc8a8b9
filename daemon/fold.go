package daemon

import (
	"context"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// checkpointTail is how many entries at the end of the checkpoint stream are
// searched for a whole checkpoint.
const checkpointTail = 512

func (o *owner) handleLogRead(msg types.LogRead) {
	if o.logError != nil {
		o.d.log.Info().Msg("log-back")
		o.logError = nil
	}
	o.applyEntries(msg.Entries, "log")
	if o.state.Applied+1 >= msg.Next && msg.Began.After(o.logProof) {
		o.logProof = msg.Began
		o.changed = true
	}
}

func (o *owner) handleLogAway(msg types.LogAway) {
	if o.logError == nil {
		o.d.log.Warn().Err(msg.Err).Msg("log-away")
		o.changed = true
	}
	o.logError = msg.Err
}

// applyEntries folds the entries that come next and passes over those that
// were folded before.
func (o *owner) applyEntries(entries []types.Entry, source string) {
	before := o.state.Applied
	for _, e := range entries {
		if e.Offset <= o.state.Applied {
			continue
		}
		out, err := o.state.Apply(e.Offset, e.Data)
		if err != nil {
			o.seekLog()
			break
		}
		o.remember(e)
		o.report(out, source)
		o.settle(out)
	}
	if o.state.Applied != before {
		o.afterFold()
	}
}

func (o *owner) remember(e types.Entry) {
	o.recent = append(o.recent, e)
	if len(o.recent) > keptRecords {
		o.recent = o.recent[1:]
	}
}

// afterFold brings up to date what is derived from the state.
func (o *owner) afterFold() {
	o.changed, o.replan = true, true
	me, listed := o.state.Daemons[o.d.cfg.ID]
	mine := listed && me.Incarnation == o.d.incarnation
	if o.joined && listed && !mine && !o.superseded {
		o.superseded = true
		o.d.log.Error().Uint64("by", me.Incarnation).Msg("daemon-superseded")
	}
	o.joined = o.joined || mine
	o.markPeers()
	o.retarget()
	o.retargetPeers()
}

func (o *owner) report(out state.Outcome, source string) {
	o.d.stats.applied.Inc()
	log := o.d.log.Info().Uint64("offset", uint64(out.Offset)).Str("source", source)
	if out.Rejection != nil {
		o.d.stats.refused.Inc()
		log.Str("record", string(out.Record)).Str("reason", out.Rejection.Error()).Msg("record-refused")
		return
	}
	for _, e := range out.Events {
		log := o.d.log.Info().Uint64("offset", uint64(out.Offset)).Str("source", source)
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

// seekLog tells the follower where to go on.
func (o *owner) seekLog() { replace(o.d.seek, o.state.Applied+1) }

// handleLogExpired starts to look for a checkpoint to go on from.
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
	at, data, err := d.newestCheckpoint(ctx)
	if err != nil {
		d.log.Warn().Err(err).Msg("checkpoint-unreadable")
	}
	types.Send(ctx, d.inbox, types.CheckpointRead{At: at, State: data})
	return nil
}

func (d *Daemon) newestCheckpoint(ctx context.Context) (models.Offset, []byte, error) {
	entries, err := d.platform.ReadTail(ctx, platform.StreamCheckpoint, checkpointTail)
	if err != nil {
		return 0, nil, err
	}
	records := make([][]byte, 0, len(entries))
	for _, e := range entries {
		records = append(records, e.Data)
	}
	at, data := state.JoinCheckpoint(records)
	return at, data, nil
}

func (o *owner) handleCheckpointRead(msg types.CheckpointRead) {
	o.restoring = false
	o.lastCheckpoint = max(o.lastCheckpoint, msg.At)
	o.replaceState(msg.At, msg.State, "checkpoint")
}

func (o *owner) handlePeerState(msg types.PeerState) {
	s, err := state.Unmarshal(msg.State)
	if err != nil {
		o.d.log.Warn().Err(err).Str("peer", string(msg.From)).Msg("peer-state-bad")
		return
	}
	o.replaceState(s.Applied, msg.State, "peer")
}

// replaceState goes on from a whole state if it is newer.
func (o *owner) replaceState(at models.Offset, data []byte, source string) {
	if at <= o.state.Applied {
		return
	}
	s, err := state.Restore(at, data)
	if err != nil {
		o.d.log.Error().Err(err).Str("source", source).Msg("state-bad")
		return
	}
	o.state = s
	o.recent = nil
	o.d.log.Info().Uint64("offset", uint64(at)).Int("bytes", len(data)).Str("source", source).Msg("state-restored")
	o.seekLog()
	o.afterFold()
}

// writeCheckpoint puts the state onto the log if enough was folded since the
// last checkpoint. Those later in turn wait for more records.
func (o *owner) writeCheckpoint(now time.Time) {
	every := models.Offset(o.d.cfg.CheckpointEvery)
	patience := every + every*models.Offset(o.rank("checkpoint", now))/4
	if o.checkpointing || o.logError != nil || o.state.Applied < o.lastCheckpoint+patience {
		return
	}
	data, err := o.state.Marshal()
	if err != nil {
		o.d.log.Error().Err(err).Msg("checkpoint-failed")
		return
	}
	o.checkpointing = true
	at := o.state.Applied
	task.Start(o.ctx, "checkpoint", func(ctx context.Context) error {
		written, err := o.d.appendCheckpoint(ctx, at, data, every)
		types.Send(ctx, o.d.inbox, types.CheckpointWritten{At: written, Bytes: len(data), Err: err})
		return nil
	})
}

// appendCheckpoint writes the state unless another daemon has written a
// recent one. It returns the offset of the newest checkpoint on the log.
func (d *Daemon) appendCheckpoint(ctx context.Context, at models.Offset, data []byte, every models.Offset) (models.Offset, error) {
	newest, _, err := d.newestCheckpoint(ctx)
	if err != nil || at < newest+every {
		return newest, err
	}
	for _, rec := range state.SplitCheckpoint(at, data, d.cfg.ID, time.Now(), newRecordID) {
		encoded, err := state.Encode(rec)
		if err != nil {
			return newest, err
		}
		if _, err := d.platform.Append(ctx, platform.StreamCheckpoint, encoded); err != nil {
			return newest, err
		}
	}
	d.stats.checkpoints.Inc()
	return at, nil
}

func (o *owner) handleCheckpointWritten(msg types.CheckpointWritten) {
	o.checkpointing = false
	o.lastCheckpoint = max(o.lastCheckpoint, msg.At)
	if msg.Err != nil {
		o.d.log.Warn().Err(msg.Err).Msg("checkpoint-failed")
		return
	}
	o.d.log.Info().Uint64("at", uint64(msg.At)).Int("bytes", msg.Bytes).Msg("checkpoint-written")
}
