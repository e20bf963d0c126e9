package common

import "context"

// ContextStopper is a Stopper for a component that calls other processes. It has a context with which calls in progress
// are canceled.
type ContextStopper struct {
	*Stopper
	ctx    context.Context
	cancel context.CancelFunc
}

// NewContextStopper returns a ContextStopper whose channel is open and whose context is not canceled.
func NewContextStopper() ContextStopper {
	ctx, cancel := context.WithCancel(context.Background())
	return ContextStopper{Stopper: NewStopper(), ctx: ctx, cancel: cancel}
}

// Context returns the context to use for the component's calls. Stop cancels it.
func (s ContextStopper) Context() context.Context {
	return s.ctx
}

// Stop cancels all calls and waits for the component's goroutines.
func (s ContextStopper) Stop() {
	s.Close()
	s.cancel()
	s.Wait()
}
