package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/walk"
)

var (
	searchStart = time.Unix(1000, 0)
	searchedKey = landing.FlowKey{}.WithSourcePort(7)
	// searched are two sidecars, of which only the first is asked at once in these tests.
	searched = []walk.Candidate{{Address: 1}, {Address: 2}}
)

// advance continues a search as if the part with the hops returned had come back.
func advance(returned []uint64, now time.Time) func(packetSearch, bool) packetSearch {
	return func(p packetSearch, mayWiden bool) packetSearch {
		p.search, _, _ = p.search.WithReturned(searched, returned).Next(searched, nil, 7, mayWiden, now)
		p.isEnded = p.search.IsEnded(searched, nil)
		return p
	}
}

// The bytes of a packet belong to the buffer into which the next packet is read.
func TestSearchTable_KeepsPacketAfterBufferReuse(t *testing.T) {
	is := is.New(t)
	table := newSearchTable()
	buffer := []byte{1, 2, 3}
	number, isBegun := table.begin(searchedKey, landing.ForwardedPacket{}.WithPacket(buffer), 5, searchStart)
	is.True(isBegun)
	buffer[0] = 9
	p, found := table.find(number)
	is.True(found)
	is.Equal(p.forwarded.Packet(), []byte{1, 2, 3})
	is.Equal(p.forwarded.SearchNumber(), number)
}

func TestSearchTable_DueAfterPartTimeout(t *testing.T) {
	is := is.New(t)
	table := newSearchTable()
	number, _ := table.begin(searchedKey, landing.ForwardedPacket{}, 5, searchStart)
	_, found := table.update(number, searchedKey, advance(nil, searchStart))
	is.True(found)
	due, isActive := table.due(searchStart)
	is.True(isActive)
	is.Equal(len(due), 0)
	due, _ = table.due(searchStart.Add(walk.PartTimeout))
	is.Equal(due, []uint32{number})
	_, isActive = table.due(searchStart.Add(searchLifetime + time.Millisecond))
	is.True(!isActive)
}

// A late packet of a search that has ended, or was taken since its holder was found, changes nothing.
func TestSearchTable_EndedSearchIsNotContinued(t *testing.T) {
	is := is.New(t)
	table := newSearchTable()
	number, _ := table.begin(searchedKey, landing.ForwardedPacket{}, 5, searchStart)
	p, found := table.update(number, searchedKey, advance([]uint64{1, 2}, searchStart))
	is.True(found)
	is.True(p.isEnded && p.search.IsUnheld(searched, nil))
	_, found = table.update(number, searchedKey, advance(nil, searchStart))
	is.True(!found)
	is.Equal(len(table.takeFound(searchedKey)), 0)

	second, _ := table.begin(searchedKey, landing.ForwardedPacket{}, 5, searchStart)
	is.Equal(len(table.takeFound(searchedKey)), 1)
	_, found = table.update(second, searchedKey, advance(nil, searchStart))
	is.True(!found)
}

// After a power loss hundreds of flows are searched at once. Only some of the searches may become wide.
func TestSearchTable_LimitsWideSearches(t *testing.T) {
	is := is.New(t)
	table := newSearchTable()
	wide := 0
	var keys []landing.FlowKey
	for i := range uint32(100) {
		key := searchedKey.WithSourcePort(i)
		keys = append(keys, key)
		number, _ := table.begin(key, landing.ForwardedPacket{}, 5, searchStart)
		table.update(number, key, advance(nil, searchStart))
		if p, _ := table.update(number, key, advance(nil, searchStart.Add(walk.PartTimeout))); p.isWide() {
			wide++
		}
	}
	is.Equal(wide, maxWideSearches)
	for _, key := range keys {
		table.takeFound(key)
	}
	is.Equal(table.wideCount, 0)
}

func TestSearchTable_FullTableForgetsOldSearches(t *testing.T) {
	is := is.New(t)
	table := newSearchTable()
	for i := range uint32(maxSearches) {
		_, isBegun := table.begin(searchedKey.WithSourcePort(i), landing.ForwardedPacket{}, 5, searchStart)
		is.True(isBegun)
	}
	_, isBegun := table.begin(searchedKey, landing.ForwardedPacket{}, 5, searchStart)
	is.True(!isBegun)
	_, isBegun = table.begin(searchedKey, landing.ForwardedPacket{}, 5, searchStart.Add(searchLifetime+time.Millisecond))
	is.True(isBegun)
}

func TestSearchTable_DoubtEnds(t *testing.T) {
	is := is.New(t)
	table := newSearchTable()
	table.doubt([]uint64{1, 2}, searchStart)
	table.trust(2)
	is.Equal(table.doubtedSidecars(searchStart), map[uint64]bool{1: true})
	is.Equal(len(table.doubtedSidecars(searchStart.Add(doubtTime+time.Millisecond))), 0)
}
