package main

import (
	"sync"
	"syscall"
	"time"
)

// freezeTime is the time for which a machine stands still.
const freezeTime = 4 * time.Second

// lateCopyCase: one machine stands still for four seconds. Clients whose first opening packet went there open their flows
// elsewhere with the next copy. Meanwhile the other sidecars are restarted one after the other. When the machine wakes, it
// passes on the old opening packets.
func lateCopyCase(l *lab) {
	l.standardLab()
	frozen := l.sides[0]
	disruptedAt := time.Now()
	if l.trouble {
		l.logf("%s stands still", frozen.name)
		l.must(frozen.process.cmd.Process.Signal(syscall.SIGSTOP))
	}
	flows := l.openFlows(24, l.routeOf)
	l.logf("%d flows are open", len(flows))
	var restarting sync.WaitGroup
	restarting.Go(func() {
		for _, n := range l.sides[1:] {
			n.process.terminate()
			l.logf("%s has stopped", n.name)
			time.Sleep(500 * time.Millisecond)
			n.start()
			time.Sleep(500 * time.Millisecond)
		}
	})
	restarting.Wait()
	restartedAt := time.Now()
	time.Sleep(freezeTime - time.Since(disruptedAt))
	if l.trouble {
		l.must(frozen.process.cmd.Process.Signal(syscall.SIGCONT))
		l.logf("%s goes on", frozen.name)
	}
	time.Sleep(time.Until(restartedAt.Add(touchWindow + 500*time.Millisecond)))
	var elsewhere []*flow
	for _, f := range flows {
		if f.holder != frozen.target.id {
			elsewhere = append(elsewhere, f)
		}
	}
	l.logf("%d of %d requests answered", l.useFlows(elsewhere, "second", restartedAt), len(elsewhere))
}
