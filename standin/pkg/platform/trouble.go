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
	value landing.PlatformFault
}

func newTrouble() *trouble {
	return &trouble{value: landing.NoFault{}}
}

func (t *trouble) set(v landing.PlatformFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.value = v
}

func (t *trouble) get() landing.PlatformFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value
}

func troubleOf(name string) (landing.PlatformFault, bool) {
	switch name {
	case "healthy":
		return landing.NoFault{}, true
	case "down":
		return landing.CallsFail{}, true
	case "slow":
		return landing.CallsDelayed{}, true
	case "deaf":
		return landing.WriteAnswersLost{}, true
	case "garbled":
		return landing.AnswersGarbled{}, true
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
	case landing.CallsFail:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	case landing.AnswersGarbled:
		w.Header().Set("ETag", `"1"`)
		_, _ = w.Write([]byte("\xff\xfe garbage"))
		return false
	case landing.CallsDelayed:
		<-time.After(slowness)
	case landing.NoFault, landing.WriteAnswersLost:
	}
	return true
}
