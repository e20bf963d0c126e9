package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/pkg/program"
)

// runTrace writes log to a file, runs the trace command with these arguments and the path of the file, and returns the
// exit status, the output and the error output.
func runTrace(t *testing.T, log string, args ...string) (int, string, string) {
	path := filepath.Join(t.TempDir(), "side.log")
	is.New(t).NoErr(os.WriteFile(path, []byte(log), 0o600))
	var out, errOut bytes.Buffer
	status := Trace(NewEnv(context.Background(), &out, &errOut), append(args, path))
	return status, out.String(), errOut.String()
}

const line = `"ts"="2026-05-05T06:23:10Z" "level"=0 "msg"="request arrived" "request"="8a67" "flow"="a>b"` + "\n"

// traceTestdata runs the trace command on the logs in testdata, which are lines of a run of separate processes under load,
// and returns the output without times and levels, as docs/OPERATIONS.md shows it.
func traceTestdata(id string) string {
	var out bytes.Buffer
	Trace(NewEnv(context.Background(), &out, io.Discard), []string{id, "testdata/edge-0.log", "testdata/side-0.log", "testdata/side-1.log"})
	return regexp.MustCompile(`(?m)^"ts"="[^"]*" "level"=0 `).ReplaceAllString(out.String(), "")
}

const refusedFlow = "127.21.2.48:1071>198.18.0.1:8080"

func ExampleTrace() {
	fmt.Print(traceTestdata(refusedFlow))
	// Output:
	// "msg"="flow placed" "instance"="edge-0" "flow"="127.21.2.48:1071>198.18.0.1:8080" "sidecar"="side-1" "copies"=0 "part"=0 "running"=2 "flows"=12 "age"="146ms" "rules"=3
	// "msg"="flow deferred" "instance"="side-1" "flow"="127.21.2.48:1071>198.18.0.1:8080" "opening"=true "copies"=0 "part"=0 "position"=0 "reason"="unspecified" "rules"=3
	// "msg"="flow recalled" "instance"="side-0" "flow"="127.21.2.48:1071>198.18.0.1:8080" "opening"=true "copies"=0 "part"=0 "position"=1 "reason"="unspecified" "rules"=3
	// "msg"="flow taken" "instance"="side-1" "flow"="127.21.2.48:1071>198.18.0.1:8080" "opening"=true "copies"=0 "part"=0 "position"=0 "reason"="unspecified" "rules"=3
	// "msg"="flow refused" "instance"="side-1" "flow"="127.21.2.48:1071>198.18.0.1:8080" "reason"="queue" "priority"=2 "expected"="276.426414ms" "running"=2 "busy"=2 "waiting"=4 "usual"="46.071069ms"
	// "msg"="flow reset" "instance"="edge-0" "flow"="127.21.2.48:1071>198.18.0.1:8080" "opening"=true "copies"=0 "reason"="queue"
}

// Guards against a page for operators that shows other lines than the command prints.
func TestOperationsPageShowsOutputOfTrace(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, id := range []string{"r44", refusedFlow} {
		out := traceTestdata(id)
		is.True(out != "")
		is.True(strings.Contains(string(page), "```\n"+out+"```\n"))
	}
}

func TestTrace_PrintsLinesOfRequest(t *testing.T) {
	is := is.New(t)
	status, out, errOut := runTrace(t, line+"cut off", "8a67")
	is.Equal(status, program.StatusOK)
	is.Equal(out, line)
	is.True(strings.Contains(errOut, "1 lines skipped"))
}

func TestTrace_FailsForUnknownRequest(t *testing.T) {
	is := is.New(t)
	status, out, errOut := runTrace(t, line, "none")
	is.Equal(status, program.StatusFailed)
	is.Equal(out, "")
	is.True(strings.Contains(errOut, "occurs in none of 1 lines"))
}

func TestTrace_FailsForMissingFile(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	e := NewEnv(context.Background(), &out, &errOut)
	is.Equal(Trace(e, []string{"8a67", filepath.Join(t.TempDir(), "none.log")}), program.StatusFailed)
	is.Equal(Trace(e, []string{"8a67"}), program.StatusUsage)
}
