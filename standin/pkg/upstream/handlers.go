package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// feedInterval is the time between two lines of a feed.
	feedInterval = 100 * time.Millisecond
	// announceInterval is the time between two attempts to send an announcement, and announceTimeout limits each attempt.
	announceInterval = 200 * time.Millisecond
	announceTimeout  = time.Second
	// maxStartAttempts and maxLeaveAttempts limit the attempts to announce the start and the shutdown of the server.
	maxStartAttempts = 1000
	maxLeaveAttempts = 5

	instanceHeader = "Upstream-Instance"
	packHashHeader = "Pack-Hash"
)

// occupySlot takes a slot for the service time (the processing time of one request) and then releases it. It returns
// false if the client canceled the request, or if all slots were in use; then it also responds with the status 503.
func (s *Server) occupySlot(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set(instanceHeader, s.settings.Instance())
	if !s.slots.acquire(time.Now()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return false
	}
	defer s.slots.release()
	timer := time.NewTimer(s.settings.Service())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// ping responds with the name of the instance after the service time.
func (s *Server) ping(w http.ResponseWriter, r *http.Request) {
	if s.occupySlot(w, r) {
		fmt.Fprintln(w, s.settings.Instance())
	}
}

// feed sends numbered lines until the client closes the connection, or until it has sent as many lines as the query
// requests with lines; 0 or no value means no limit. When the server stops, feed aborts the response.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	if !s.occupySlot(w, r) {
		return
	}
	lines, _ := strconv.Atoi(r.URL.Query().Get("lines"))
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	controller := http.NewResponseController(w)
	for i := 1; lines == 0 || i <= lines; i++ {
		fmt.Fprintf(w, "%d %s\n", i, s.settings.Instance())
		if controller.Flush() != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-s.stopper.C():
			panic(http.ErrAbortHandler)
		}
	}
}

// download responds with the pack, and with its hash in a header.
func (s *Server) download(w http.ResponseWriter, r *http.Request) {
	if !s.occupySlot(w, r) {
		return
	}
	w.Header().Set(packHashHeader, s.pack.hash)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.pack.bytes)))
	_, _ = io.Copy(w, bytes.NewReader(s.pack.bytes))
}

// confirm reads the body, occupies a slot for the service time and then counts a run of the confirmation with the
// identifier in the query. It responds with the identifier.
func (s *Server) confirm(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	if id == "" {
		http.Error(w, "id is missing", http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.occupySlot(w, r) {
		return
	}
	s.confirmations.increment(id)
	fmt.Fprintln(w, id)
}

// runCount responds with the number of times that the confirmation in the path ran.
func (s *Server) runCount(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintln(w, s.confirmations.count(r.PathValue("id")))
}

// announce sends the condition to the sidecar in each announceInterval until the sidecar accepts it, the attempts are used
// up, or the server stops. It does nothing if there is no sidecar.
func (s *Server) announce(condition landing.Condition, attempts int) {
	if s.settings.Sidecar() == "" {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for ; attempts > 0 && !s.sendAnnouncement(condition); attempts-- {
		select {
		case <-ticker.C:
		case <-s.stopper.C():
			return
		}
	}
}

// sendAnnouncement sends the condition to the sidecar once and reports whether the sidecar accepted it.
func (s *Server) sendAnnouncement(condition landing.Condition) bool {
	message := codec.EncodeUpstreamAnnouncement(landing.UpstreamAnnouncement{}.WithInstance(s.settings.Instance()).WithState(condition))
	body, err := protojson.Marshal(message)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: announceTimeout}
	response, err := client.Post("http://"+s.settings.Sidecar()+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
