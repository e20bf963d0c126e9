package common

import "runtime"

// ControlThread is the one operating system thread that owns the control state of a process. Tasks run on it one after
// another.
type ControlThread struct {
	tasks   chan func()
	stopper *Stopper
}

// NewControlThread returns a control thread whose queue holds at most queueCapacity tasks. It runs tasks after Start is
// called.
func NewControlThread(queueCapacity int) *ControlThread {
	return &ControlThread{tasks: make(chan func(), queueCapacity), stopper: NewStopper()}
}

// Start starts the thread.
func (t *ControlThread) Start() {
	t.stopper.Go(t.run)
}

// Stop stops the thread and waits for its end. Queued tasks are dropped.
func (t *ControlThread) Stop() {
	t.stopper.Close()
	t.stopper.Wait()
}

// Post queues a task for the thread. It blocks while the queue is full, and may drop the task once the thread is being
// stopped.
func (t *ControlThread) Post(task func()) {
	select {
	case t.tasks <- task:
	case <-t.stopper.C():
	}
}

// AwaitPosted returns when all tasks posted before it was called have run, or when the thread is stopped.
func (t *ControlThread) AwaitPosted() {
	ran := make(chan struct{})
	t.Post(func() { close(ran) })
	select {
	case <-ran:
	case <-t.stopper.C():
	}
}

func (t *ControlThread) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case <-t.stopper.C():
			return
		case task := <-t.tasks:
			task()
		}
	}
}
