package relay

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/pace"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// minRecordedAge is the age from which a flow is recorded. Flows that end earlier are mostly opened for
	// a single request, whose caller notices the loss by itself.
	minRecordedAge = 2 * time.Second
	// maxRecordedFlows limits the size of a record: 20,000 flows of at most 30 bytes stay under a megabyte,
	// also in base64.
	maxRecordedFlows = 20000
	// readRetryPause is the pause between two attempts to read the record at the start.
	readRetryPause = 200 * time.Millisecond
)

// Recorder keeps a record of the upstream's long-lived flows in the platform. After a power loss no process
// holds state of these flows, and each caller would lose another request before it notices that its flow is
// lost. Therefore the sidecar reads the record when it starts. If the upstream's process started later than
// the process that held the recorded flows, the sidecar resets these flows at once.
type Recorder struct {
	telemetry     common.Telemetry
	settings      landing.RelaySidecarSettings
	controlThread *ControlThread
	store         *platform.StoreClient
	forwarder     *Forwarder
	stopper       common.ContextStopper
	// recorded holds the flows in the last record that was written, and recordedStart the start time of the
	// upstream's process in it.
	recorded      map[landing.FlowKey]bool
	recordedStart uint64
	// recordedEra is the era of the platform in which the record was written. In a later one it may be lost.
	recordedEra uint64
	// hasRecord reports whether the platform holds a record of this sidecar.
	hasRecord bool
}

// NewRecorder returns a recorder. Start must be called.
func NewRecorder(c common.Telemetry, s landing.RelaySidecarSettings, controlThread *ControlThread, store *platform.StoreClient, forwarder *Forwarder) *Recorder {
	return &Recorder{telemetry: c, settings: s, controlThread: controlThread, store: store, forwarder: forwarder, stopper: common.NewContextStopper()}
}

// Start starts the recorder.
func (r *Recorder) Start() {
	r.stopper.Go(r.run)
}

// Stop ends all calls to the platform and waits for the recorder's goroutine.
func (r *Recorder) Stop() {
	r.stopper.Stop()
}

func (r *Recorder) run() {
	r.resetRecordedFlows()
	for {
		interval, isEnabled := pace.RecordInterval(r.controlThread.Snapshot().sidecarCount, r.settings.Writes())
		if !common.Sleep(r.stopper.Stopper, interval) {
			return
		}
		if isEnabled {
			r.recordFlows()
		}
	}
}

// resetRecordedFlows reads the record and waits for a heartbeat of the upstream. If the heartbeat shows that
// the upstream's process started later than the process that held the recorded flows, it resets them.
func (r *Recorder) resetRecordedFlows() {
	record, isRead := r.readRecord()
	if !isRead {
		return
	}
	if record.FlowsLen() == 0 {
		return
	}
	for r.controlThread.Snapshot().upstream.Incarnation() == "" {
		if !common.Sleep(r.stopper.Stopper, readRetryPause/10) {
			return
		}
	}
	if presence.HasIncarnationEnded(record.UpstreamStartMillis(), upstreamStartMillis(r.controlThread.Snapshot().upstream)) {
		r.forwarder.resetRecordedFlows(record)
	}
}

// readRecord reads the record, and repeats this until the platform answers. It returns false when there is
// no readable record or the recorder stops.
func (r *Recorder) readRecord() (landing.HeldFlowList, bool) {
	for {
		record, err := r.store.ReadHeldFlows(r.stopper.Context(), r.settings.Instance())
		switch {
		case err == nil:
			r.hasRecord = true
			return record, true
		case trace.IsNotFound(err):
			return landing.HeldFlowList{}, false
		case trace.IsBadParameter(err):
			r.telemetry.Log().Info("record is unreadable", "error", err.Error())
			r.hasRecord = true
			return landing.HeldFlowList{}, false
		}
		r.telemetry.Log().V(1).Info("record cannot be read", "error", err.Error())
		if !common.Sleep(r.stopper.Stopper, readRetryPause) {
			return landing.HeldFlowList{}, false
		}
	}
}

// recordFlows writes a record if a flow is missing in the last one. A flow that has ended meanwhile is no reason
// for a write: nobody waits for the reset that it would get.
func (r *Recorder) recordFlows() {
	upstream := r.controlThread.Snapshot().upstream
	startMillis := upstreamStartMillis(upstream)
	if startMillis == 0 {
		return
	}
	held := r.forwarder.table.heldFlows(upstream, clock.Now().Add(-minRecordedAge), maxRecordedFlows)
	era := r.controlThread.Snapshot().confirmation.Era()
	if !r.hasUnrecorded(held, startMillis, era) {
		return
	}
	if err := r.writeRecord(landing.HeldFlowList{}.WithUpstreamStartMillis(startMillis).WithFlows(held...)); err != nil {
		r.telemetry.Log().V(1).Info("record cannot be written", "error", err.Error())
		return
	}
	r.recorded, r.recordedStart, r.recordedEra = map[landing.FlowKey]bool{}, startMillis, era
	for _, h := range held {
		r.recorded[h.Key()] = true
	}
}

// hasUnrecorded reports whether one of the flows is not in the last record of the upstream's process that was written in this
// era of the platform.
func (r *Recorder) hasUnrecorded(held []landing.HeldFlow, startMillis, era uint64) bool {
	if startMillis != r.recordedStart || era != r.recordedEra {
		return len(held) > 0
	}
	return slices.ContainsFunc(held, func(h landing.HeldFlow) bool { return !r.recorded[h.Key()] })
}

// writeRecord creates or replaces the record. When the creation fails because there already is a record, the
// next call replaces it. When the replacement fails because there is none, since the platform has lost it, writeRecord
// creates it.
func (r *Recorder) writeRecord(record landing.HeldFlowList) error {
	var err error
	if r.hasRecord {
		err = r.store.ReplaceHeldFlows(r.stopper.Context(), r.settings.Instance(), record)
		r.hasRecord = !trace.IsNotFound(err)
	}
	if !r.hasRecord {
		err = r.store.CreateHeldFlows(r.stopper.Context(), r.settings.Instance(), record)
		r.hasRecord = err == nil || trace.IsAlreadyExists(err)
	}
	return err
}
