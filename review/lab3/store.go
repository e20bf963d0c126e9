package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type objectMeta struct {
	Name       string `json:"name"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"created_rev"`
}

type object struct {
	Meta objectMeta      `json:"meta"`
	Spec json.RawMessage `json:"spec,omitempty"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// copyOfStore is a copy of the store's objects and revision.
type copyOfStore struct {
	revision uint64
	objects  map[string]object // by kind/name
}

// operatorWrite is a write of the operator, which the operator repeats after a drill that has lost it.
type operatorWrite struct {
	kind, name string
	spec       json.RawMessage // nil: a deletion
	rev        uint64
}

// store is a stand-in for the platform's store (PROTOCOL.md). Its Drill is the one of the users' ninth letter.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      int
	objects  map[string]object
	history  []event
	oldest   uint64 // a watch from a lower revision gets 410
	changed  chan struct{}
	away     bool
	writes   []operatorWrite
	log      func(format string, args ...any)
	server   *http.Server
}

func newStore(address string, log func(string, ...any)) (*store, error) {
	s := &store{revision: 1, era: 1, objects: map[string]object{}, oldest: 1, changed: make(chan struct{}), log: log}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// ServeHTTP serves /v1/objects/KIND and /v1/objects/KIND/NAME.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if away {
		panic(http.ErrAbortHandler) // the connection is closed without a response
	}
	time.Sleep(4 * time.Millisecond)
	switch {
	case len(parts) == 1 && r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, parts[0])
	case len(parts) == 1 && r.Method == http.MethodGet:
		s.list(w, r, parts[0])
	case len(parts) == 1 && r.Method == http.MethodPost:
		s.write(w, r, parts[0], "")
	case len(parts) == 2 && r.Method == http.MethodPut:
		s.write(w, r, parts[0], parts[1])
	case len(parts) == 2 && r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	case len(parts) == 2 && r.Method == http.MethodDelete:
		s.delete(w, r, parts[0], parts[1])
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond responds with a body in JSON.
func (s *store) respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, _ *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, s.objects[key])
		}
	}
	s.respond(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind+"/"+name]
	if !found {
		s.respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.respond(w, http.StatusOK, o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for isOver := false; ; {
		if s.away || s.era != era {
			panic(http.ErrAbortHandler) // a watch that waits is cut off by the drill
		}
		if since > s.revision || since < s.oldest {
			s.respond(w, http.StatusGone, map[string]any{})
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Rev > since {
				events = append(events, e)
			}
		}
		if len(events) > 0 || isOver {
			s.respond(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		s.mu.Lock()
	}
}

// write creates an object, or replaces the one with this name.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isCreation := name == ""
	if isCreation {
		name = o.Meta.Name
	}
	current, found := s.objects[kind+"/"+name]
	switch {
	case isCreation && found, !isCreation && found && o.Meta.Rev != 0 && o.Meta.Rev != current.Meta.Rev:
		s.respond(w, http.StatusConflict, current)
	case !isCreation && !found:
		s.respond(w, http.StatusNotFound, map[string]any{})
	default:
		stored := s.put(kind, name, o.Spec)
		s.log("store: the system wrote %s/%s, revision %d", kind, name, stored.Meta.Rev)
		s.respond(w, http.StatusOK, stored)
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[kind+"/"+name]
	rev, _ := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
	switch {
	case !found:
		s.respond(w, http.StatusNotFound, map[string]any{})
	case rev != 0 && rev != current.Meta.Rev:
		s.respond(w, http.StatusConflict, current)
	default:
		s.remove(kind, name)
		s.log("store: the system removed %s/%s, revision %d", kind, name, s.revision)
		s.respond(w, http.StatusOK, current)
	}
}

// put stores an object at the next revision. A write that changes nothing keeps the revision. s must be locked.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	key := kind + "/" + name
	current, found := s.objects[key]
	if found && string(current.Spec) == string(spec) {
		return current
	}
	s.revision++
	o := object{Meta: objectMeta{Name: name, Rev: s.revision, CreatedRev: s.revision}, Spec: spec}
	if found {
		o.Meta.CreatedRev = current.Meta.CreatedRev
	}
	s.objects[key] = o
	s.publish(event{kind: kind, Object: o})
	return o
}

// remove removes an object at the next revision. s must be locked.
func (s *store) remove(kind, name string) {
	o := s.objects[kind+"/"+name]
	delete(s.objects, kind+"/"+name)
	s.revision++
	o.Meta.Rev = s.revision
	s.publish(event{kind: kind, Object: o, Deleted: true})
}

func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Operate writes an object for the operator. Its return is the acknowledgement.
func (s *store) Operate(kind, name string, spec any) time.Time {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.put(kind, name, body)
	s.writes = append(s.writes, operatorWrite{kind: kind, name: name, spec: body, rev: o.Meta.Rev})
	s.log("store: the operator wrote %s/%s, revision %d, era %d", kind, name, o.Meta.Rev, s.era)
	return time.Now()
}

// Copy returns a copy of the store as it is now.
func (s *store) Copy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("store: copy at revision %d", s.revision)
	return copyOfStore{revision: s.revision, objects: maps.Clone(s.objects)}
}

// Drill takes the store away for the given time. It comes back from the copy in the next era, and the operator writes again
// what it wrote since the copy.
func (s *store) Drill(c copyOfStore, awayFor time.Duration) {
	s.mu.Lock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.log("store: away at revision %d", s.revision)
	s.mu.Unlock()
	time.Sleep(awayFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.revision - c.revision
	s.revision, s.objects, s.era, s.away = c.revision, maps.Clone(c.objects), s.era+1, false
	s.history, s.oldest = nil, c.revision
	for _, write := range s.writes {
		if write.rev > c.revision {
			s.put(write.kind, write.name, write.spec)
		}
	}
	s.log("store: back at revision %d, era %d; %d revisions were lost", s.revision, s.era, lost)
}

// Names returns the names of the objects of a kind.
func (s *store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.objects {
		if name, found := strings.CutPrefix(key, kind+"/"); found {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
