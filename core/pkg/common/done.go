package common

import "sync"

// Stopper is the done channel of one part and the wait for its goroutines.
type Stopper struct {
	once sync.Once
	ch   chan struct{}
	wg   sync.WaitGroup
}

// NewStopper returns a Done that is open.
func NewStopper() *Stopper {
	return &Stopper{ch: make(chan struct{})}
}

// C returns the channel that is closed when the part must stop.
func (d *Stopper) C() <-chan struct{} {
	return d.ch
}

// Go runs f on a goroutine that Wait waits for.
func (d *Stopper) Go(f func()) {
	d.wg.Go(f)
}

// Close closes the channel; later calls do nothing.
func (d *Stopper) Close() {
	d.once.Do(func() { close(d.ch) })
}

// Wait returns when all goroutines have ended.
func (d *Stopper) Wait() {
	d.wg.Wait()
}
