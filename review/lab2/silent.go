package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

var (
	routeDesk = netip.MustParseAddrPort("198.18.0.1:443")
	routeOld  = netip.MustParseAddrPort("198.18.0.2:443")
	routeNew  = netip.MustParseAddrPort("198.18.0.3:443")
)

// Sizes of the deployment: fewer machines than on the site, so that it fits on one.
const (
	silentBalancers = 12
	silentNodes     = 6
)

// playSilent sends two configurations in quick succession. Between them, all open connections to the store go silent. The
// check begins when all machines are in touch again and the time that a configuration may take has passed.
func playSilent(r *record, root, folder string, trouble bool) (int, error) {
	desk, old := route("desk", "198.18.0.1", 443, "desk"), route("old", "198.18.0.2", 443, "desk")
	f, err := newFleet(r, root, folder)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if err := f.startStore(config(1, 15000, desk, old)); err != nil {
		return 0, err
	}
	for i := range silentBalancers {
		if err := f.addBalancer(string(rune('a' + i%4))); err != nil {
			return 0, err
		}
	}
	for i := range silentNodes {
		if err := f.addNode(string(rune('a'+i%4)), "desk"); err != nil {
			return 0, err
		}
	}
	if err := f.awaitServing(routeDesk); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow)
	f.configure(config(4, 15000, desk, old, route("idle", "198.18.0.9", 443, "desk")))
	time.Sleep(350 * time.Millisecond)
	if trouble {
		f.silenceStore()
	}
	silentAt := time.Now()
	f.configure(config(7, 15000, desk, route("new", "198.18.0.3", 443, "desk")))
	ackedAt := time.Now()
	time.Sleep(time.Until(silentAt.Add(stableWindow + 50*time.Millisecond)))
	time.Sleep(time.Until(ackedAt.Add(configApply + 50*time.Millisecond)))
	r.write("all machines are in touch since %.2f s; version 7 was acknowledged %.2f s ago", (time.Since(silentAt) - stableWindow).Seconds(), time.Since(ackedAt).Seconds())
	return f.checkRoutes(time.Now().Add(6 * time.Second)), nil
}

// silenceStore makes all open connections to the store silent.
func (f *fleet) silenceStore() {
	for _, b := range f.balancers {
		b.platform.silence()
	}
	for _, n := range f.nodes {
		n.platform.silence()
	}
	f.record.write("all open connections to the store go silent; new ones work")
}

// checkRoutes sends requests to the new and the old route through every balancer until the time end. A request that is
// run on the dropped route, or reset on the new one, is handled as only the older version allows.
func (f *fleet) checkRoutes(end time.Time) int {
	var mu sync.Mutex
	broken := 0
	var all sync.WaitGroup
	for i := range f.balancers {
		for _, to := range []netip.AddrPort{routeOld, routeNew} {
			all.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					text := fmt.Sprintf("%s-%s-%d", f.balancers[i].name, strings.ReplaceAll(to.Addr().String(), ".", "-"), n)
					outcome := f.ask(to, i, text)
					isBroken := to == routeOld && strings.HasPrefix(outcome, "answered") || to == routeNew && outcome == "reset"
					if isBroken {
						mu.Lock()
						broken++
						mu.Unlock()
						outcome += ", as only the older version allows: CONFIG is broken"
					}
					f.record.write("%s: %s", text, outcome)
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	all.Wait()
	return broken
}

// ask sends one request on a flow of its own through balancer i and returns the outcome.
func (f *fleet) ask(to netip.AddrPort, i int, text string) string {
	fl, err := f.open(to, f.through(i))
	if err != nil {
		return err.Error()
	}
	defer fl.close()
	a, err := fl.request(text, 2500*time.Millisecond)
	if err != nil {
		return "open flow: " + err.Error()
	}
	return "answered: " + a
}
