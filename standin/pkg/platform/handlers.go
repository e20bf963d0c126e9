package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	maxValueBytes = 1 << 20
	maxWait       = time.Minute
)

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.pass(w, s.reads) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	o := s.await(r, after, min(wait, maxWait))
	if _, down := s.trouble.get().(landing.CallsFail); down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	switch o.version {
	case 0:
		http.Error(w, "no such object", http.StatusNotFound)
	case after:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeObject(w, o)
	}
}

// await returns the object as soon as its version differs from after, or when the wait is over.
func (s *Server) await(r *http.Request, after uint64, wait time.Duration) stored {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		o, changed := s.objects.get(r.PathValue("name"))
		if o.version != after || wait == 0 {
			return o
		}
		select {
		case <-changed:
		case <-timer.C:
			return o
		case <-r.Context().Done():
			return o
		case <-s.done.C():
			return o
		}
		if _, down := s.trouble.get().(landing.CallsFail); down {
			return o
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	if !s.pass(w, s.writes) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, ok := expectedVersion(r)
	if !ok {
		http.Error(w, "If-Match or If-None-Match is missing", http.StatusPreconditionRequired)
		return
	}
	o, ok := s.objects.put(r.PathValue("name"), version, value)
	if _, deaf := s.trouble.get().(landing.WriteAnswersLost); deaf {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	writeObject(w, o)
}

func expectedVersion(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return version, err == nil
}

func writeObject(w http.ResponseWriter, o stored) {
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(o.version, 10)))
	_, _ = w.Write(o.value)
}

func (s *Server) setTrouble(w http.ResponseWriter, r *http.Request) {
	t, ok := troubleOf(r.PathValue("name"))
	if !ok {
		http.Error(w, "no such trouble", http.StatusNotFound)
		return
	}
	s.SetFault(t)
}
