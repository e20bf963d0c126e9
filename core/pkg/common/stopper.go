package common

import "sync"

// Stopper stops the goroutines of one component. Close signals them through a channel, and Wait waits until they have
// ended.
type Stopper struct {
	once sync.Once
	ch   chan struct{}
	wg   sync.WaitGroup
}

// NewStopper returns a Stopper whose channel is open.
func NewStopper() *Stopper {
	return &Stopper{ch: make(chan struct{})}
}

// C returns the channel that is closed when the component must stop.
func (s *Stopper) C() <-chan struct{} {
	return s.ch
}

// Go runs f on a new goroutine. Wait waits for its end.
func (s *Stopper) Go(f func()) {
	s.wg.Go(f)
}

// Close closes the channel. Later calls do nothing.
func (s *Stopper) Close() {
	s.once.Do(func() { close(s.ch) })
}

// Wait returns when all goroutines started with Go have ended.
func (s *Stopper) Wait() {
	s.wg.Wait()
}
