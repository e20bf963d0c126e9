package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

// serve returns a client of a platform with this handler.
func serve(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"))
}

// Guards against a call that waits for its time limit since a connection that was kept for it has fallen silent.
func TestGet_KeepsNoConnection(t *testing.T) {
	is := is.New(t)
	var clients []string
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		clients = append(clients, r.RemoteAddr)
		w.Header().Set("ETag", `"3"`)
	})
	for range 2 {
		_, err := client.Get(context.Background(), "lists")
		is.NoErr(err)
	}
	is.Equal(len(clients), 2)
	is.True(clients[0] != clients[1])
}

// Guards against a large object over a slow link that is given up although its transfer makes progress.
func TestGet_OverSlowLink(t *testing.T) {
	is := is.New(t)
	part := strings.Repeat("v", MaxValueBytes/4)
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"3"`)
		for range 4 {
			_, _ = w.Write([]byte(part))
			w.(http.Flusher).Flush()
			time.Sleep(callTimeout / 3)
		}
	})
	object, err := client.Get(context.Background(), "lists")
	is.NoErr(err)
	is.Equal(object.Version(), uint64(3))
	is.Equal(len(object.Value()), MaxValueBytes)
}

// Guards against a process that follows older states in silence, such as a key that was withdrawn, when the platform comes back
// from an older copy of itself.
func TestGet_FailsForOlderState(t *testing.T) {
	for name, older := range map[string]string{"older version": `"6"`, "object is missing": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			version := `"7"`
			client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				if version == "" {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				w.Header().Set("ETag", version)
			})
			_, err := client.Get(context.Background(), "keyring")
			is.NoErr(err)
			version = older
			_, err = client.Get(context.Background(), "keyring")
			is.True(errors.Is(err, ErrOlderState))
			is.NoErr(client.Err())
		})
	}
}

// Guards against a client that follows the platform no more after a single response that was garbage, and against one that
// follows it again when its versions have passed those that were lost.
func TestSeenVersions_StopsWhenOlderStateIsConfirmed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newSeenVersions()
	is.NoErr(s.note("keyring", 0, 7, now))
	is.True(s.note("keyring", 7, 1, now) != nil)
	is.NoErr(s.note("keyring", 7, 7, now.Add(confirmTime)))
	is.True(s.note("keyring", 7, 6, now.Add(confirmTime)) != nil)
	_, err := s.before("lists")
	is.NoErr(err)
	is.True(s.note("keyring", 7, 6, now.Add(2*confirmTime)) != nil)
	is.True(s.note("keyring", 7, 8, now.Add(2*confirmTime)) != nil)
	_, err = s.before("lists")
	is.True(errors.Is(err, ErrOlderState))
}

// Guards against two calls at the same time whose responses arrive in the reverse order and are taken for a platform that has
// gone back.
func TestGet_ResponsesInReverseOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	calls := atomic.Int32{}
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set("ETag", `"7"`)
			<-release
			return
		}
		w.Header().Set("ETag", `"8"`)
	})
	first := make(chan error)
	go func() {
		_, err := client.Get(context.Background(), "lists")
		first <- err
	}()
	for calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := client.Get(context.Background(), "lists")
	is.NoErr(err)
	close(release)
	is.NoErr(<-first)
}

func TestGet_FailsWithoutVersionOrOverLimit(t *testing.T) {
	is := is.New(t)
	for _, header := range []string{"", `"3"`} {
		client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			if header != "" {
				w.Header().Set("ETag", header)
				_, _ = w.Write(make([]byte, MaxValueBytes))
			}
			_, _ = w.Write([]byte("v"))
		})
		_, err := client.Get(context.Background(), "lists")
		is.True(trace.IsConnectionProblem(err))
	}
}
