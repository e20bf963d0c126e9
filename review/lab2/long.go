package main

import "time"

// longIdleTimeout is the idle timeout of the new configuration: two days.
const longIdleTimeout = 48 * time.Hour

// playLong changes the configuration: a route is added, another one is dropped, and the idle timeout becomes longer than a
// day. Without the disruption, the idle timeout stays.
func playLong(r *record, root, folder string, trouble bool) (int, error) {
	desk, old := route("desk", "198.18.0.1", 443, "desk"), route("old", "198.18.0.2", 443, "desk")
	f, err := newFleet(r, root, folder)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if err := f.startStore(config(1, 15000, desk, old)); err != nil {
		return 0, err
	}
	for i := range 5 {
		if err := f.addBalancer(string(rune('a' + i%4))); err != nil {
			return 0, err
		}
	}
	for i := range 4 {
		if err := f.addNode(string(rune('a'+i%4)), "desk"); err != nil {
			return 0, err
		}
	}
	if err := f.awaitServing(routeDesk); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow)
	idle := 15 * time.Second
	if trouble {
		idle = longIdleTimeout
	}
	r.write("idle_timeout_ms becomes %d", idle.Milliseconds())
	f.configure(config(4, int(idle.Milliseconds()), desk, route("new", "198.18.0.3", 443, "desk")))
	time.Sleep(configApply + 50*time.Millisecond)
	return f.checkRoutes(time.Now().Add(4 * time.Second)), nil
}
