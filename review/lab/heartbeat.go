package main

import "time"

// lateHeartbeatCase: a target has crashed and its successor has registered at the same address. The sidecar is restarted
// as planned, and then a heartbeat of the crashed target arrives that was held up.
func lateHeartbeatCase(l *lab) {
	l.standardLab()
	n := l.sides[0]
	late := n.target.heartbeatCall()
	n.target.crash()
	time.Sleep(500 * time.Millisecond)
	n.target = l.startTarget("i-1-2", n, 0)
	time.Sleep(2 * time.Second)
	flows := l.openFlows(24, l.routeOf)
	time.Sleep(touchWindow)
	disruptedAt := time.Now()
	n.process.terminate()
	l.logf("%s has stopped as planned", n.name)
	time.Sleep(500 * time.Millisecond)
	n.start()
	if l.trouble {
		for postHeartbeat(n.control(), "i-1-1", late) != 200 {
			time.Sleep(5 * time.Millisecond)
		}
		l.logf("the held-up heartbeat of i-1-1 is acknowledged")
	}
	time.Sleep(touchWindow + time.Second)
	l.logf("%d of %d requests answered", l.useFlows(flows, "second", disruptedAt), len(flows))
	time.Sleep(time.Second)
	l.logf("%d of %d requests answered", l.useFlows(flows, "third", disruptedAt), len(flows))
}

// foreignHeartbeatCase: another writer sends a heartbeat in which fields are missing.
func foreignHeartbeatCase(l *lab) {
	l.standardLab()
	n := l.sides[0]
	flows := l.openFlows(24, l.routeOf)
	time.Sleep(touchWindow)
	if l.trouble {
		body := map[string]any{"service": n.service, "address": n.app().String(), "slots": 8, "state": "ready", "seq": 1, "born": time.Now().UnixMilli()}
		l.logf("status of a heartbeat without zone, version and cold_remain_ms: %d", postHeartbeat(n.control(), "i-x", body))
	}
	time.Sleep(time.Second)
	l.logf("%d of %d requests answered", l.useFlows(flows, "second", time.Time{}), len(flows))
}
