package command

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/core/pkg/scrape"
)

// serveMetrics serves the metrics of a process with these rules and returns the metrics address.
func serveMetrics(t *testing.T, version, revision int64) string {
	t.Helper()
	counters := counter.New()
	counters.CountRefusal(landing.RefusalRoom)
	counters.RegisterGauge("revision.version", func() int64 { return version })
	counters.RegisterGauge("revision.rules", func() int64 { return revision })
	counters.RegisterGauge("flows", func() int64 { return 3 })
	return serveText(t, func(w http.ResponseWriter) { scrape.Write(w, counters.Values()) })
}

// serveText responds to every request with what write writes, and returns the address.
func serveText(t *testing.T, write func(http.ResponseWriter)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w) }))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// runMetrics runs the metrics command and returns the exit status, the lines of the output, and the error output.
func runMetrics(args ...string) (int, []string, string) {
	var out, errOut bytes.Buffer
	status := Metrics(NewEnv(context.Background(), &out, &errOut), args)
	return status, strings.Split(strings.TrimSpace(out.String()), "\n"), errOut.String()
}

func TestMetrics_ShowsProcessBehindOnRules(t *testing.T) {
	is := is.New(t)
	status, lines, errOut := runMetrics(serveMetrics(t, 3, 7), serveMetrics(t, 4, 9))
	is.Equal(status, program.StatusOK)
	is.Equal(errOut, "")
	is.Equal(len(lines), 3)
	is.Equal(strings.Fields(lines[1])[1:3], []string{"behind", "3"})
	is.Equal(strings.Fields(lines[2])[1:3], []string{"current", "4"})
}

// The platform has come back from an older copy, and one process has read the same rules again at a lower revision.
func TestMetrics_LowerRevisionOfSameVersionIsNotBehind(t *testing.T) {
	is := is.New(t)
	_, lines, _ := runMetrics(serveMetrics(t, 13, 120), serveMetrics(t, 13, 91), serveMetrics(t, 10, 130))
	is.Equal(strings.Fields(lines[1])[1], "current")
	is.Equal(strings.Fields(lines[2])[1], "current")
	is.Equal(strings.Fields(lines[3])[1], "behind")
}

func TestMetrics_ShowsUnreadableProcessAsUnknown(t *testing.T) {
	is := is.New(t)
	garbage := serveText(t, func(w http.ResponseWriter) { _, _ = w.Write([]byte("{\"not\": \"metrics\"")) })
	empty := serveText(t, func(http.ResponseWriter) {})
	status, lines, errOut := runMetrics(serveMetrics(t, 3, 7), garbage, empty, "127.0.0.1:1")
	is.Equal(status, program.StatusFailed)
	is.Equal(strings.Count(strings.Join(lines, "\n"), "unknown"), 3)
	is.Equal(strings.Count(errOut, "\n"), 3)
	status, _, _ = runMetrics()
	is.Equal(status, program.StatusUsage)
}
