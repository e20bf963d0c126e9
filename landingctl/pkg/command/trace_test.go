package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
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
