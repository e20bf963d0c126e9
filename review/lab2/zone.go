package main

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	zoneBalancers = 4
	// zoneNodes is the number of targets of the service, more than a balancer subscribes to. The last two are in zone d,
	// the others in the zones a, b and c.
	zoneNodes      = 30
	subscribedMost = 24
	// flowCount is the number of open flows that are watched.
	flowCount = 6
	// largeWindow is stable_window_ms of the site large/nosa-lb-large.toml.
	largeWindow = 6 * time.Second
)

// playZone loses one of the two machines of a zone for good, after the flows of the other one have moved to a balancer that
// subscribes to the lost machine only.
func playZone(r *record, root, folder string, trouble bool) (int, error) {
	f, err := newFleet(r, root, folder)
	if err != nil {
		return 0, err
	}
	defer f.close()
	lost, kept := zoneNodes-2, zoneNodes-1
	first, second, found := f.findBalancers(lost, kept)
	if !found {
		return 0, fmt.Errorf("no balancers with the subscriptions of the case")
	}
	if err := f.startStore(config(1, 15000, route("desk", "198.18.0.1", 443, "desk"))); err != nil {
		return 0, err
	}
	for i := range zoneBalancers {
		if err := f.addBalancer(string(rune('a' + i%3))); err != nil {
			return 0, err
		}
	}
	for i := range zoneNodes {
		zone := string(rune('a' + i%3))
		if i >= lost {
			zone = "d"
		}
		if err := f.addNode(zone, "desk"); err != nil {
			return 0, err
		}
	}
	if err := f.awaitServing(routeDesk); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var flows []*flow
	via := first
	var mu sync.Mutex
	router := func() netip.AddrPort {
		mu.Lock()
		defer mu.Unlock()
		return f.front(via)
	}
	for range flowCount {
		fl, err := f.openAtNode(f.nodes[kept], router)
		if err != nil {
			return 0, err
		}
		flows = append(flows, fl)
	}
	r.write("%d flows are open at %s, through %s", len(flows), f.nodes[kept].name, f.balancers[first].name)
	stopped := f.balancers[first]
	mu.Lock()
	via = second
	mu.Unlock()
	r.write("the routers send the packets to %s", f.balancers[second].name)
	f.stop(stopped)
	if err := f.start(stopped); err != nil {
		return 0, err
	}
	var all sync.WaitGroup
	end := time.Now().Add(largeWindow + 8*time.Second)
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
				r.write("%s: %v, on an open flow at %s, which runs: FLOW is broken", text, err, f.nodes[kept].name)
				if err == errReset {
					mu.Lock()
					broken++
					mu.Unlock()
				}
				return
			}
		})
	}
	time.Sleep(largeWindow + 500*time.Millisecond)
	r.write("all machines are in touch")
	if trouble {
		f.kill(f.nodes[lost].process)
		f.nodes[lost].target.crash()
		f.nodes[lost].target = nil
		r.write("the machine of %s is lost for good", f.nodes[lost].name)
	}
	all.Wait()
	return broken, nil
}

// openAtNode opens a flow that the target of this node holds.
func (f *fleet) openAtNode(n *node, via func() netip.AddrPort) (*flow, error) {
	for range 500 {
		fl, err := f.open(routeDesk, via)
		if err != nil {
			return nil, err
		}
		a, err := fl.request("hello", 2500*time.Millisecond)
		if err != nil {
			return nil, err
		}
		if strings.HasPrefix(a, n.service+" "+n.target.id+" ") {
			return fl, nil
		}
		fl.close()
	}
	return nil, fmt.Errorf("no flow at %s", n.name)
}

// findBalancers selects the addresses of the fleet such that one balancer subscribes to the node kept, and another one to
// the node lost and not to kept. It returns the two. Which sidecars a balancer subscribes to follows from the addresses
// (core/pkg/subset), so this only saves the search for a deployment in which it is so.
func (f *fleet) findBalancers(lost, kept int) (first, second int, found bool) {
	for range 150 {
		first, second = -1, -1
		for b := range zoneBalancers {
			isLost, isKept := f.subscribes(b, lost), f.subscribes(b, kept)
			switch {
			case isLost && !isKept:
				second = b
			case isKept:
				first = b
			}
		}
		if first >= 0 && second >= 0 {
			return first, second, true
		}
		f.net = 40 + (f.net-39)%180
	}
	return 0, 0, false
}

// subscribes reports whether balancer b subscribes to a node: the ones with the highest scores.
func (f *fleet) subscribes(b, node int) bool {
	own := f.packed(1, b+1)
	scores := make([]uint64, zoneNodes)
	for i := range scores {
		scores[i] = score(f.packed(2, i+1), own)
	}
	sorted := slices.Sorted(slices.Values(scores))
	return scores[node] >= sorted[zoneNodes-subscribedMost]
}

// packed returns the address of a daemon for other daemons as a number.
func (f *fleet) packed(subnet, host int) uint64 {
	return uint64(toNumber(netip.MustParseAddr(f.ip(subnet, host))))<<16 | uint64(f.base+portFleet)
}

// score returns the xxHash (64 bits, seed 0) of the two numbers.
func score(address, balancer uint64) uint64 {
	const p1, p2, p3, p4, p5 = 0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9, 0x85EBCA77C2B2AE63, 0x27D4EB2F165667C5
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:], address)
	binary.LittleEndian.PutUint64(input[8:], balancer)
	h := uint64(p5) + uint64(len(input))
	for i := 0; i < len(input); i += 8 {
		lane := binary.LittleEndian.Uint64(input[i:]) * p2
		h ^= bits.RotateLeft64(lane, 31) * p1
		h = bits.RotateLeft64(h, 27)*p1 + p4
	}
	h ^= h >> 33
	h *= p2
	h ^= h >> 29
	h *= p3
	return h ^ h>>32
}
