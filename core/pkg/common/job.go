package common

import "context"

// ContextStopper is the done channel of a part that makes calls, with the context that ends them.
type ContextStopper struct {
	*Stopper
	ctx    context.Context
	cancel context.CancelFunc
}

// NewContextStopper returns a job that is open.
func NewContextStopper() ContextStopper {
	ctx, cancel := context.WithCancel(context.Background())
	return ContextStopper{Stopper: NewStopper(), ctx: ctx, cancel: cancel}
}

// Context returns the context of the part's calls.
func (j ContextStopper) Context() context.Context {
	return j.ctx
}

// Stop ends all calls and waits for the part's goroutines.
func (j ContextStopper) Stop() {
	j.Close()
	j.cancel()
	j.Wait()
}
