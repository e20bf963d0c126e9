package traffic

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Call is one confirmation as its caller saw it. Ran is set in place of a result when the
// operation reads from the upstreams how often the confirmation ran.
type Call struct {
	id     string
	result Result
	isRead bool
	ran    int
}

// History records the calls of concurrent callers.
type History struct {
	mu    sync.Mutex
	start time.Time
	calls []porcupine.Operation
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{start: time.Now()}
}

// Begin returns the time at which a call begins.
func (h *History) Begin() int64 {
	return int64(time.Since(h.start))
}

// AddConfirm records what client learned of the confirmation with this identifier.
func (h *History) AddConfirm(client int, begin int64, id string, r Result) {
	h.add(client, begin, Call{id: id, result: r})
}

// AddRead records that the upstreams ran the confirmation so often.
func (h *History) AddRead(client int, begin int64, id string, ran int) {
	h.add(client, begin, Call{id: id, isRead: true, ran: ran})
}

func (h *History) add(client int, begin int64, c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, porcupine.Operation{ClientId: client, Input: c.id, Call: begin, Output: c, Return: h.Begin()})
}

// Count returns the number of confirmations with this result.
func (h *History) Count(r Result) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, o := range h.calls {
		c := o.Output.(Call)
		if !c.isRead && c.result == r {
			count++
		}
	}
	return count
}

// IsAtMostOnce says whether the history is one in which each confirmation runs at most once, every
// answer belongs to its own confirmation, and every refusal as not run is true.
func (h *History) IsAtMostOnce() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperations(newModel(), h.calls)
}

// newModel returns the model in which the state is how often a confirmation ran.
func newModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionByID,
		Init:      func() []any { return []any{0} },
		Step: func(state, _, output any) []any {
			return next(state.(int), output.(Call))
		},
	}
	return model.ToModel()
}

func next(ran int, c Call) []any {
	if c.isRead {
		if c.ran == ran {
			return []any{ran}
		}
		return nil
	}
	switch c.result {
	case ResultRun:
		if ran == 0 {
			return []any{1}
		}
	case ResultNotRun:
		return []any{ran}
	case ResultUnknown:
		if ran == 0 {
			return []any{0, 1}
		}
	case ResultCrossed:
	}
	return nil
}

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
