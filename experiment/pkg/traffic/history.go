package traffic

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is the output of one recorded call: either the result of a confirmation or, when isRunCount is set, the
// number of times that the upstreams ran the confirmation.
type operation struct {
	id         string
	result     Result
	isRunCount bool
	runCount   int
}

// History records the calls of concurrent callers for a linearizability check. It is safe for concurrent use.
type History struct {
	mu         sync.Mutex
	startedAt  time.Time
	operations []porcupine.Operation
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{startedAt: time.Now()}
}

// ElapsedNanos returns the time since the creation of the history, in nanoseconds. Its value before a call is passed to
// AddConfirmation or AddRunCount after the call.
func (h *History) ElapsedNanos() int64 {
	return int64(time.Since(h.startedAt))
}

// AddConfirmation records the result that a caller got for the confirmation id, whose call began at startNanos.
func (h *History) AddConfirmation(caller int, startNanos int64, id string, r Result) {
	h.add(caller, startNanos, operation{id: id, result: r})
}

// AddRunCount records that a caller found the confirmation id to have run runCount times, in a read begun at startNanos.
func (h *History) AddRunCount(caller int, startNanos int64, id string, runCount int) {
	h.add(caller, startNanos, operation{id: id, isRunCount: true, runCount: runCount})
}

func (h *History) add(caller int, startNanos int64, o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: caller, Input: o.id, Call: startNanos, Output: o, Return: h.ElapsedNanos()})
}

// Count returns the number of recorded confirmations with the result r.
func (h *History) Count(r Result) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, recorded := range h.operations {
		o := recorded.Output.(operation)
		if !o.isRunCount && o.result == r {
			count++
		}
	}
	return count
}

// IsAtMostOnce reports whether the recorded results and run counts agree with each confirmation having run at most
// once: exactly once if it was confirmed, and not at all if it was refused (ResultNotRun). It returns false if a
// confirmation got a response that does not belong to it (ResultMismatched).
func (h *History) IsAtMostOnce() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperations(newModel(), h.operations)
}

// newModel returns the porcupine model of one confirmation. Its state is the number of times that the confirmation ran.
func newModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionByID,
		Init:      func() []any { return []any{0} },
		Step: func(state, _, output any) []any {
			return step(state.(int), output.(operation))
		},
	}
	return model.ToModel()
}

// step returns the run counts that are possible after the operation o when the confirmation had run runCount times
// before it. The result is empty when o contradicts runCount.
func step(runCount int, o operation) []any {
	if o.isRunCount {
		if o.runCount == runCount {
			return []any{runCount}
		}
		return nil
	}
	switch o.result {
	case ResultConfirmed:
		if runCount == 0 {
			return []any{1}
		}
	case ResultNotRun:
		return []any{runCount}
	case ResultUnknown:
		if runCount == 0 {
			return []any{0, 1}
		}
	case ResultMismatched:
	}
	return nil
}

// partitionByID splits the history by confirmation, since confirmations are independent of each other.
func partitionByID(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[any][]porcupine.Operation{}
	for _, o := range history {
		parts[o.Input] = append(parts[o.Input], o)
	}
	var list [][]porcupine.Operation
	for _, p := range parts {
		list = append(list, p)
	}
	return list
}
