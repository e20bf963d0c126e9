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
	feedInterval     = 100 * time.Millisecond
	announceInterval = 200 * time.Millisecond
	announceTimeout  = time.Second
	startTries       = 1000
	leaveTries       = 5
	instanceHeader   = "Upstream-Instance"
	hashHeader       = "Pack-Hash"
)

// admit takes a slot for the service time. It returns false when the request was shed or its caller left.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set(instanceHeader, s.settings.Instance())
	if !s.slots.enter(time.Now()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return false
	}
	defer s.slots.leave()
	timer := time.NewTimer(s.settings.Service())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) ping(w http.ResponseWriter, r *http.Request) {
	if s.admit(w, r) {
		fmt.Fprintln(w, s.settings.Instance())
	}
}

// feed sends numbered lines until the caller leaves or the number that the query names is reached.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
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
		case <-s.done.C():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) download(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	w.Header().Set(hashHeader, s.pack.hash)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.pack.bytes)))
	_, _ = io.Copy(w, bytes.NewReader(s.pack.bytes))
}

// confirm runs the confirmation once its body was read and its slot was taken.
func (s *Server) confirm(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	if id == "" {
		http.Error(w, "id is missing", http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.admit(w, r) {
		return
	}
	s.ledger.add(id)
	fmt.Fprintln(w, id)
}

func (s *Server) ran(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintln(w, s.ledger.count(r.PathValue("id")))
}

// announce tells the sidecar about the condition until it answers, the tries are used up or the server stops.
func (s *Server) announce(c landing.Condition, tries int) {
	if s.settings.Sidecar() == "" {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for ; tries > 0 && !s.announceOnce(c); tries-- {
		select {
		case <-ticker.C:
		case <-s.done.C():
			return
		}
	}
}

func (s *Server) announceOnce(c landing.Condition) bool {
	m := codec.EncodeUpstreamAnnouncement(landing.UpstreamAnnouncement{}.WithInstance(s.settings.Instance()).WithState(c))
	body, err := protojson.Marshal(m)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: announceTimeout}
	resp, err := client.Post("http://"+s.settings.Sidecar()+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
