package relay

import (
	"testing"
)

// Guards against watches that end, and lists that are read twice, because the era in which they began is noted after that.
func TestEraSignal_KeepsWatchesOfTheSameEra(t *testing.T) {
	eras := newEraSignal()
	later := eras.after(5)
	eras.raise(5)
	select {
	case <-later:
		t.Error("a watch of the era 5 ends when the era 5 begins")
	default:
	}
	eras.raise(6)
	<-later
	<-eras.after(5)
}
