package relay

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/pace"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// recordAge is the age from which a flow is recorded. Shorter ones are mostly opened for a single request, whose
	// caller notices a loss by itself.
	recordAge = 2 * time.Second
	// maxRecorded bounds a record: 30,000 flows of 30 bytes stay under a megabyte, with the encoding as text.
	maxRecorded = 20000
	// recallPause is the time between two tries to read the record at the start.
	recallPause = 200 * time.Millisecond
)

// Recorder keeps a record of the upstream's long flows at the platform. After a loss of power nobody remembers them, and
// each caller would lose one more request to learn that its flow is gone. The sidecar reads the record at its start, and
// when the upstream is a later incarnation than the record's, it resets those flows at once.
type Recorder struct {
	common   common.Telemetry
	settings landing.RelaySidecarSettings
	keeper   *ControlThread
	store    *platform.StoreClient
	traffic  *Forwarder
	job      common.ContextStopper
	written  []landing.FlowKey
	// exists says that the platform holds a record of this sidecar.
	exists bool
}

// NewRecorder returns a recorder that is not started.
func NewRecorder(c common.Telemetry, s landing.RelaySidecarSettings, k *ControlThread, store *platform.StoreClient, t *Forwarder) *Recorder {
	return &Recorder{common: c, settings: s, keeper: k, store: store, traffic: t, job: common.NewContextStopper()}
}

// Start starts the recorder.
func (r *Recorder) Start() {
	r.job.Go(r.run)
}

// Stop ends all calls and waits for their end.
func (r *Recorder) Stop() {
	r.job.Stop()
}

func (r *Recorder) run() {
	r.recall()
	for {
		interval, isRecorded := pace.RecordInterval(r.keeper.Snapshot().sidecars)
		if !common.Sleep(r.job.Stopper, interval) {
			return
		}
		if isRecorded {
			r.record()
		}
	}
}

// recall reads the record and resets its flows once the upstream is known to be a later incarnation.
func (r *Recorder) recall() {
	record, isRead := r.read()
	if !isRead {
		return
	}
	if record.FlowsLen() == 0 {
		return
	}
	for r.keeper.Snapshot().presence.Incarnation() == "" {
		if !common.Sleep(r.job.Stopper, recallPause/10) {
			return
		}
	}
	if presence.HasIncarnationEnded(record.UpstreamStartMillis(), bornMillis(r.keeper.Snapshot().presence)) {
		r.traffic.resetRecorded(record)
	}
}

// read reads the record, again and again until the platform answers. It returns false when there is none or the recorder
// stops.
func (r *Recorder) read() (landing.HeldFlowList, bool) {
	for {
		record, err := r.store.ReadHeldFlows(r.job.Context(), r.settings.Instance())
		switch {
		case err == nil:
			r.exists = true
			return record, true
		case trace.IsNotFound(err):
			return landing.HeldFlowList{}, false
		case trace.IsBadParameter(err):
			r.common.Log().Info("record is unreadable", "error", err.Error())
			r.exists = true
			return landing.HeldFlowList{}, false
		}
		r.common.Log().V(1).Info("record cannot be read", "error", err.Error())
		if !common.Sleep(r.job.Stopper, recallPause) {
			return landing.HeldFlowList{}, false
		}
	}
}

// record writes the flows when they are others than at the last time.
func (r *Recorder) record() {
	present := r.keeper.Snapshot().presence
	born := bornMillis(present)
	if born == 0 {
		return
	}
	held := r.traffic.table.held(present, time.Now().Add(-recordAge), maxRecorded)
	keys := make([]landing.FlowKey, 0, len(held))
	for _, h := range held {
		keys = append(keys, h.Key())
	}
	if slices.Equal(keys, r.written) {
		return
	}
	if err := r.write(landing.HeldFlowList{}.WithUpstreamStartMillis(born).WithFlows(held...)); err != nil {
		r.common.Log().V(1).Info("record cannot be written", "error", err.Error())
		return
	}
	r.written = keys
}

// write writes the record. When it turns out that there is one, or none any more, the next write goes the other way.
func (r *Recorder) write(h landing.HeldFlowList) error {
	write := r.store.CreateHeldFlows
	if r.exists {
		write = r.store.ReplaceHeldFlows
	}
	err := write(r.job.Context(), r.settings.Instance(), h)
	if err == nil || trace.IsAlreadyExists(err) || trace.IsNotFound(err) {
		r.exists = !trace.IsNotFound(err)
	}
	return err
}
