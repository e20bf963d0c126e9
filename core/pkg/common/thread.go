package common

import "runtime"

// Thread is the one thread that owns the control state of a process. Steps run on it one after another.
type Thread struct {
	steps chan func()
	done  *Done
}

// NewThread returns a thread that lets this number of steps wait. Start must be called.
func NewThread(waiting int) *Thread {
	return &Thread{steps: make(chan func(), waiting), done: NewDone()}
}

// Start starts the thread.
func (t *Thread) Start() {
	t.done.Go(t.run)
}

// Stop stops the thread and waits for its end. Steps that wait are dropped.
func (t *Thread) Stop() {
	t.done.Close()
	t.done.Wait()
}

// Post hands a step to the thread. It waits while the thread is behind.
func (t *Thread) Post(step func()) {
	select {
	case t.steps <- step:
	case <-t.done.C():
	}
}

// Await returns when all steps posted before have run, or the thread stops.
func (t *Thread) Await() {
	ran := make(chan struct{})
	t.Post(func() { close(ran) })
	select {
	case <-ran:
	case <-t.done.C():
	}
}

func (t *Thread) run() {
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
