// Package admission decides how many requests run at once at one upstream. The limit begins at one
// in a cold start and grows with the answers; it falls at once when the upstream sheds or becomes
// slow, since an upstream can fall back into cold start without a word, and its health
// and load endpoints lag. It knows nothing of sockets, time or encodings.
package admission

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// thousandths is the scale of Allowance.Limit.
	thousandths = 1000
	// growth is the number of answers at full limit after which the limit has grown by one.
	growth = 4
	// slowFactor is how many times the usual latency an answer takes that counts as a sign of overload.
	slowFactor = 4
	// slowFloor is the latency below which no answer counts as slow.
	slowFloor = 20 * time.Millisecond
	// averageShare is the share, as one part in this many, of a new latency in the moving average.
	averageShare = 8
)

// New returns the allowance for an upstream with this number of slots. It begins cold,
// since nothing is known of the upstream.
func New(slots uint32) landing.Allowance {
	return landing.Allowance{}.
		WithSlots(max(slots, 1)).
		WithLimit(thousandths).
		WithCold(true)
}

// Handle returns the allowance after the observation, and whether a request that asked may run.
func Handle(a landing.Allowance, o landing.Observation) (landing.Allowance, bool) {
	switch o := o.(type) {
	case landing.Started:
		return restart(a), false
	case landing.Asked:
		return ask(a)
	case landing.Finished:
		return finish(a, o.Latency()), false
	case landing.Overloaded:
		return lower(end(a)), false
	case landing.Failed:
		return lower(end(a)), false
	case landing.Leaving:
		return a.WithDraining(true), false
	case landing.Withdrawn:
		return end(a), false
	}
	return a, false
}

// Room returns the number of further requests that may run now.
func Room(a landing.Allowance) uint32 {
	if a.Draining() {
		return 0
	}
	limit := uint32(a.Limit() / thousandths)
	return limit - min(a.Running(), limit)
}

func restart(a landing.Allowance) landing.Allowance {
	return a.
		WithLimit(thousandths).
		WithCold(true).
		WithDraining(false).
		WithGood(0)
}

func ask(a landing.Allowance) (landing.Allowance, bool) {
	if Room(a) == 0 {
		return a, false
	}
	return a.WithRunning(a.Running() + 1), true
}

func finish(a landing.Allowance, latency time.Duration) landing.Allowance {
	if isSlow(a, latency) {
		return lower(end(a))
	}
	a = average(a, latency)
	return end(grow(a))
}

func end(a landing.Allowance) landing.Allowance {
	return a.WithRunning(a.Running() - min(a.Running(), 1))
}

func isSlow(a landing.Allowance, latency time.Duration) bool {
	return a.Usual() > 0 && latency > slowFloor && latency > slowFactor*a.Usual()
}

func average(a landing.Allowance, latency time.Duration) landing.Allowance {
	if a.Usual() == 0 {
		return a.WithUsual(latency)
	}
	return a.WithUsual(a.Usual() + (latency-a.Usual())/averageShare)
}

// grow raises the limit only when it was used in full, so that idle time earns nothing.
func grow(a landing.Allowance) landing.Allowance {
	full := uint64(a.Slots()) * thousandths
	if uint64(a.Running())*thousandths+thousandths <= a.Limit() {
		return a
	}
	limit := min(a.Limit()+thousandths/growth, full)
	return a.
		WithLimit(limit).
		WithGood(a.Good() + 1).
		WithCold(a.Cold() && limit < full)
}

func lower(a landing.Allowance) landing.Allowance {
	return a.
		WithLimit(max(a.Limit()/2, thousandths)).
		WithCold(true).
		WithGood(0).
		WithLowered(a.Lowered() + 1)
}
