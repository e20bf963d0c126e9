package platform

import (
	"bytes"
	"sync"
)

// objects holds all objects in memory.
type objects struct {
	mu      sync.Mutex
	values  map[string]stored
	last    uint64
	changed chan struct{}
}

type stored struct {
	version uint64
	value   []byte
}

func newObjects() *objects {
	return &objects{values: map[string]stored{}, changed: make(chan struct{})}
}

// get returns the object, and a channel that is closed at the next change of any object.
func (o *objects) get(name string) (stored, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.values[name], o.changed
}

// put writes the object when it has this version, 0 meaning that there is none.
func (o *objects) put(name string, version uint64, value []byte) (stored, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.values[name].version != version {
		return stored{}, false
	}
	o.last++
	s := stored{version: o.last, value: bytes.Clone(value)}
	o.values[name] = s
	o.notify()
	return s, true
}

// wake lets all waiting watches look again.
func (o *objects) wake() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notify()
}

func (o *objects) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}
