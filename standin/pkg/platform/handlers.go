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
	// maxValueBytes limits the size of a value that can be written.
	maxValueBytes = 1 << 20
	// maxWaitDuration limits the time for which a read waits for a change.
	maxWaitDuration = time.Minute
)

// getObject responds with an object. If the query has a version in after and a duration in wait, and the object has this
// version, getObject waits until the object changes. It responds with the status 304 if the object does not change in
// this time.
func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.admitCall(w, s.readLimiter) {
		return
	}
	knownVersion, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	o := s.awaitChange(r, knownVersion, min(wait, maxWaitDuration))
	if _, callsFail := s.fault.get().(landing.CallsFail); callsFail {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	switch o.version {
	case 0:
		http.Error(w, "no such object", http.StatusNotFound)
	case knownVersion:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeObject(w, o)
	}
}

// awaitChange returns the object as soon as its version differs from knownVersion, or at once if wait is 0. It returns
// the unchanged object when the duration wait is over, the request is canceled, the server stops, or the simulated fault
// makes all calls fail.
func (s *Server) awaitChange(r *http.Request, knownVersion uint64, wait time.Duration) storedObject {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		o, changed := s.objects.get(r.PathValue("name"))
		if o.version != knownVersion || wait == 0 {
			return o
		}
		select {
		case <-changed:
		case <-timer.C:
			return o
		case <-r.Context().Done():
			return o
		case <-s.stopper.C():
			return o
		}
		if _, callsFail := s.fault.get().(landing.CallsFail); callsFail {
			return o
		}
	}
}

// putObject writes an object if it has the version that the request expects, and responds with the status 412 if it has
// another one. If the simulated fault is landing.WriteAnswersLost, putObject closes the connection without a response,
// whether it has written the object or not.
func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	if !s.admitCall(w, s.writeLimiter) {
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
	if _, responseLost := s.fault.get().(landing.WriteAnswersLost); responseLost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	writeObject(w, o)
}

// expectedVersion returns the version that an object must have for a write, 0 meaning that it must not exist. It returns
// false if the request has neither a valid If-Match nor If-None-Match: *.
func expectedVersion(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return version, err == nil
}

// writeObject responds with the object's value, and with its version as the ETag.
func writeObject(w http.ResponseWriter, o storedObject) {
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(o.version, 10)))
	_, _ = w.Write(o.value)
}

// putFault switches to the simulated fault that the path names.
func (s *Server) putFault(w http.ResponseWriter, r *http.Request) {
	fault, ok := faultByName(r.PathValue("name"))
	if !ok {
		http.Error(w, "no such trouble", http.StatusNotFound)
		return
	}
	s.SetFault(fault)
}
