package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Meta objectMeta      `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// objectMeta is the part of an object that the store keeps.
type objectMeta struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
}

// event is a change of an object in the history.
type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []event
	changed chan struct{}
	server  *http.Server
}

// newStore starts a store that listens on this address.
func newStore(address string) (*store, error) {
	s := &store{rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.server.Shutdown(ctx)
	_ = s.server.Close()
}

// put writes an object as the operator does. Its return is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Meta: objectMeta{Name: name}, Spec: b})
}

// drop removes an object as the operator does.
func (s *store) drop(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, s.objects[kind][name])
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, o := range s.sorted(kind) {
		names = append(names, o.Meta.Name)
	}
	return names
}

// write stores an object with the next revision. s.mu must be held.
func (s *store) write(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	before, found := s.objects[kind][o.Meta.Name]
	if found && string(before.Spec) == string(o.Spec) {
		return before
	}
	s.rev++
	o.Meta.Rev, o.Meta.CreatedRev, o.Meta.Finalizers = s.rev, s.rev, []string{}
	if found {
		o.Meta.CreatedRev = before.Meta.CreatedRev
	}
	s.objects[kind][o.Meta.Name] = o
	s.note(event{kind: kind, Object: o})
	return o
}

// note adds an event and wakes the watches. s.mu must be held.
func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// sorted returns the objects of a kind by name. s.mu must be held.
func (s *store) sorted(kind string) []object {
	list := []object{}
	for _, o := range s.objects[kind] {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return list
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := slices.DeleteFunc(s.sorted(r.PathValue("kind")), func(o object) bool { return o.Meta.Name <= r.URL.Query().Get("after") })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		events := []event{}
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == r.PathValue("kind") && e.Object.Meta.Rev > since {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[r.PathValue("kind")][r.PathValue("name")]
	if !found {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, found := s.objects[r.PathValue("kind")][o.Meta.Name]; found {
		answer(w, http.StatusConflict, current)
		return
	}
	answer(w, http.StatusCreated, s.write(r.PathValue("kind"), o))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case !found:
		answer(w, http.StatusNotFound, map[string]any{})
	case o.Meta.Rev != 0 && o.Meta.Rev != current.Meta.Rev:
		answer(w, http.StatusConflict, current)
	default:
		o.Meta.Name = current.Meta.Name
		answer(w, http.StatusOK, s.write(r.PathValue("kind"), o))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	current, found := s.objects[kind][name]
	rev, _ := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
	switch {
	case !found:
		answer(w, http.StatusNotFound, map[string]any{})
	case rev != 0 && rev != current.Meta.Rev:
		answer(w, http.StatusConflict, current)
	default:
		s.removeLocked(kind, current)
		answer(w, http.StatusOK, current)
	}
}

// removeLocked removes an object. s.mu must be held.
func (s *store) removeLocked(kind string, o object) {
	delete(s.objects[kind], o.Meta.Name)
	s.rev++
	o.Meta.Rev = s.rev
	s.note(event{kind: kind, Object: o, Deleted: true})
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
