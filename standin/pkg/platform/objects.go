package platform

import (
	"bytes"
	"sync"
)

// objects holds all objects by name in memory. Its methods may be called from several goroutines.
type objects struct {
	// mu guards all fields.
	mu     sync.Mutex
	values map[string]storedObject
	// lastVersion is the version of the last write of any object.
	lastVersion uint64
	// changed is closed and replaced at each change and by wakeWaiters.
	changed chan struct{}
}

// storedObject is an object with the version of its last write; the version is 0 if the object does not exist.
type storedObject struct {
	version uint64
	value   []byte
}

func newObjects() *objects {
	return &objects{values: map[string]storedObject{}, changed: make(chan struct{})}
}

// get returns the object with this name, and a channel that is closed at the next change of any object or by wakeWaiters.
func (o *objects) get(name string) (storedObject, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.values[name], o.changed
}

// put writes an object if its current version is the given one, and returns the object with its new version. The version
// 0 means that the object must not exist. put returns false if the object has another version.
func (o *objects) put(name string, version uint64, value []byte) (storedObject, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.values[name].version != version {
		return storedObject{}, false
	}
	o.lastVersion++
	s := storedObject{version: o.lastVersion, value: bytes.Clone(value)}
	o.values[name] = s
	o.notify()
	return s, true
}

// wakeWaiters closes the channels that get has returned, so that waiting reads check the state again.
func (o *objects) wakeWaiters() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notify()
}

// notify closes and replaces the channel changed. The caller must hold mu.
func (o *objects) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}
