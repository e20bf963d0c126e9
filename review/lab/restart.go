package main

import "time"

// restartCase: a target crashes and starts again at once at its address. Clients open flows while its first heartbeat is
// still to come, leave them idle for some seconds, and use them again.
func restartCase(l *lab) {
	l.standardLab()
	disruptedAt := time.Time{}
	if l.trouble {
		n := l.sides[0]
		n.target.crash()
		time.Sleep(100 * time.Millisecond)
		n.target = l.startTarget("i-1-2", n, beatInterval)
		disruptedAt = time.Now()
	}
	flows := l.openFlows(24, l.routeOf)
	l.logf("%d flows are open; they are idle for 8 s", len(flows))
	time.Sleep(8 * time.Second)
	answered := l.useFlows(flows, "second", disruptedAt)
	l.logf("%d of %d requests answered", answered, len(flows))
}
