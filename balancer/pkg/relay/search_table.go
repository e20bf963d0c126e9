package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
)

const (
	// maxSearches limits the memory of the searches, each of which holds a packet. The packet of a search that does not
	// fit is dropped, and its caller retransmits it.
	maxSearches = 2048
	// searchLifetime is the time after which a search is given up and forgotten. It is longer than the longest interval
	// between two copies of a packet, 1.6 s, so that the next copy begins where the last one got to.
	searchLifetime = 2 * time.Second
	// maxWideSearches limits the searches that are wide at once. Single flows are found quickly among sidecars that have
	// stopped; after a power loss, which has ended most flows, their searches share the capacity of the network.
	maxWideSearches = 8
	// doubtTime is the time for which a sidecar that left a packet unanswered is asked after others. The enrollment of a
	// sidecar that has stopped is removed within about that time.
	doubtTime = 5 * time.Second
)

// packetSearch is the search for the holder of one packet's flow.
type packetSearch struct {
	key landing.FlowKey
	// forwarded is the packet without hops.
	forwarded landing.ForwardedPacket
	search    walk.Search
	startedAt time.Time
	// generation identifies the set of sidecars to which the search applies.
	generation uint64
	// isEnded reports whether the search has ended. It is kept for the next copy of the packet.
	isEnded bool
}

// isWide reports whether the search is wide and has not ended.
func (p packetSearch) isWide() bool {
	return !p.isEnded && p.search.IsWide()
}

// searchTable holds the searches of this balancer. Its methods may be called from several goroutines.
type searchTable struct {
	mu       sync.Mutex
	searches map[uint32]packetSearch
	// numbers holds the numbers of the searches for each flow, the latest last.
	numbers    map[landing.FlowKey][]uint32
	lastNumber uint32
	// wideCount is the number of searches that are wide and have not ended.
	wideCount int
	// doubted holds the time at which each sidecar last left a packet unanswered, by its address.
	doubted map[uint64]time.Time
}

func newSearchTable() *searchTable {
	return &searchTable{searches: map[uint32]packetSearch{}, numbers: map[landing.FlowKey][]uint32{}, doubted: map[uint64]time.Time{}}
}

// begin adds a search for a packet and returns its number; false when the table is full. The search of a packet of the
// same flow is continued if it applies to the same set of sidecars.
func (t *searchTable) begin(key landing.FlowKey, forwarded landing.ForwardedPacket, generation uint64, now time.Time) (uint32, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.searches) >= maxSearches {
		t.removeExpired(now)
	}
	if len(t.searches) >= maxSearches {
		return 0, false
	}
	p := packetSearch{key: key, startedAt: now, generation: generation}
	if previous, found := t.searches[t.latest(key)]; found && previous.generation == generation && now.Sub(previous.startedAt) <= searchLifetime {
		p.search = previous.search.ForNextCopy()
	}
	t.lastNumber++
	if t.lastNumber == 0 {
		t.lastNumber++
	}
	// The bytes of a packet are those of the read buffer, which is used again.
	p.forwarded = forwarded.WithSearchNumber(t.lastNumber).WithPacket(slices.Clone(forwarded.Packet()))
	t.putLocked(t.lastNumber, p)
	t.numbers[key] = append(t.numbers[key], t.lastNumber)
	return t.lastNumber, true
}

// update replaces the search of this number by the one that change returns, and returns it; false when there is no such
// search or it has ended. It tells change whether the search may become wide. Number 0 stands for the latest search of the
// flow, since sidecars of the previous version do not return the number.
func (t *searchTable) update(number uint32, key landing.FlowKey, change func(p packetSearch, mayWiden bool) packetSearch) (packetSearch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number == 0 {
		number = t.latest(key)
	}
	p, found := t.searches[number]
	if !found || p.isEnded {
		return packetSearch{}, false
	}
	p = change(p, t.wideCount < maxWideSearches)
	t.putLocked(number, p)
	return p, true
}

// latest returns the number of the latest search for a flow; 0 when there is none. t must be locked.
func (t *searchTable) latest(key landing.FlowKey) uint32 {
	numbers := t.numbers[key]
	if len(numbers) == 0 {
		return 0
	}
	return numbers[len(numbers)-1]
}

// find returns the search of this number; false when there is none.
func (t *searchTable) find(number uint32) (packetSearch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, found := t.searches[number]
	return p, found
}

// takeFound removes the searches for a flow, whose holder has been found, and returns those that have not ended.
func (t *searchTable) takeFound(key landing.FlowKey) []packetSearch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unfinished []packetSearch
	for _, number := range t.numbers[key] {
		if p := t.searches[number]; !p.isEnded {
			unfinished = append(unfinished, p)
		}
		t.deleteLocked(number)
	}
	delete(t.numbers, key)
	return unfinished
}

// putLocked adds or replaces a search. t must be locked.
func (t *searchTable) putLocked(number uint32, p packetSearch) {
	t.deleteLocked(number)
	t.searches[number] = p
	if p.isWide() {
		t.wideCount++
	}
}

// deleteLocked deletes a search, but keeps its number among those of the flow. t must be locked.
func (t *searchTable) deleteLocked(number uint32) {
	if t.searches[number].isWide() {
		t.wideCount--
	}
	delete(t.searches, number)
}

// removeLocked removes one search. t must be locked.
func (t *searchTable) removeLocked(number uint32, key landing.FlowKey) {
	t.deleteLocked(number)
	numbers := slices.DeleteFunc(t.numbers[key], func(n uint32) bool { return n == number })
	if len(numbers) == 0 {
		delete(t.numbers, key)
		return
	}
	t.numbers[key] = numbers
}

// removeExpired removes the searches that are older than searchLifetime. t must be locked.
func (t *searchTable) removeExpired(now time.Time) {
	for number, p := range t.searches {
		if now.Sub(p.startedAt) > searchLifetime {
			t.removeLocked(number, p.key)
		}
	}
}

// due returns the numbers of the searches that must go on now, and whether any search has not ended.
func (t *searchTable) due(now time.Time) ([]uint32, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	var due []uint32
	isActive := false
	for number, p := range t.searches {
		if p.isEnded {
			continue
		}
		isActive = true
		if dueAt := p.search.DueAt(); !dueAt.IsZero() && !dueAt.After(now) {
			due = append(due, number)
		}
	}
	return due, isActive
}

// doubt records that these sidecars have left a packet unanswered.
func (t *searchTable) doubt(sidecars []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range sidecars {
		t.doubted[address] = now
	}
}

// trust records that these sidecars have returned a packet or claimed a flow.
func (t *searchTable) trust(sidecars ...uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range sidecars {
		delete(t.doubted, address)
	}
}

// doubtedSidecars returns the sidecars that have left a packet unanswered within doubtTime.
func (t *searchTable) doubtedSidecars(now time.Time) map[uint64]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	doubted := map[uint64]bool{}
	for address, at := range t.doubted {
		if now.Sub(at) > doubtTime {
			delete(t.doubted, address)
			continue
		}
		doubted[address] = true
	}
	return doubted
}
