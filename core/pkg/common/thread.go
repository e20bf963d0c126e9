package common

import "runtime"

// ControlThread is the one thread that owns the control state of a process. Steps run on it one after another.
type ControlThread struct {
	steps chan func()
	done  *Stopper
}

// NewControlThread returns a thread that lets this number of steps wait. Start must be called.
func NewControlThread(waiting int) *ControlThread {
	return &ControlThread{steps: make(chan func(), waiting), done: NewStopper()}
}

// Start starts the thread.
func (t *ControlThread) Start() {
	t.done.Go(t.run)
}

// Stop stops the thread and waits for its end. Steps that wait are dropped.
func (t *ControlThread) Stop() {
	t.done.Close()
	t.done.Wait()
}

// Post hands a step to the thread. It waits while the thread is behind.
func (t *ControlThread) Post(step func()) {
	select {
	case t.steps <- step:
	case <-t.done.C():
	}
}

// AwaitPosted returns when all steps posted before have run, or the thread stops.
func (t *ControlThread) AwaitPosted() {
	ran := make(chan struct{})
	t.Post(func() { close(ran) })
	select {
	case <-ran:
	case <-t.done.C():
	}
}

func (t *ControlThread) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case <-t.done.C():
			return
		case step := <-t.steps:
			step()
		}
	}
}
