package common

import "context"

// Job is the done channel of a part that makes calls, with the context that ends them.
type Job struct {
	*Done
	ctx    context.Context
	cancel context.CancelFunc
}

// NewJob returns a job that is open.
func NewJob() Job {
	ctx, cancel := context.WithCancel(context.Background())
	return Job{Done: NewDone(), ctx: ctx, cancel: cancel}
}

// Context returns the context of the part's calls.
func (j Job) Context() context.Context {
	return j.ctx
}

// Stop ends all calls and waits for the part's goroutines.
func (j Job) Stop() {
	j.Close()
	j.cancel()
	j.Wait()
}
