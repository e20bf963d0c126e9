package transfer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

func ExampleDo() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "rules") }))
	defer server.Close()
	request, _ := http.NewRequest(http.MethodGet, server.URL, nil)
	r, err := Do(http.DefaultClient, request, Limits{Response: time.Second, Stall: time.Second, Bytes: 100})
	fmt.Println(r.Status, string(r.Body), err)
	// Output: 200 rules <nil>
}

// get requests a response that consists of this number of parts, one each interval.
func get(t *testing.T, parts int, interval time.Duration, limits Limits) (Response, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range parts {
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return
			}
			fmt.Fprint(w, "part")
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	is.New(t).NoErr(err)
	return Do(server.Client(), request, limits)
}

// Guards against a response over a slow link that is given up although it makes progress.
func TestDo_WaitsWhileResponseMakesProgress(t *testing.T) {
	is := is.New(t)
	limits := Limits{Response: time.Second, Stall: time.Second, Bytes: 100}
	start := time.Now()
	r, err := get(t, 6, 250*time.Millisecond, limits)
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)
	is.Equal(string(r.Body), strings.Repeat("part", 6))
	is.True(time.Since(start) > limits.Response)
}

// Guards against a request that waits for a process that has stopped.
func TestDo_EndsWithoutProgress(t *testing.T) {
	is := is.New(t)
	r, err := get(t, 1, time.Minute, Limits{Response: 50 * time.Millisecond, Stall: time.Minute, Bytes: 100})
	is.True(trace.IsLimitExceeded(err))
	is.Equal(r.Status, 0)
	r, err = get(t, 2, 300*time.Millisecond, Limits{Response: time.Minute, Stall: 50 * time.Millisecond, Bytes: 100})
	is.True(trace.IsLimitExceeded(err))
	is.Equal(r.Status, http.StatusOK)
}

// Guards against a response that takes all memory.
func TestDo_LimitsBody(t *testing.T) {
	is := is.New(t)
	limits := Limits{Response: time.Minute, Stall: time.Minute, Bytes: 4}
	r, err := get(t, 1, 0, limits)
	is.NoErr(err)
	is.Equal(string(r.Body), "part")
	_, err = get(t, 2, 0, limits)
	is.True(trace.IsLimitExceeded(err))
}
