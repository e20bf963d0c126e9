package logs

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const balancerLog = `"ts"="2026-05-05T06:23:10.1Z" "level"=0 "msg"="flow placed" "instance"="edge-1" "flow"="100.66.0.14:1040>198.18.0.1:443" "sidecar"="side-1"
"ts"="2026-05-05T06:23:12.9Z" "level"=0 "msg"="flow reset" "instance"="edge-1" "flow"="100.66.0.14:1040>198.18.0.1:443" "request"="8a67" "reason"="nobody holds it"
goroutine 1 [running]:
"ts"="2026-05-05T06:23:13Z" "level"=0 "msg"="exclusions in force" "instance"="edge-1" "changed"=7 "zones"=["a" "b"]
"ts"="2026-05-05T06:23:14Z" "level"=0 "msg"="flow pl`

const sidecarLog = `"ts"="2026-05-05T06:23:10.2Z" "level"=0 "msg"="flow taken" "instance"="side-1" "flow"="100.66.0.14:1040>198.18.0.1:443" "copies"=0
"ts"="2026-05-05T06:23:10.3Z" "level"=0 "msg"="request arrived" "instance"="side-1" "request"="8a67" "flow"="100.66.0.14:1040>198.18.0.1:443"
"ts"="2026-05-05T06:23:10.4Z" "level"=0 "msg"="request arrived" "instance"="side-1" "request"="ffff" "flow"="100.66.0.15:1040>198.18.0.1:443"`

func readAll(t *testing.T) ([]Line, int) {
	is := is.New(t)
	var all []Line
	skipped := 0
	for _, log := range []string{balancerLog, sidecarLog} {
		lines, n, err := Read(strings.NewReader(log))
		is.NoErr(err)
		all = append(all, lines...)
		skipped += n
	}
	return all, skipped
}

func ExampleFilterByID() {
	lines, _, _ := Read(strings.NewReader(balancerLog + "\n" + sidecarLog))
	for _, l := range FilterByID(lines, "8a67") {
		fmt.Println(l.Field("instance") + ": " + l.Field("msg"))
	}
	// Output:
	// edge-1: flow placed
	// side-1: flow taken
	// side-1: request arrived
	// edge-1: flow reset
}

func TestRead_SkipsTruncatedAndForeignLines(t *testing.T) {
	is := is.New(t)
	lines, skipped := readAll(t)
	is.Equal(len(lines), 6)
	is.Equal(skipped, 2)
}

func TestFilterByID_Flow(t *testing.T) {
	is := is.New(t)
	lines, _ := readAll(t)
	is.Equal(len(FilterByID(lines, "100.66.0.15:1040>198.18.0.1:443")), 1)
}

func TestFilterByID_UnknownOrEmptyID(t *testing.T) {
	is := is.New(t)
	lines, _ := readAll(t)
	is.Equal(len(FilterByID(lines, "none")), 0)
	is.Equal(len(FilterByID(lines, "")), 0)
}

func FuzzRead(f *testing.F) {
	f.Add(balancerLog)
	f.Add(`"a"=`)
	f.Add(`"a"=[`)
	f.Add(`"\`)
	f.Fuzz(func(t *testing.T, log string) {
		lines, _, err := Read(strings.NewReader(log))
		if err == nil && len(FilterByID(lines, "x")) > len(lines) {
			t.Fatal("FilterByID returned more lines than were read")
		}
	})
}
