package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Bounds of the site nosa-lb-grown.
const (
	stableWindow = 5 * time.Second
	configApply  = 5 * time.Second
	evacuateTime = 5 * time.Second
	maxStretch   = 15 * time.Second
	// The drill: the store is away for awayTime and comes back from a copy that is copyAge old at its end.
	awayTime = time.Second
	copyAge  = 5 * time.Second
	// baseSides are the targets with their sidecars at the start, and addedSides those that are added before the drill.
	baseSides  = 12
	addedSides = 3
	// searchTime limits the time in which feeds open at one target.
	searchTime = 2 * time.Second
	// deadline is that of the kind feed.
	deadline = 3000 * time.Millisecond
)

// request is what a target or a client has seen of a request.
type request struct {
	target    string
	zone      string
	openingAt time.Time // when the target took the opening packet
	runAt     time.Time
}

// observer holds what the targets have seen.
type observer struct {
	mu       sync.Mutex
	openings map[[2]netip.AddrPort]time.Time
	runs     map[string]request
	doubles  int
}

func observe(f *fleet) *observer {
	o := &observer{openings: map[[2]netip.AddrPort]time.Time{}, runs: map[string]request{}}
	f.onOpening = func(_ *target, key [2]netip.AddrPort) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.openings[key] = time.Now()
	}
	f.onRun = func(t *target, key [2]netip.AddrPort, text string) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if _, found := o.runs[text]; found {
			o.doubles++
		}
		o.runs[text] = request{target: t.id, zone: t.zone, openingAt: o.openings[key], runAt: time.Now()}
	}
	return o
}

// find returns the run of the request with this identifier.
func (o *observer) find(id string) (request, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, found := o.runs["GET / HTTP/1.1\r\nHost: x\r\nX-Crocuslanding-Request-Id: "+id+"\r\n\r\n"]
	return r, found
}

type routeSpec map[string]any

// configuration returns a configuration with routes 1 to n to the service desk.
func configuration(f *fleet, version, n int) map[string]any {
	var routes []routeSpec
	for i := 1; i <= n; i++ {
		a := f.route(i)
		routes = append(routes, routeSpec{
			"name": fmt.Sprintf("r%d", i), "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()),
			"service": "desk", "type": "safe", "timeout_ms": 3000, "aim_ms": 300, "max_attempts": 3, "priority": 2,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []routeSpec{{"name": "desk", "health_path": "/health", "max_conns": 2000, "cold_start_s": 2, "cold_per_s": 20}},
		"limits":   map[string]any{"idle_timeout_ms": 12000},
	}
}

// startFleet starts the balancers and this many sidecars with targets, and waits until a request is served at
// each target.
func startFleet(f *fleet, sides int) (*observer, error) {
	o := observe(f)
	f.store.Operate("config", "main", configuration(f, 10, 2))
	for i := range balancers {
		if err := f.startBalancer(i); err != nil {
			return nil, err
		}
	}
	for i := range sides {
		if err := f.startSide(i, "desk"); err != nil {
			return nil, err
		}
	}
	if err := f.startRouting(); err != nil {
		return nil, err
	}
	return o, awaitTargets(f, o, sides)
}

// awaitTargets opens short flows until this many targets have served one.
func awaitTargets(f *fleet, o *observer, count int) error {
	served := map[string]bool{}
	for i := range 300 {
		id := fmt.Sprintf("start-%d-%d", count, i)
		if askOnce(f, f.route(1), id) == nil {
			r, _ := o.find(id)
			served[r.target] = true
		}
		if len(served) == count {
			f.logf("all %d targets serve", count)
			return nil
		}
		time.Sleep(30 * time.Millisecond)
	}
	return fmt.Errorf("only %d of %d targets serve", len(served), count)
}

// askOnce opens a flow for one request and ends it.
func askOnce(f *fleet, dst netip.AddrPort, id string) error {
	fl, err := f.clients.open(dst)
	if err != nil {
		return err
	}
	defer fl.end()
	_, err = fl.request(id, deadline)
	return err
}

// feed is a long flow, over which a client sends a request now and then.
type feed struct {
	flow   *flow
	target string
	mu     sync.Mutex
	err    error
	endAt  time.Time
}

// fail records why the feed has ended.
func (fd *feed) fail(err error) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.err, fd.endAt = err, time.Now()
}

// failure returns why and when the feed has ended, or nil.
func (fd *feed) failure() (time.Time, error) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return fd.endAt, fd.err
}

// keep sends a request on each feed each interval until stop is closed. The feeds take turns. It returns at once.
func keep(f *fleet, o *observer, feeds []*feed, name string, interval time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i, fd := range feeds {
		wg.Go(func() {
			wait := interval * time.Duration(i+1) / time.Duration(len(feeds))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(wait):
				}
				wait = interval
				id := fmt.Sprintf("%s-%d-%d", name, i, n)
				_, err := fd.flow.request(id, deadline)
				_, hasRun := o.find(id)
				f.logf("request %s, flow from port %d at target %s, balancer edge-%d: run %t, client: %v", id, fd.flow.src.Port(), fd.target, fd.flow.balancer(), hasRun, err)
				if err != nil {
					fd.fail(err)
					return
				}
			}
		})
	}
	return &wg
}

// drill plays the drill, or waits as long without trouble. After the copy from which the store comes back, targets are added
// with their sidecars, whose enrollments are lost; during calls between.
func drill(f *fleet, o *observer, trouble bool, during func() error) error {
	c := f.store.Copy()
	copiedAt := time.Now()
	for i := range addedSides {
		if err := f.startSide(baseSides+i, "desk"); err != nil {
			return err
		}
	}
	if err := awaitTargets(f, o, baseSides+addedSides); err != nil {
		return err
	}
	if err := during(); err != nil {
		return err
	}
	rest := copyAge - awayTime - time.Since(copiedAt)
	if rest < 0 {
		return fmt.Errorf("adding targets took %s", time.Since(copiedAt))
	}
	time.Sleep(rest)
	if trouble {
		f.store.Drill(c, awayTime)
	} else {
		time.Sleep(awayTime)
	}
	// The store is without disruption, and all machines are in touch after this.
	time.Sleep(stableWindow + 2*time.Second)
	return nil
}

// playConfig removes a route after a drill. CONFIG: no request is run with the dropped route later than config_apply_ms
// after the acknowledgement.
func playConfig(f *fleet, trouble bool) error {
	o, err := startFleet(f, baseSides)
	if err != nil {
		return err
	}
	// The drill also loses a version of the configuration, which the operator then writes again.
	if err := drill(f, o, trouble, func() error {
		f.store.Operate("config", "main", configuration(f, 13, 3)) // adds a route
		return nil
	}); err != nil {
		return err
	}
	if err := askOnce(f, f.route(2), "before"); err != nil {
		return fmt.Errorf("route 2 is not served before it is dropped: %w", err)
	}
	acknowledgedAt := f.store.Operate("config", "main", configuration(f, 17, 1))
	f.logf("routes 2 and 3 are dropped by version 17")
	late, sent := 0, 0
	for time.Since(acknowledgedAt) < configApply+maxStretch+10*time.Second {
		id := fmt.Sprintf("dropped-%d", sent)
		sent++
		sentAt := time.Now()
		err := askOnce(f, f.route(2), id)
		r, hasRun := o.find(id)
		f.logf("request %s over route 2, sent %.1f s after the acknowledgement: run %t at %q, client: %v", id, sentAt.Sub(acknowledgedAt).Seconds(), hasRun, r.target, err)
		if hasRun && sentAt.Sub(acknowledgedAt) > configApply+maxStretch {
			late++
		}
		time.Sleep(300 * time.Millisecond)
	}
	if err := askOnce(f, f.route(1), "after"); err != nil {
		return fmt.Errorf("route 1 is not served at the end: %w", err)
	}
	if late > 0 {
		return fmt.Errorf("CONFIG: %d requests over the dropped route were run, sent later than %s after the acknowledgement: %w", late, configApply+maxStretch, errBroken)
	}
	return nil
}

// playEvacuation evacuates a zone after a drill. EVAC: no request reaches a target there later than evacuate_ms after the
// acknowledgement.
func playEvacuation(f *fleet, trouble bool) error {
	o, err := startFleet(f, baseSides)
	if err != nil {
		return err
	}
	if err := drill(f, o, trouble, func() error { return nil }); err != nil {
		return err
	}
	acknowledgedAt := f.store.Operate("evacuations", "zone-b", map[string]any{})
	f.logf("the evacuation of zone-b is acknowledged")
	late, inTime, sent, served := 0, 0, 0, 0
	for time.Since(acknowledgedAt) < evacuateTime+maxStretch+10*time.Second {
		id := fmt.Sprintf("evacuated-%d", sent)
		sent++
		err := askOnce(f, f.route(1), id)
		r, hasRun := o.find(id)
		f.logf("request %s: run %t at %q in %s, the target took the opening packet %.1f s after the acknowledgement, client: %v", id, hasRun, r.target, r.zone, r.openingAt.Sub(acknowledgedAt).Seconds(), err)
		if err == nil {
			served++
		}
		if hasRun && r.zone == "zone-b" {
			if r.openingAt.Sub(acknowledgedAt) > evacuateTime+maxStretch {
				late++
			} else {
				inTime++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if served < sent/2 {
		return fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	if late > 0 {
		return fmt.Errorf("EVAC: %d requests reached targets in the evacuated zone later than %s after the acknowledgement: %w", late, evacuateTime+maxStretch, errBroken)
	}
	return nil
}

// playFlow plays a drill while feeds are open at a target that was added after the copy, and then restarts a balancer. FLOW: no client gets a reset on
// a flow that is open at a living target.
func playFlow(f *fleet, trouble bool) error {
	o, err := startFleet(f, baseSides)
	if err != nil {
		return err
	}
	const pause = 9 * time.Second // between two requests on a feed; the idle timeout is 12 s
	var feeds []*feed
	var wg *sync.WaitGroup
	stop := make(chan struct{})
	if err := drill(f, o, trouble, func() error {
		feeds = openFeedsAt(f, o, f.targets[baseSides].id, 40)
		if len(feeds) < 12 {
			return fmt.Errorf("only %d feeds are open at the target that was added", len(feeds))
		}
		wg = keep(f, o, feeds, "added", pause, stop)
		return nil
	}); err != nil {
		return err
	}
	defer func() {
		close(stop)
		wg.Wait()
	}()
	f.logf("sidecars that are enrolled at the store: %v", f.store.Names("sidecars"))
	f.stopProcess("edge-0")
	time.Sleep(300 * time.Millisecond)
	if err := f.startBalancer(0); err != nil {
		return err
	}
	inTouchAt := time.Now().Add(stableWindow)
	time.Sleep(2 * pause)
	resets, early, silent := 0, 0, 0
	for _, fd := range feeds {
		switch at, err := fd.failure(); {
		case errors.Is(err, errReset) && at.Before(inTouchAt):
			early++
		case errors.Is(err, errReset):
			resets++
		case err != nil:
			silent++
		}
	}
	f.logf("%d of %d feeds at the target that was added were reset by the balancer in touch, %d before that, %d had no answer", resets, len(feeds), early, silent)
	f.logf("sidecars that are enrolled at the store: %v", f.store.Names("sidecars"))
	if resets > 0 {
		return fmt.Errorf("FLOW: clients got resets on %d open flows whose target lives: %w", resets, errBroken)
	}
	return nil
}

// openFeedsAt opens flows until this many are open at a target, for searchTime at most, and ends those at others.
func openFeedsAt(f *fleet, o *observer, target string, count int) []*feed {
	var feeds []*feed
	until := time.Now().Add(searchTime)
	for i := 0; len(feeds) < count && time.Now().Before(until); i++ {
		fl, err := f.clients.open(f.route(1))
		if err != nil {
			continue
		}
		id := fmt.Sprintf("search-%d", i)
		if _, err := fl.request(id, deadline); err != nil {
			continue
		}
		if r, _ := o.find(id); r.target == target {
			feeds = append(feeds, &feed{flow: fl, target: target})
			continue
		}
		go fl.end()
		time.Sleep(2 * time.Millisecond)
	}
	f.logf("%d feeds are open at the target that was added", len(feeds))
	return feeds
}
