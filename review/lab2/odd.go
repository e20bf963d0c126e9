package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// playOdd lets another writer overwrite the entry of one sidecar with an odd one, and restarts a balancer as planned.
func playOdd(r *record, root, folder string, trouble bool) (int, error) {
	f, err := newFleet(r, root, folder)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if err := f.startStore(config(1, 15000, route("desk", "198.18.0.1", 443, "desk"))); err != nil {
		return 0, err
	}
	for i := range 5 {
		if err := f.addBalancer(string(rune('a' + i%4))); err != nil {
			return 0, err
		}
	}
	for i := range 6 {
		if err := f.addNode(string(rune('a'+i%3)), "desk"); err != nil {
			return 0, err
		}
	}
	if err := f.awaitServing(routeDesk); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow)
	holder := f.nodes[0]
	var mu sync.Mutex
	via := 0
	router := func() netip.AddrPort {
		mu.Lock()
		defer mu.Unlock()
		return f.front(via)
	}
	moveTo := func(i int) {
		mu.Lock()
		defer mu.Unlock()
		via = i
		r.write("the routers send the packets to %s", f.balancers[i].name)
	}
	var flows []*flow
	for range flowCount {
		fl, err := f.openAtNode(holder, router)
		if err != nil {
			return 0, err
		}
		flows = append(flows, fl)
	}
	r.write("%d flows are open at %s", len(flows), holder.name)
	if trouble {
		f.store.put("sidecars", holder.name, map[string]any{"service": 5, "zone": "a"})
		r.write("another writer overwrites the entry of %s: a field of another type, a field missing", holder.name)
	}
	time.Sleep(time.Second)
	moveTo(1)
	f.stop(f.balancers[0])
	if err := f.start(f.balancers[0]); err != nil {
		return 0, err
	}
	end := time.Now().Add(stableWindow + 10*time.Second)
	var all sync.WaitGroup
	broken := 0
	for i, fl := range flows {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				text := fmt.Sprintf("flow-%d-%d", i, n)
				a, err := fl.request(text, 2500*time.Millisecond)
				if err == nil {
					r.write("%s: answered: %s", text, a)
					time.Sleep(200 * time.Millisecond)
					continue
				}
				r.write("%s: %v, on an open flow at %s, which runs", text, err, holder.name)
				if err == errReset {
					mu.Lock()
					broken++
					mu.Unlock()
				}
				return
			}
		})
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	r.write("all machines are in touch, ready: %v", f.isReady(0))
	moveTo(0)
	all.Wait()
	r.write("entries in the store: %v", f.store.names("sidecars"))
	return broken, nil
}
