package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const slowness = 2 * time.Second

// trouble is what goes wrong at present.
type trouble struct {
	mu    sync.Mutex
	value landing.Trouble
}

func newTrouble() *trouble {
	return &trouble{value: landing.Healthy{}}
}

func (t *trouble) set(v landing.Trouble) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.value = v
}

func (t *trouble) get() landing.Trouble {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value
}

func troubleOf(name string) (landing.Trouble, bool) {
	switch name {
	case "healthy":
		return landing.Healthy{}, true
	case "down":
		return landing.Down{}, true
	case "slow":
		return landing.Slow{}, true
	case "deaf":
		return landing.Deaf{}, true
	case "garbled":
		return landing.Garbled{}, true
	default:
		return nil, false
	}
}

// pass lets a call through unless it fails at once because of the trouble or the limit.
func (s *Server) pass(w http.ResponseWriter, l *limiter) bool {
	if !l.allow() {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	switch s.trouble.get().(type) {
	case landing.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	case landing.Garbled:
		w.Header().Set("ETag", `"1"`)
		_, _ = w.Write([]byte("\xff\xfe garbage"))
		return false
	case landing.Slow:
		<-time.After(slowness)
	case landing.Healthy, landing.Deaf:
	}
	return true
}
