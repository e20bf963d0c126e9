package relay

import (
	"sync/atomic"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
)

const changeBuffer = 256

// Keeper is the control thread of a balancer on the relay path. It owns all control state: it takes changes in
// order and publishes an immutable snapshot.
type Keeper struct {
	common   common.Common
	thread   *common.Thread
	snapshot atomic.Pointer[Snapshot]
	behind   chan struct{}
	joined   chan struct{}
	reborn   func(hop, born uint64)
}

// NewKeeper returns a keeper that knows nothing. Start must be called. Reborn is called when the upstream of the sidecar
// at this address is another incarnation than before.
func NewKeeper(c common.Common, reborn func(hop, born uint64)) *Keeper {
	k := &Keeper{
		common: c,
		thread: common.NewThread(changeBuffer),
		behind: make(chan struct{}, 1),
		joined: make(chan struct{}, 1),
		reborn: reborn,
	}
	s := NewSnapshot()
	k.snapshot.Store(&s)
	return k
}

// Start starts the control thread.
func (k *Keeper) Start() {
	k.thread.Start()
}

// Stop stops the control thread and waits for its end.
func (k *Keeper) Stop() {
	k.thread.Stop()
}

// Snapshot returns the newest snapshot.
func (k *Keeper) Snapshot() Snapshot {
	return *k.snapshot.Load()
}

// Behind returns a channel that receives when another process has newer rules or exclusions.
func (k *Keeper) Behind() <-chan struct{} {
	return k.behind
}

// Joined returns a channel that receives when the roll has changed, so that new sidecars are greeted at once.
func (k *Keeper) Joined() <-chan struct{} {
	return k.joined
}

// Post hands a change to the control thread. It waits while the thread is behind.
func (k *Keeper) Post(c landing.Change) {
	k.Update(func(s Snapshot) Snapshot { return k.handle(s, c) })
}

// Update hands a step that makes a new snapshot to the control thread.
func (k *Keeper) Update(step func(Snapshot) Snapshot) {
	k.thread.Post(func() {
		s := step(k.Snapshot())
		k.snapshot.Store(&s)
	})
}

func (k *Keeper) handle(s Snapshot, c landing.Change) Snapshot {
	switch c := c.(type) {
	case landing.RulesChange:
		return k.adopt(s, c.Rules())
	case landing.ExclusionsChange:
		return k.exclude(s, c.Exclusions())
	case landing.RollChange:
		return k.enroll(s, c.Roll())
	case landing.StatusChange:
		for _, a := range c.Arrivals() {
			k.compare(s, a.Status().Rules(), a.Status().Exclusions())
			k.notice(s, a)
		}
		return s.WithDirectory(s.directory.WithStatuses(c.Arrivals()...))
	case landing.RevisionChange:
		k.compare(s, c.Rules(), c.Exclusions())
	case landing.VouchChange:
		return s.WithDirectory(s.directory.WithVouch(c.Subject(), c.Proxy(), c.Now()))
	case landing.InquiryChange:
		return s.WithDirectory(s.directory.WithInquiries(c.Subjects()))
	case landing.SightChange, landing.GreetingChange, landing.TimeChange:
	}
	return s
}

// adopt takes newer rules; older ones are refused, so that an accepted change never reverts.
func (k *Keeper) adopt(s Snapshot, r landing.Rules) Snapshot {
	if !rules.IsNewer(r, s.rules.Rules()) {
		return s
	}
	k.common.Log().Info("rules in force", "version", r.Version(), "revision", r.Revision(), "listeners", r.ListenersLen())
	return s.WithRules(r)
}

func (k *Keeper) exclude(s Snapshot, e landing.Exclusions) Snapshot {
	if e.Revision() <= s.exclusions.Revision() {
		return s
	}
	if e.Changed() != s.exclusions.Changed() {
		k.common.Log().Info("exclusions in force", "changed", e.Changed(), "zones", e.Zones())
	}
	return s.WithExclusions(e)
}

func (k *Keeper) enroll(s Snapshot, r landing.Roll) Snapshot {
	if r.Revision() <= s.directory.Roll().Revision() {
		return s
	}
	if !directory.SameSidecars(r, s.directory.Roll()) {
		k.common.Log().Info("sidecars enrolled", "revision", r.Revision(), "sidecars", r.EnrollmentsLen())
		notify(k.joined)
	}
	return s.WithDirectory(s.directory.WithRoll(r, time.Now()))
}

// notice tells traffic of a new incarnation of an upstream.
func (k *Keeper) notice(s Snapshot, a landing.Arrival) {
	before, found := s.directory.Find(a.Source())
	born := a.Status().Born()
	if found && born > 0 && born != before.Status().Born() {
		k.reborn(a.Source(), born)
	}
}

func (k *Keeper) compare(s Snapshot, rulesRevision, exclusionsChanged uint64) {
	if rulesRevision > s.rules.Rules().Revision() || exclusionsChanged > s.exclusions.Revision() {
		notify(k.behind)
	}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
