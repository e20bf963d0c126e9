package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// slowCallDelay is added to each call while the fault is landing.CallsDelayed.
const slowCallDelay = 2 * time.Second

// currentFault is the fault that the platform simulates at present. Its methods may be called from several goroutines.
type currentFault struct {
	mu    sync.Mutex
	value landing.PlatformFault
}

func newCurrentFault() *currentFault {
	return &currentFault{value: landing.NoFault{}}
}

func (f *currentFault) set(value landing.PlatformFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = value
}

func (f *currentFault) get() landing.PlatformFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// faultByName returns the fault that the path /trouble/NAME calls name, or false if there is none. The names are part
// of the HTTP interface: deaf stands for landing.WriteAnswersLost, garbled for landing.AnswersGarbled.
func faultByName(name string) (landing.PlatformFault, bool) {
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

// admitCall reports whether a call may be carried out. If not, because of the rate limit or the simulated fault, it
// writes the response. With landing.AnswersGarbled, the response has status 200, version 1 whatever the object's
// version is, and a body that cannot be decoded. If the fault is landing.CallsDelayed, admitCall waits for
// slowCallDelay.
func (s *Server) admitCall(w http.ResponseWriter, limiter *limiter) bool {
	if !limiter.allow() {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	switch s.fault.get().(type) {
	case landing.CallsFail:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	case landing.AnswersGarbled:
		w.Header().Set("ETag", `"1"`)
		_, _ = w.Write([]byte("\xff\xfe garbage"))
		return false
	case landing.CallsDelayed:
		<-time.After(slowCallDelay)
	case landing.NoFault, landing.WriteAnswersLost:
	}
	return true
}
